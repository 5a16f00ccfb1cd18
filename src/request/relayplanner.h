// Selects the hosts that gather parts of requests on behalf of this host.
#pragma once

#include "quetzal/ids.h"
#include "quetzal/millis.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace quetzal {

// A host that may act as a relay.
struct RelayPeer
{
    HostId id;
    std::string zone;
    // Its capacity relative to other hosts.
    double capacity = 1;
};

// Tracks latency, load and failures of other hosts as relays, and chooses among them.
//
// A host whose answer is overdue is not used for a back-off period. The period starts at
// initialBackoff, doubles with each failure up to maxBackoff, and is reset by an answer.
class RelayPlanner
{
public:
    explicit RelayPlanner(std::uint64_t seed)
        : random(seed)
    {}

    // Sets the other hosts that are currently alive.
    void setPeers(std::vector<RelayPeer> peers);

    // Returns the hosts of a zone that rank first for a key by rendezvous hashing, at most
    // ownersPerKey. Only hosts of high capacity are ranked, and none that is backed off; self is a
    // candidate if given. The same few hosts gather the same parts, so that they have latency
    // estimates of the searchers and open connections to them.
    std::vector<HostId> owners(const std::string &zone, std::uint64_t key,
                               const std::optional<RelayPeer> &self, Millis now) const;

    // True if a host of the same zone that is not backed off has much more capacity than self.
    bool hasHigherCapacityPeer(const RelayPeer &self, Millis now) const;

    // Returns the host with the lowest expected latency and load, or nothing if all are backed off.
    std::optional<HostId> choose(const std::vector<HostId> &candidates, Millis now);

    static constexpr std::size_t ownersPerKey = 3;

    // Records that a request was sent.
    void onSent(HostId host);
    // Records an answer and its latency. Ends the back-off.
    void onAnswer(HostId host, Millis latency);
    // Records that a request ended without an answer: it was cancelled, rejected or failed.
    void onNoAnswer(HostId host);

    // Starts a back-off: the host did not answer in time, or does not acknowledge messages.
    void onOverdue(HostId host, Millis now);

    // Duration of the first and of the longest back-off.
    static constexpr Millis initialBackoff = Millis(1000);
    static constexpr Millis maxBackoff = Millis(8000);

private:
    struct PeerStats
    {
        // Requests sent and not ended.
        int openRequests = 0;
        // Exponential moving average, in milliseconds.
        double latencyMs = 0;
        Millis backOffUntil;
        // Duration of the next back-off.
        Millis nextBackoff = initialBackoff;
    };

    std::minstd_rand random;
    bool isBackedOff(HostId host, Millis now) const;

    std::vector<RelayPeer> peers;
    std::map<HostId, PeerStats> stats;
};

} // namespace quetzal
