#include "request/relayboard.h"

#include <algorithm>

namespace quetzal {

static constexpr double latencyGain = 0.1;
// Expected latencies this close are taken for equal.
static constexpr double jitter = 0.2;

void RelayBoard::setPeers(std::vector<RelayPeer> next)
{
    this->peers = std::move(next);
}

std::vector<HostId> RelayBoard::owners(const std::string &zone, std::uint64_t key,
                                       std::optional<HostId> self) const
{
    std::vector<std::pair<std::uint64_t, HostId>> ranked;
    for (const RelayPeer &peer : this->peers) {
        if (peer.zone == zone)
            ranked.emplace_back(stableHash(peer.id.value, key), peer.id);
    }
    if (self)
        ranked.emplace_back(stableHash(self->value, key), *self);
    std::sort(ranked.begin(), ranked.end());
    std::vector<HostId> result;
    for (std::size_t i = 0; i < std::min(ownersPerKey, ranked.size()); ++i)
        result.push_back(ranked[i].second);
    return result;
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
