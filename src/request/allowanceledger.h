// What all hosts together have used of the allowances of workspaces.
#pragma once

#include "quetzal/ids.h"
#include "quetzal/millis.h"
#include "request/allowance.h"
#include "request/allowancemessages.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace quetzal {

// The accounts that a host keeps as a keeper of workspaces.
//
// Answers a workspace whose few requests arrive at many hosts, so that no host can tell by its own
// whether the allowance is used up, and a workspace that sends many times its usual: its token
// bucket may go below zero, and what hosts admitted too much is taken from what they admit next.
// Hosts report the number of requests admitted since their start, so a lost or repeated report does
// no harm. Each host of the fleet brings an equal part of every allowance: a keeper that reaches
// some of the hosts gives out their parts only, so that keepers on both sides of a partition stay
// within the allowance together. Reads no clock.
class AllowanceLedger
{
public:
    // startedAt: when the process started. A bucket is empty then, so that a restart of all hosts
    // gives no workspace a second burst.
    explicit AllowanceLedger(Millis startedAt)
        : startedAt(startedAt)
    {}

    // Sets the part of the fleet's hosts that this host reaches, in (0, 1]. Tokens of hosts that
    // are lost leave the buckets, and those of hosts that are back return.
    void setShare(double newShare, Millis now);

    // Returns true if the part of an allowance that this host may give out is of use: it is most of
    // it, or contains a whole request.
    bool canConfirm(const Allowance &allowance) const
    {
        return this->share > majority || allowance.burst * this->share >= 1;
    }

    // Drops the accounts for which this host is not a keeper.
    void keepOnly(const std::function<bool(const std::string &workspace)> &isKeeper);

    // Counts what a host reports, and returns what the host is to be told. isTakeover: another host
    // kept the account until some seconds ago. Then hosts have time to report what they admitted
    // before the bucket is used.
    AllowanceLevel onReport(HostId host, std::uint64_t incarnation, const UsageReport &report,
                            const Allowance &allowance, Millis now, bool isTakeover = false);

    // What a host has to be told without having asked: its incarnation and the level.
    struct Notice
    {
        HostId host;
        std::uint64_t incarnation = 0;
        AllowanceLevel level;
    };

    // Returns the notices to all hosts that are due, because a workspace's level is low or much of
    // its allowance is in use, and has changed. Their acknowledgements show which hosts are within
    // reach.
    std::vector<Notice> takeNotices(const std::vector<HostId> &hosts, Millis now);

    // Returns when notices to a number of hosts are due without a further report.
    Millis nextNotices(std::size_t hosts) const;

    // Time between two notices about a workspace whose level is low, and about others; more in a
    // large fleet.
    static constexpr Millis noticePeriod = Millis(50);
    static constexpr Millis probePeriod = Millis(500);

private:
    static constexpr double majority = 0.5;

    // One host's use of an account.
    struct HostUse
    {
        std::uint64_t incarnation = 0;
        std::uint64_t admitted = 0;
        Millis reportedAt;
        // Admitted requests, with weights that decay over time.
        double recentCount = 0;
    };

    struct Account
    {
        double rate = 0;
        double burst = 1;
        double level = 0;
        // Tokens of an account that was taken over, for a time. They pay for what hosts report in
        // it, also of the time before; then the rest comes into the bucket.
        double credit = 0;
        Millis creditUntil;
        Millis updatedAt;
        std::map<HostId, HostUse> users;
        Millis noticedAt = Millis(-1e9);
        // Whether the level is low, or much of the allowance is in use, and hosts were not told.
        bool noticeDue = false;
        bool probeDue = false;
        // Whether hosts were told last that a request may be admitted.
        bool isToldAvailable = true;
    };

    // Returns when the notices about an account are due; never if it has none.
    static Millis noticesDueAt(const Account &account, std::size_t hosts);
    // Fills the bucket of a new account, or sets its credit.
    void open(Account &account, Millis now, bool isTakeover) const;
    void refill(Account &account, Millis now) const;
    AllowanceLevel levelFor(const std::string &name, const Account &account, HostId host,
                            Millis now) const;

    Millis startedAt;
    double share = 1;
    std::map<std::string, Account> accounts;
};

} // namespace quetzal
