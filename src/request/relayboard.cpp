#include "request/relayboard.h"

#include <algorithm>

namespace quetzal {

static constexpr double latencyGain = 0.1;
// Expected latencies this close are taken for equal.
static constexpr double jitter = 0.2;
// Part of the greatest capacity from which on a host counts among those with most.
static constexpr double equalShare = 0.5;

void RelayBoard::setPeers(std::vector<RelayPeer> next)
{
    this->peers = std::move(next);
}

bool RelayBoard::isAvoided(HostId host, Millis now) const
{
    const auto found = this->records.find(host);
    return found != this->records.end() && now < found->second.avoidUntil;
}

std::vector<HostId> RelayBoard::owners(const std::string &zone, std::uint64_t key,
                                       const std::optional<RelayPeer> &self, Millis now) const
{
    std::vector<const RelayPeer *> candidates;
    for (const RelayPeer &peer : this->peers) {
        if (peer.zone == zone && !this->isAvoided(peer.id, now))
            candidates.push_back(&peer);
    }
    if (self)
        candidates.push_back(&*self);
    double most = 0;
    for (const RelayPeer *peer : candidates)
        most = std::max(most, peer->capacity);
    std::vector<std::pair<std::uint64_t, HostId>> ranked;
    for (const RelayPeer *peer : candidates) {
        if (peer->capacity >= most * equalShare)
            ranked.emplace_back(stableHash(peer->id.value, key), peer->id);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<HostId> result;
    for (std::size_t i = 0; i < std::min(ownersPerKey, ranked.size()); ++i)
        result.push_back(ranked[i].second);
    return result;
}

bool RelayBoard::hasStronger(const RelayPeer &self, Millis now) const
{
    return std::any_of(this->peers.begin(), this->peers.end(), [&](const RelayPeer &peer) {
        return peer.zone == self.zone && self.capacity < peer.capacity * equalShare
               && !this->isAvoided(peer.id, now);
    });
}

std::optional<HostId> RelayBoard::choose(const std::vector<HostId> &among, Millis now)
{
    std::optional<HostId> best;
    double bestCost = 0;
    for (const HostId host : among) {
        const Record &record = this->records[host];
        if (now < record.avoidUntil)
            continue;
        const double draw = static_cast<double>(this->random() % 1000) / 1000;
        const double cost = (record.latency + 1) * (1 + record.open) * (1 + jitter * draw);
        if (best && cost >= bestCost)
            continue;
        best = host;
        bestCost = cost;
    }
    return best;
}

void RelayBoard::onSent(HostId host)
{
    this->records[host].open += 1;
}

void RelayBoard::onAnswer(HostId host, Millis latency)
{
    Record &record = this->records[host];
    record.open = std::max(0, record.open - 1);
    record.latency += (latency.count() - record.latency) * latencyGain;
    record.avoidUntil = Millis();
    record.avoidSpan = avoidTime;
}

void RelayBoard::onWithdrawn(HostId host)
{
    Record &record = this->records[host];
    record.open = std::max(0, record.open - 1);
}

void RelayBoard::onOverdue(HostId host, Millis now)
{
    Record &record = this->records[host];
    if (now < record.avoidUntil)
        return;
    record.avoidUntil = now + record.avoidSpan;
    record.avoidSpan = std::min(longestAvoidTime, record.avoidSpan * 2);
}

} // namespace quetzal
