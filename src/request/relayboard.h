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
// A host that owes an answer for longer than it had to is not asked for avoidTime, which doubles
// each time until it answers again.
class RelayBoard
{
public:
    explicit RelayBoard(std::uint64_t seed)
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
    bool hasStronger(const RelayPeer &self, Millis now) const;

    // Returns one of the hosts, or nothing if none may be asked.
    std::optional<HostId> choose(const std::vector<HostId> &among, Millis now);

    static constexpr std::size_t ownersPerKey = 3;

    // Records a request that was sent, and its end.
    void onSent(HostId host);
    void onAnswer(HostId host, Millis latency);
    void onWithdrawn(HostId host);

    // The host did not answer in time, or its messages stay unacknowledged.
    void onOverdue(HostId host, Millis now);

    static constexpr Millis avoidTime = Millis(1000);
    static constexpr Millis longestAvoidTime = Millis(8000);

private:
    struct Record
    {
        int open = 0;
        double latency = 0;
        Millis avoidUntil;
        Millis avoidSpan = avoidTime;
    };

    std::minstd_rand random;
    bool isAvoided(HostId host, Millis now) const;

    std::vector<RelayPeer> peers;
    std::map<HostId, Record> records;
};

} // namespace quetzal
