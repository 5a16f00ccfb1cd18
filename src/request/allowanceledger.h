// What all hosts together have used of the allowances of workspaces.
#pragma once

#include "quetzal/ids.h"
#include "quetzal/millis.h"
#include "request/allowance.h"
#include "request/allowancemessages.h"

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
// no harm. Reads no clock.
class AllowanceLedger
{
public:
    // startedAt: when the process started. A bucket is empty then, so that a restart of all hosts
    // gives no workspace a second burst.
    explicit AllowanceLedger(Millis startedAt)
        : startedAt(startedAt)
    {}

    // Counts what a host reports, and returns what the host is to be told.
    AllowanceLevel onReport(HostId host, std::uint64_t incarnation, const UsageReport &report,
                            const Allowance &allowance, Millis now);

    // What a host has to be told without having asked: its incarnation and the level.
    struct Notice
    {
        HostId host;
        std::uint64_t incarnation = 0;
        AllowanceLevel level;
    };

    // Returns the notices to all hosts that are due, because a workspace's level is low and has
    // changed.
    std::vector<Notice> takeNotices(const std::vector<HostId> &hosts, Millis now);

    // Returns true if notices are or will be due without a further report.
    bool hasNotices() const;

    // Time between two notices about a workspace, or more in a large fleet.
    static constexpr Millis noticePeriod = Millis(50);

private:
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
        Millis updatedAt;
        std::map<HostId, HostUse> users;
        Millis noticedAt = Millis(-1e9);
        bool noticeDue = false;
    };

    void refill(Account &account, Millis now) const;
    AllowanceLevel levelFor(const std::string &name, const Account &account, HostId host,
                            Millis now) const;

    Millis startedAt;
    std::map<std::string, Account> accounts;
};

} // namespace quetzal
