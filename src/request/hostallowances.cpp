#include "request/hostallowances.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace quetzal {

// Time between two counts of the hosts.
static constexpr Millis fleetUpdatePeriod = Millis(20);

HostAllowances::HostAllowances(RelayPeer self, bool hasSeeds, std::uint64_t seed, Lookup lookup,
                               Millis now)
    : self(std::move(self))
    , lookup(std::move(lookup))
    , reach(this->self.id, hasSeeds)
    , gate(seed, seed, now)
    , ledger(now)
    , hosts({ this->self.id })
{}

void HostAllowances::setPeers(const std::vector<RelayPeer> &newPeers, Millis now)
{
    std::set<HostId> alive;
    for (const RelayPeer &peer : newPeers)
        alive.insert(peer.id);
    std::erase_if(this->lostPeers,
                  [now](const auto &lost) { return now - lost.second > recentUsageTime; });
    for (const RelayPeer &peer : this->peers) {
        if (!alive.contains(peer.id))
            this->lostPeers.emplace_back(peer, now);
    }
    this->peers = newPeers;
    this->keepers.clear();
    this->reach.setAlive(alive, now);
    this->fleetUpdatedAt = Millis(-1e9);
    this->hosts.assign(alive.begin(), alive.end());
    this->hosts.push_back(this->self.id);
    this->ledger.keepOnly(
            [this](const std::string &workspace) { return this->isKeeperOf(workspace); });
}

// Keepers are the hosts that rank lowest.
static auto rankOf(const RelayPeer &peer, const std::string &workspace)
{
    return std::tuple(-peer.capacity, stableHash(workspace, peer.id.value), peer.id);
}

const std::vector<HostId> &HostAllowances::keepersOf(const std::string &workspace)
{
    std::vector<HostId> &result = this->keepers[workspace];
    if (!result.empty())
        return result;
    std::vector<RelayPeer> ranked = this->peers;
    ranked.push_back(this->self);
    const std::size_t count = std::min(keepersPerWorkspace, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), [&](const RelayPeer &a, const RelayPeer &b) {
                          return rankOf(a, workspace) < rankOf(b, workspace);
                      });
    for (std::size_t i = 0; i < count; ++i)
        result.push_back(ranked[i].id);
    return result;
}

bool HostAllowances::isKeeperOf(const std::string &workspace)
{
    const std::vector<HostId> &ids = this->keepersOf(workspace);
    return std::find(ids.begin(), ids.end(), this->self.id) != ids.end();
}

bool HostAllowances::hasTakenOver(const std::string &workspace, Millis now) const
{
    return std::any_of(this->lostPeers.begin(), this->lostPeers.end(), [&](const auto &lost) {
        return now - lost.second <= recentUsageTime
               && rankOf(lost.first, workspace) < rankOf(this->self, workspace);
    });
}

void HostAllowances::updateFleet(Millis now)
{
    if (now - this->fleetUpdatedAt < fleetUpdatePeriod)
        return;
    this->fleetUpdatedAt = now;
    this->fleet = { this->reach.size(now), this->reach.isIsolated(now) };
    this->reachableCount = this->reach.reachable(now);
    if (this->fleet.hosts > 0)
        this->ledger.setShare(static_cast<double>(this->reachableCount)
                                      / static_cast<double>(this->fleet.hosts),
                              now);
}

bool HostAllowances::canConfirm(const std::string &workspace, const Allowance &allowance,
                                Millis now)
{
    this->updateFleet(now);
    return this->fleet.hosts > 0 && !this->fleet.isIsolated && this->isKeeperOf(workspace)
           && this->ledger.canConfirm(allowance);
}

AllowanceDecision HostAllowances::decide(const std::string &workspace, const Allowance &allowance,
                                         Millis now)
{
    this->updateFleet(now);
    std::vector<HostId> usable = this->keepersOf(workspace);
    if (this->isKeeperOf(workspace) && !this->canConfirm(workspace, allowance, now))
        std::erase(usable, this->self.id);
    const AllowanceDecision decision
            = this->gate.decide(workspace, allowance, usable, this->fleet, now);
    if (this->gate.hasReports())
        this->reportsDueAt = std::min(this->reportsDueAt, now + AllowanceGate::reportDelay);
    return decision;
}

std::vector<AllowanceMessage> HostAllowances::takeMessages(Millis now)
{
    std::vector<AllowanceMessage> messages;
    if (now >= this->reportsDueAt) {
        this->reportsDueAt = Millis::never();
        for (auto &[keeper, reports] : this->gate.takeReports(now)) {
            if (keeper != this->self.id)
                messages.push_back({ keeper, std::move(reports) });
            else if (const auto answer = this->onReports(keeper, reports, now))
                this->onLevels(keeper, std::get<AllowanceLevels>(answer->content), now);
        }
    }
    this->updateFleet(now);
    std::map<HostId, AllowanceLevels> notices;
    if (this->fleet.hosts > 0 && !this->fleet.isIsolated) {
        for (const AllowanceLedger::Notice &notice : this->ledger.takeNotices(this->hosts, now)) {
            AllowanceLevels &levels = notices[notice.host];
            levels.incarnation = std::max(levels.incarnation, notice.incarnation);
            levels.levels.push_back(notice.level);
        }
    }
    for (auto &[host, levels] : notices) {
        if (host == this->self.id)
            this->onLevels(host, levels, now);
        else
            messages.push_back({ host, std::move(levels) });
    }
    for (const AllowanceMessage &message : messages)
        this->reach.onSent(message.to, now);
    return messages;
}

Millis HostAllowances::nextMessages(Millis now) const
{
    const Millis next = std::min(this->reportsDueAt, this->ledger.nextNotices(this->hosts.size()));
    // Notices that may not be sent now are looked at again.
    return next < Millis::never() ? std::max(next, now + AllowanceGate::reportDelay) : next;
}

std::optional<AllowanceMessage> HostAllowances::onReports(HostId from, const UsageReports &reports,
                                                          Millis now)
{
    AllowanceLevels answer;
    answer.incarnation = reports.incarnation;
    bool isUseful = false;
    for (const UsageReport &report : reports.reports) {
        const std::optional<Allowance> allowance = this->lookup(report.workspace);
        if (!allowance)
            continue;
        if (this->canConfirm(report.workspace, *allowance, now)) {
            isUseful = true;
            answer.levels.push_back(
                    this->ledger.onReport(from, reports.incarnation, report, *allowance, now,
                                          this->hasTakenOver(report.workspace, now)));
            continue;
        }
        // Without a level the host would take a first request to be within the allowance.
        AllowanceLevel none;
        none.workspace = report.workspace;
        none.othersRate = allowance->rate;
        answer.levels.push_back(std::move(none));
    }
    // A host without an answer turns to the other keeper, or to its own part.
    if (!isUseful)
        return std::nullopt;
    return AllowanceMessage{ from, std::move(answer) };
}

void HostAllowances::onLevels(HostId from, const AllowanceLevels &levels, Millis now)
{
    this->gate.onLevels(from, levels, now);
}

} // namespace quetzal
