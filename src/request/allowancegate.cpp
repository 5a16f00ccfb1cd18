#include "request/allowancegate.h"

#include <algorithm>

namespace quetzal {

static constexpr double millisPerSecond = 1000;
// Time without an answer to a report after which a keeper is not relied on.
static constexpr Millis answerTimeout = Millis(150);
// Time within which a reachable keeper answers.
static constexpr Millis usualAnswerTime = Millis(60);
// Time after the start in which the other hosts are not all known, and may have started as well.
static constexpr Millis settlingTime = Millis(1000);
// Hosts that a host assumes in that time at least.
static constexpr std::size_t minAssumedHosts = 64;
// Part of the rate, and requests a second in addition, that all hosts together admit while no
// keeper answers. The rest is for what they admit before they notice that.
static constexpr double aloneRatePart = 0.5;
static constexpr double aloneExtraRate = 2;
// Minimum time between two reports about refused requests, which ask a keeper for the level.
static constexpr Millis queryPeriod = Millis(100);
// Time for which others are taken to use more than the rate, as a keeper said, and time after which
// they are taken to use half of it.
static constexpr Millis overuseTime = Millis(500);
static constexpr Millis staleTime = Millis(2000);
static constexpr Millis minRetryAfter = Millis(200);
static constexpr Millis maxRetryAfter = Millis(5000);

AllowanceGate::AllowanceGate(std::uint64_t seed, std::uint64_t incarnation, Millis startedAt)
    : seed(seed)
    , incarnation(incarnation)
    , startedAt(startedAt)
{}

bool AllowanceGate::isUnanswered(HostId keeper, Millis duration, Millis now) const
{
    const auto found = this->unansweredSince.find(keeper);
    return found != this->unansweredSince.end() && now - found->second > duration;
}

bool AllowanceGate::isSilent(HostId keeper, Millis now) const
{
    return this->isUnanswered(keeper, answerTimeout, now);
}

bool AllowanceGate::isOverdue(HostId keeper, Millis now) const
{
    return this->isUnanswered(keeper, usualAnswerTime, now);
}

AllowanceGate::WorkspaceState &AllowanceGate::stateOf(const std::string &workspace, Millis now)
{
    const auto [found, isNew] = this->workspaces.try_emplace(workspace);
    if (isNew) {
        // Hosts begin with different parts of a token, so that they do not all admit a request at
        // the same moment.
        static constexpr std::uint64_t tokenSteps = 1000;
        found->second.tokens
                = static_cast<double>(stableHash(workspace, this->seed) % tokenSteps) / tokenSteps;
        found->second.tokensUpdatedAt = now;
    }
    return found->second;
}

double AllowanceGate::estimate(const WorkspaceState &state, const KeeperLevel &level,
                               const Allowance &allowance, Millis now)
{
    const Millis age = now - level.receivedAt;
    const double perMilli = (allowance.rate - level.othersRate) / millisPerSecond;
    double estimated
            = level.level + perMilli * (perMilli < 0 ? std::min(age, overuseTime) : age).count();
    if (perMilli < 0 && age > staleTime)
        estimated += allowance.rate / 2 * (age - staleTime).count() / millisPerSecond;
    estimated = std::min(allowance.burst, estimated);
    return estimated - static_cast<double>(state.admitted - level.acknowledged);
}

void AllowanceGate::recordAdmission(WorkspaceState &state, Millis now)
{
    state.admitted += 1;
    // Every request uses up the host's own bucket, so that a host that loses its keepers has no
    // fresh token.
    state.tokens = std::max(-1.0, state.tokens - 1);
    state.recent.push_back(now);
    while (now - state.recent.front() > recentUsageTime)
        state.recent.pop_front();
}

void AllowanceGate::refillAlone(WorkspaceState &state, const Allowance &allowance,
                                std::size_t hosts, Millis now) const
{
    const std::size_t assumed
            = now - this->startedAt < settlingTime ? std::max(hosts, minAssumedHosts) : hosts;
    const double rate = hosts == 0 ? 0
                                   : (allowance.rate * aloneRatePart + aloneExtraRate)
                                             / static_cast<double>(assumed);
    const double added = rate * (now - state.tokensUpdatedAt).count() / millisPerSecond;
    state.tokens = std::min(1.0, state.tokens + added);
    state.tokensUpdatedAt = now;
}

AllowanceDecision AllowanceGate::decide(const std::string &workspace, const Allowance &allowance,
                                        const std::vector<HostId> &keepers,
                                        const AllowanceFleet &fleet, Millis now)
{
    AllowanceDecision decision;
    if (allowance.rate <= 0) {
        decision.admitted = true;
        decision.isConfirmed = true;
        return decision;
    }
    WorkspaceState &state = this->stateOf(workspace, now);
    const auto keeper = std::find_if(keepers.begin(), keepers.end(),
                                     [&](HostId host) { return !this->isSilent(host, now); });
    const bool isSettled = now - this->startedAt >= settlingTime;
    if (isSettled && !fleet.isIsolated && keeper != keepers.end()) {
        const auto known = state.keepers.find(*keeper);
        // A host that does not know all others may ask one that is not a keeper.
        decision.isConfirmed = known != state.keepers.end() || fleet.hosts > 0;
        if (known != state.keepers.end()) {
            decision.level = estimate(state, known->second, allowance, now);
            decision.age = now - known->second.receivedAt;
            // While an answer is overdue, other hosts may wait for theirs as well.
            const auto unacknowledged
                    = static_cast<double>(state.admitted - known->second.acknowledged);
            const auto hostCount = static_cast<double>(std::max<std::size_t>(1, fleet.hosts));
            const double share = std::max(1.0, known->second.level / hostCount);
            decision.admitted = decision.level >= 1
                                && (!this->isOverdue(*keeper, now) || unacknowledged < share);
        } else {
            // Until the keeper's first answer one request is taken to be within the allowance.
            decision.admitted = state.admitted == 0 || now - state.recent.back() > recentUsageTime;
        }
        const double missing = std::max(0.0, 1 - decision.level);
        decision.retryAfter = std::clamp(Millis(missing / allowance.rate * millisPerSecond),
                                         minRetryAfter, maxRetryAfter);
    }
    this->refillAlone(state, allowance, fleet.hosts, now);
    if (!decision.isConfirmed) {
        decision.level = state.tokens;
        decision.admitted = state.tokens >= 1;
        decision.retryAfter = std::max(minRetryAfter, settlingTime - (now - this->startedAt));
    }
    if (decision.admitted)
        this->recordAdmission(state, now);
    if (decision.admitted || now - state.queriedAt >= queryPeriod) {
        state.queriedAt = now;
        for (const HostId host : keepers)
            this->reportsDue[host].insert(workspace);
    }
    return decision;
}

std::map<HostId, UsageReports> AllowanceGate::takeReports(Millis now)
{
    std::map<HostId, UsageReports> result;
    for (const auto &[keeper, names] : this->reportsDue) {
        UsageReports &message = result[keeper];
        message.incarnation = this->incarnation;
        for (const std::string &name : names) {
            const WorkspaceState &state = this->workspaces.at(name);
            message.reports.push_back(
                    { name, state.admitted, static_cast<std::uint32_t>(state.recent.size()) });
        }
        this->unansweredSince.try_emplace(keeper, now);
    }
    this->reportsDue.clear();
    return result;
}

void AllowanceGate::onLevels(HostId keeper, const AllowanceLevels &levels, Millis now)
{
    const bool isOwnIncarnation = levels.incarnation == this->incarnation;
    if (!isOwnIncarnation && levels.incarnation != 0)
        return;
    if (isOwnIncarnation)
        this->unansweredSince.erase(keeper);
    for (const AllowanceLevel &item : levels.levels) {
        WorkspaceState &state = this->stateOf(item.workspace, now);
        // A keeper that does not know this host's count has forgotten it, as it is old.
        const std::uint64_t acknowledged
                = isOwnIncarnation && item.isCounted ? item.acknowledged : state.admitted;
        KeeperLevel &known = state.keepers[keeper];
        // Messages may overtake each other.
        if (acknowledged > state.admitted || acknowledged < known.acknowledged)
            continue;
        known = { item.level, item.othersRate, acknowledged, now };
    }
}

} // namespace quetzal
