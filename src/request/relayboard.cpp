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

std::optional<HostId> RelayBoard::choose(const std::set<std::string> &zones, Millis now)
{
    std::optional<HostId> best;
    double bestCost = 0;
    for (const RelayPeer &peer : this->peers) {
        if (!zones.contains(peer.zone))
            continue;
        const Record &record = this->records[peer.id];
        if (now < record.avoidUntil)
            continue;
        const double draw = static_cast<double>(this->random() % 1000) / 1000;
        const double cost = (record.latency + 1) * (1 + record.open) * (1 + jitter * draw);
        if (best && cost >= bestCost)
            continue;
        best = peer.id;
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
