// Simulation of the membership and table distribution of a fleet in virtual time, using the
// production code.
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

// Parameters of a simulated fleet.
struct FleetSetup
{
    std::uint32_t hosts = 2900;
    std::uint32_t zones = 17;
    std::uint32_t searchers = 300;
    // Fraction of messages between hosts whose first transmission is lost.
    double loss = 0.02;
    // One-way delays within a zone and between zones.
    Millis intraZoneDelay = Millis(0.5);
    Millis interZoneDelay = Millis(20);
    std::uint64_t seed = 1;
    // Number of hosts in each zone that watch the store.
    std::uint32_t watchersPerZone = 2;
};

// Runs Membership and TableSync of every host with a simulated store and lossy links.
class VirtualFleet
{
public:
    explicit VirtualFleet(const FleetSetup &setup);
    ~VirtualFleet();
    VirtualFleet(const VirtualFleet &) = delete;
    VirtualFleet &operator=(const VirtualFleet &) = delete;

    void runUntil(Millis end) { this->clock.runUntil(end); }
    VirtualTime &time() { return this->clock; }

    // Writes the next revision of the tables to the store.
    void editTables();
    // Starts or ends a store outage. An outage ends the pending watches.
    void setStoreUp(bool up);
    // Loses the pending watches: their hosts get no answer and no other sign of it.
    void loseWatches() { this->watches.clear(); }
    // Isolates a zone from the others and from the store, or reconnects it.
    void setZoneIsolated(std::uint32_t zone, bool isolated);
    // Stops a host without notice to the others.
    void killHost(std::uint32_t host);
    // Starts a host as a new incarnation within a second.
    void startHost(std::uint32_t host);

    // Returns the number of hosts on which the newest revision is active.
    std::uint32_t upToDateHostCount() const;
    std::uint32_t runningHostCount() const;
    // Returns how often a host activated a lower revision than it had before.
    std::uint64_t revisionRegressions() const { return this->regressionCount; }
    std::uint64_t storeCalls() const { return this->calls; }
    // Returns the bytes that hosts have sent to each other.
    double controlBytes() const { return this->bytes; }
    // Returns the memory of the membership state of a host.
    std::size_t stateBytes(std::uint32_t host) const;
    // Returns the number of hosts on which a host is dead or unknown.
    std::uint32_t hostsSeeingDead(std::uint32_t host) const;
    // Returns the number of other hosts that are alive in the view of a host.
    std::uint32_t aliveSeenBy(std::uint32_t host) const;

private:
    struct Host;
    // A store call that waits for the next change of the manifest.
    struct Watch
    {
        std::uint64_t id = 0;
        std::uint32_t host = 0;
        std::uint64_t incarnation = 0;
    };

    void send(std::uint32_t from, std::vector<OutgoingHeartbeat> &out);
    // Delivers an event to another host. If the message is lost, an unreliable one is dropped and a
    // reliable one is delayed by a retransmission.
    void deliver(std::uint32_t from, std::uint32_t to, std::size_t size, bool reliable,
                 VirtualTime::Event event);
    void runMembershipTimer(std::uint32_t host, std::uint64_t incarnation);
    void runTableSync(std::uint32_t host, std::uint64_t incarnation);
    void armTableSyncTimer(std::uint32_t host);
    void applyActions(std::uint32_t host, const SyncActions &actions);
    void callStore(std::uint32_t host, const SyncAction &action);
    void deliverStoreReply(std::uint32_t host, std::uint64_t incarnation, bool reached);
    void completeWatches();
    // Returns whether an isolated zone lies between two hosts.
    bool isPartitioned(std::uint32_t a, std::uint32_t b) const;
    std::uint32_t zoneOf(std::uint32_t host) const { return host % this->setup.zones; }
    // Returns a random number from 0 up to 1.
    double randomFraction();

    FleetSetup setup;
    VirtualTime clock;
    std::mt19937_64 random;
    std::vector<MemberInfo> infos;
    std::unordered_map<HostId, std::uint32_t> hostNumbers;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::uint64_t> incarnations;
    std::vector<bool> isolatedZones;
    std::vector<Watch> watches;
    std::uint64_t lastWatchId = 0;
    bool storeUp = true;
    std::string manifestBytes;
    ChunkMap storeChunks;
    Revision revision;
    std::uint64_t storeVersion = 0;
    std::uint64_t calls = 0;
    std::uint64_t regressionCount = 0;
    double bytes = 0;
};

} // namespace quetzal
