// What a host knows of the other hosts of its fleet.
#pragma once

#include "quetzal/ids.h"
#include "quetzal/millis.h"

#include <cstddef>
#include <deque>
#include <map>
#include <set>

namespace quetzal {

// Estimates how many hosts share an allowance, and how many of them this host can reach.
//
// Answers hosts that are cut off or that start without finding the others: neither may conclude
// that it is the only host. Hosts that are lost count for a time, as they may be alive and admit
// requests, and a host that has just started knows no number until it finds hardly any others.
// Reads no clock.
class FleetReach
{
public:
    // hasSeeds: whether the settings name other hosts.
    FleetReach(HostId self, bool hasSeeds)
        : self(self)
        , hasSeeds(hasSeeds)
    {}

    void setHasSeeds(bool hasOtherHosts) { this->hasSeeds = hasOtherHosts; }

    // Sets the other hosts that the membership takes to be alive.
    void setAlive(const std::set<HostId> &alive, Millis now);

    // A datagram of another host arrived.
    void onHeard(HostId host, Millis now);

    // A message was sent that the host acknowledges.
    void onSent(HostId host, Millis now);

    // Returns the number of hosts that may be admitting requests, this one included; 0 while it is
    // unknown.
    std::size_t size(Millis now);

    // Returns how many of them this host can reach, itself included.
    std::size_t reachable(Millis now) const;

    // Returns true if there are other hosts and none has been heard for some time.
    bool isIsolated(Millis now) const;

    // Time for which lost hosts count.
    static constexpr Millis lostHostRetention = Millis(20'000);

private:
    struct OtherHost
    {
        bool isAlive = false;
        Millis lostAt;
        // When the first message was sent that the host has not acknowledged.
        Millis unansweredSince = Millis::never();
    };

    bool isCounted(const OtherHost &host, Millis now) const;
    // Returns true once this host is taken to know all others.
    bool isComplete(Millis now);

    HostId self;
    bool hasSeeds = false;
    std::map<HostId, OtherHost> others;
    // When each of the other hosts was found, until they are taken to be complete.
    std::deque<Millis> foundAt;
    // When any other host was last heard.
    Millis heardAt;
    bool wasComplete = false;
};

} // namespace quetzal
