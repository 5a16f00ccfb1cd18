// The decision whether a request of a workspace is within its allowance.
#pragma once

#include "quetzal/ids.h"
#include "quetzal/millis.h"
#include "request/allowance.h"
#include "request/allowancemessages.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzal {

// Whether a request is admitted, and why.
struct AllowanceDecision
{
    bool admitted = false;
    // False if no keeper answers, so that this host uses a small part of the allowance of its own.
    bool isConfirmed = false;
    // If refused: after this time the allowance may have room again.
    Millis retryAfter;
    // Estimated tokens left, and the age of what a keeper said about them.
    double level = 0;
    Millis age;
};

// What a host knows of the other hosts when it decides.
struct AllowanceFleet
{
    // Number of hosts that may be admitting requests, this one included; 0 while it is unknown.
    std::size_t hosts = 0;
    // True if no other host has been heard for some time.
    bool isIsolated = false;
};

// One host's view of the allowances.
//
// Answers a flood of one workspace that arrives at many hosts at the same moment: each host
// estimates what is left from what a keeper said last, less what others and it have admitted since,
// and reports each request that it admits. While no keeper answers, and for a while after the
// start, it admits by a bucket of its own, which holds one token and is so small that all hosts
// together stay within the allowance without hearing each other. A host that does not know how many
// hosts there are admits nothing by it. Reads no clock.
class AllowanceGate
{
public:
    // seed: differs between hosts. incarnation: differs between incarnations of this host.
    AllowanceGate(std::uint64_t seed, std::uint64_t incarnation, Millis startedAt);

    // Decides on a request. keepers: the hosts that keep the workspace's account, the preferred one
    // first.
    AllowanceDecision decide(const std::string &workspace, const Allowance &allowance,
                             const std::vector<HostId> &keepers, const AllowanceFleet &fleet,
                             Millis now);

    // Returns the reports that are due, by keeper.
    std::map<HostId, UsageReports> takeReports(Millis now);
    bool hasReports() const { return !this->reportsDue.empty(); }

    // Handles what a keeper says.
    void onLevels(HostId keeper, const AllowanceLevels &levels, Millis now);

    // Time for which reports to a keeper are gathered.
    static constexpr Millis reportDelay = Millis(20);

private:
    // What one keeper has said last about a workspace.
    struct KeeperLevel
    {
        double level = 0;
        double othersRate = 0;
        std::uint64_t acknowledged = 0;
        Millis receivedAt;
    };

    struct WorkspaceState
    {
        std::uint64_t admitted = 0;
        // When the requests of the last seconds were admitted.
        std::deque<Millis> recent;
        std::map<HostId, KeeperLevel> keepers;
        // The host's own bucket, used while no keeper answers.
        double tokens = 0;
        Millis tokensUpdatedAt;
        Millis queriedAt = Millis(-1e9);
    };

    // Returns true if a report to a keeper has been unanswered for a duration.
    bool isUnanswered(HostId keeper, Millis duration, Millis now) const;
    // Returns true if a keeper has not answered for so long that it is not relied on.
    bool isSilent(HostId keeper, Millis now) const;
    // Returns true if an answer takes longer than usual.
    bool isOverdue(HostId keeper, Millis now) const;
    WorkspaceState &stateOf(const std::string &workspace, Millis now);
    // Returns the estimated tokens left according to a keeper.
    static double estimate(const WorkspaceState &state, const KeeperLevel &level,
                           const Allowance &allowance, Millis now);
    // Fills the host's own bucket.
    void refillAlone(WorkspaceState &state, const Allowance &allowance, std::size_t hosts,
                     Millis now) const;
    void recordAdmission(WorkspaceState &state, Millis now);

    std::uint64_t seed;
    std::uint64_t incarnation;
    Millis startedAt;
    std::map<std::string, WorkspaceState> workspaces;
    // Since when a keeper has not answered a report; absent if it has answered all.
    std::map<HostId, Millis> unansweredSince;
    std::map<HostId, std::set<std::string>> reportsDue;
};

} // namespace quetzal
