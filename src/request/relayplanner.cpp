#include "request/relayplanner.h"

#include <algorithm>

namespace quetzal {

// Weight of the latest latency in the moving average.
static constexpr double latencyGain = 0.1;
// Random share added to each cost, so that hosts of similar cost are chosen about equally often.
static constexpr double costJitter = 0.2;
// Fraction of the greatest capacity in a zone that a host needs to be used as a relay.
static constexpr double minCapacityShare = 0.5;

void RelayPlanner::setPeers(std::vector<RelayPeer> newPeers)
{
    this->peers = std::move(newPeers);
}

bool RelayPlanner::isBackedOff(HostId host, Millis now) const
{
    const auto found = this->stats.find(host);
    return found != this->stats.end() && now < found->second.backOffUntil;
}

std::vector<HostId> RelayPlanner::owners(const std::string &zone, std::uint64_t key,
                                         const std::optional<RelayPeer> &self, Millis now) const
{
    std::vector<const RelayPeer *> candidates;
    for (const RelayPeer &peer : this->peers) {
        if (peer.zone == zone && !this->isBackedOff(peer.id, now))
            candidates.push_back(&peer);
    }
    if (self)
        candidates.push_back(&*self);
    double maxCapacity = 0;
    for (const RelayPeer *peer : candidates)
        maxCapacity = std::max(maxCapacity, peer->capacity);
    std::vector<std::pair<std::uint64_t, HostId>> ranked;
    for (const RelayPeer *peer : candidates) {
        if (peer->capacity >= maxCapacity * minCapacityShare)
            ranked.emplace_back(stableHash(peer->id.value, key), peer->id);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<HostId> result;
    for (std::size_t i = 0; i < std::min(ownersPerKey, ranked.size()); ++i)
        result.push_back(ranked[i].second);
    return result;
}

bool RelayPlanner::hasHigherCapacityPeer(const RelayPeer &self, Millis now) const
{
    return std::any_of(this->peers.begin(), this->peers.end(), [&](const RelayPeer &peer) {
        return peer.zone == self.zone && self.capacity < peer.capacity * minCapacityShare
               && !this->isBackedOff(peer.id, now);
    });
}

std::optional<HostId> RelayPlanner::choose(const std::vector<HostId> &candidates, Millis now)
{
    std::optional<HostId> best;
    double bestCost = 0;
    for (const HostId host : candidates) {
        const PeerStats &stats = this->stats[host];
        if (now < stats.backOffUntil)
            continue;
        const double draw = static_cast<double>(this->random() % 1000) / 1000;
        // Adds 1 ms, so that load also counts for hosts whose latency is not known yet.
        const double cost
                = (stats.latencyMs + 1) * (1 + stats.openRequests) * (1 + costJitter * draw);
        if (best && cost >= bestCost)
            continue;
        best = host;
        bestCost = cost;
    }
    return best;
}

void RelayPlanner::onSent(HostId host)
{
    this->stats[host].openRequests += 1;
}

void RelayPlanner::onAnswer(HostId host, Millis latency)
{
    PeerStats &stats = this->stats[host];
    stats.openRequests = std::max(0, stats.openRequests - 1);
    stats.latencyMs += (latency.count() - stats.latencyMs) * latencyGain;
    stats.backOffUntil = Millis();
    stats.nextBackoff = initialBackoff;
}

void RelayPlanner::onNoAnswer(HostId host)
{
    PeerStats &stats = this->stats[host];
    stats.openRequests = std::max(0, stats.openRequests - 1);
}

void RelayPlanner::onOverdue(HostId host, Millis now)
{
    PeerStats &stats = this->stats[host];
    if (now < stats.backOffUntil)
        return;
    stats.backOffUntil = now + stats.nextBackoff;
    stats.nextBackoff = std::min(maxBackoff, stats.nextBackoff * 2);
}

} // namespace quetzal
