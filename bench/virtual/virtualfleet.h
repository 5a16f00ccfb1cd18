// A fleet's membership and tables in virtual time, driving the shipped core.
#pragma once

#include "bench/virtual/virtualtime.h"
#include "process/membership.h"
#include "version/tablesync.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace quetzal {

// Sizes of a virtual fleet.
struct FleetSetup
{
    std::uint32_t hosts = 2900;
    std::uint32_t zones = 17;
    std::uint32_t searchers = 300;
    double loss = 0.02;
    Millis nearDelay = Millis(0.5);
    Millis farDelay = Millis(20);
    std::uint64_t seed = 1;
    // Hosts that watch the store in each zone.
    std::uint32_t watchersPerZone = 2;
};

// Runs every host's Membership and TableSync with a fake store and lossy links.
class VirtualFleet
{
public:
    explicit VirtualFleet(const FleetSetup &setup);
    ~VirtualFleet();
    VirtualFleet(const VirtualFleet &) = delete;
    VirtualFleet &operator=(const VirtualFleet &) = delete;

    void runUntil(Millis end) { this->clock.runUntil(end); }
    VirtualTime &time() { return this->clock; }

    // An operator's edit: the next revision is in the store.
    void edit();
    void setStoreUp(bool up);
    // Cuts a zone off from the others and from the store.
    void setZoneCut(std::uint32_t zone, bool cut);
    void killHost(std::uint32_t host);
    void startHost(std::uint32_t host);

    // Returns the hosts that have the newest revision in force.
    std::uint32_t hostsCurrent() const;
    std::uint32_t hostsUp() const;
    // Times at which some host put a lower revision in force than before.
    std::uint64_t stepsBack() const { return this->backSteps; }
    std::uint64_t storeCalls() const { return this->calls; }
    double controlBytes() const { return this->bytes; }
    std::size_t stateBytes(std::uint32_t host) const;
    // Returns how many hosts believe that a host is dead.
    std::uint32_t believersOfDeath(std::uint32_t host) const;
    // Returns the other hosts that a host believes to be alive.
    std::uint32_t aliveSeenBy(std::uint32_t host) const;

private:
    struct Host;
    struct Watch
    {
        std::uint32_t host = 0;
        std::uint64_t life = 0;
    };

    void send(std::uint32_t from, std::vector<OutgoingHeartbeat> &out);
    void carry(std::uint32_t from, std::uint32_t to, std::size_t size, bool reliable,
               VirtualTime::Event event);
    void tickMembership(std::uint32_t host, std::uint64_t life);
    void tickTables(std::uint32_t host, std::uint64_t life);
    void armTables(std::uint32_t host);
    void perform(std::uint32_t host, const SyncActions &actions);
    void callStore(std::uint32_t host, const SyncAction &action);
    void answerStore(std::uint32_t host, std::uint64_t life, bool reached);
    void wakeWatches();
    bool separated(std::uint32_t a, std::uint32_t b) const;
    std::uint32_t zoneOf(std::uint32_t host) const { return host % this->setup.zones; }
    double draw();

    FleetSetup setup;
    VirtualTime clock;
    std::mt19937_64 random;
    std::vector<MemberInfo> infos;
    std::unordered_map<HostId, std::uint32_t> numbers;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::uint64_t> lives;
    std::vector<bool> zoneCut;
    std::vector<Watch> watches;
    bool storeUp = true;
    std::string manifestBytes;
    ChunkMap storeChunks;
    Revision revision;
    std::uint64_t storeVersion = 0;
    std::uint64_t calls = 0;
    std::uint64_t backSteps = 0;
    double bytes = 0;
};

} // namespace quetzal
