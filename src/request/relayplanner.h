// Which other host answers a request whose searchers are far from this one.
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

// A host that may be asked.
struct RelayPeer
{
    HostId id;
    std::string zone;
    // How much work it takes, relative to others.
    double capacity = 1;
};

// Keeps what this host has seen of the others as relays, and chooses among them.
//
// A host that owes an answer for longer than it had to is not asked for initialBackoff, which
// doubles each time until it answers again.
class RelayPlanner
{
public:
    explicit RelayPlanner(std::uint64_t seed)
        : random(seed)
    {}

    // Sets the hosts that are alive now.
    void setPeers(std::vector<RelayPeer> peers);

    // Returns the hosts of a zone that come first for a key by rendezvous hashing among those with
    // most capacity, self among them if it is in the zone. The same few hosts gather the same
    // parts, so that they know the searchers and keep connections to them. Hosts that are avoided
    // are left out.
    std::vector<HostId> owners(const std::string &zone, std::uint64_t key,
                               const std::optional<RelayPeer> &self, Millis now) const;

    // True if some host of its zone that may be asked has much more capacity.
    bool hasHigherCapacityPeer(const RelayPeer &self, Millis now) const;

    // Returns one of the hosts, or nothing if none may be asked.
    std::optional<HostId> choose(const std::vector<HostId> &among, Millis now);

    static constexpr std::size_t ownersPerKey = 3;

    // Records a request that was sent, and its end.
    void onSent(HostId host);
    void onAnswer(HostId host, Millis latency);
    void onNoAnswer(HostId host);

    // The host did not answer in time, or its messages stay unacknowledged.
    void onOverdue(HostId host, Millis now);

    static constexpr Millis initialBackoff = Millis(1000);
    static constexpr Millis maxBackoff = Millis(8000);

private:
    struct PeerStats
    {
        int openRequests = 0;
        double latencyMs = 0;
        Millis backOffUntil;
        Millis nextBackoff = initialBackoff;
    };

    std::minstd_rand random;
    bool isBackedOff(HostId host, Millis now) const;

    std::vector<RelayPeer> peers;
    std::map<HostId, PeerStats> stats;
};

} // namespace quetzal
