// Tests of membership and ownership, run in virtual time.
#include "bench/virtual/virtualfleet.h"
#include "process/ownership.h"

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

FleetSetup smallFleet()
{
    FleetSetup setup;
    setup.hosts = 8;
    setup.zones = 3;
    setup.searchers = 10;
    setup.interZoneDelay = Millis(4);
    return setup;
}

// Hosts of smallFleet() other than the one that a test examines.
constexpr std::uint32_t otherHostCount = 7;

} // namespace

TEST_CASE("without faults no host is believed dead, in spite of packet loss")
{
    FleetSetup setup = smallFleet();
    setup.loss = 0.1;
    VirtualFleet fleet(setup);
    fleet.runUntil(Millis(60'000));
    for (std::uint32_t host = 0; host < setup.hosts; ++host)
        CHECK(fleet.hostsSeeingDead(host) == 0);
}

TEST_CASE("every host learns that a host has died and that it has restarted")
{
    VirtualFleet fleet(smallFleet());
    fleet.runUntil(Millis(5000));
    fleet.killHost(2);
    fleet.runUntil(Millis(15'000));
    CHECK(fleet.hostsSeeingDead(2) == otherHostCount);
    fleet.startHost(2);
    fleet.runUntil(Millis(20'000));
    CHECK(fleet.hostsSeeingDead(2) == 0);
    CHECK(fleet.upToDateHostCount() == fleet.runningHostCount());
}

TEST_CASE("after a partition of a zone, all hosts find each other and the newest tables again")
{
    VirtualFleet fleet(smallFleet());
    fleet.runUntil(Millis(5000));
    fleet.setZoneIsolated(1, true);
    fleet.runUntil(Millis(15'000));
    fleet.editTables();
    fleet.runUntil(Millis(20'000));
    CHECK(fleet.upToDateHostCount() < fleet.runningHostCount());
    fleet.setZoneIsolated(1, false);
    fleet.runUntil(Millis(30'000));
    CHECK(fleet.upToDateHostCount() == fleet.runningHostCount());
    CHECK(fleet.aliveSeenBy(1) == otherHostCount);
    CHECK(fleet.revisionRegressions() == 0);
}

TEST_CASE("a change after the store has lost every watch reaches all hosts within seconds")
{
    VirtualFleet fleet(smallFleet());
    fleet.runUntil(Millis(5000));
    fleet.loseWatches();
    fleet.runUntil(Millis(5100));
    fleet.editTables();
    fleet.runUntil(Millis(10'100));
    CHECK(fleet.upToDateHostCount() == fleet.runningHostCount());
}

TEST_CASE("a host that starts during a store outage gets the tables from other hosts")
{
    VirtualFleet fleet(smallFleet());
    fleet.runUntil(Millis(5000));
    fleet.setStoreUp(false);
    fleet.killHost(4);
    fleet.runUntil(Millis(8000));
    fleet.startHost(4);
    fleet.runUntil(Millis(14'000));
    CHECK(fleet.upToDateHostCount() == fleet.runningHostCount());
}

TEST_CASE("after half of the fleet has restarted at once, all hosts are alive and current")
{
    VirtualFleet fleet(smallFleet());
    fleet.runUntil(Millis(5000));
    for (const std::uint32_t host : { 0U, 2U, 4U, 6U })
        fleet.killHost(host);
    fleet.runUntil(Millis(5500));
    for (const std::uint32_t host : { 0U, 2U, 4U, 6U })
        fleet.startHost(host);
    fleet.runUntil(Millis(12'000));
    for (std::uint32_t host = 0; host < 8; ++host)
        CHECK(fleet.hostsSeeingDead(host) == 0);
    CHECK(fleet.upToDateHostCount() == fleet.runningHostCount());
}

TEST_CASE("when a host leaves, only its searchers move, and they stay in the zone")
{
    std::vector<OwnerCandidate> hosts;
    for (std::uint64_t i = 1; i <= 9; ++i)
        hosts.push_back({ { i }, stableHash("zone-" + std::to_string(i % 3)), {} });
    const Ownership before(hosts);
    std::vector<OwnerCandidate> remainingHosts = hosts;
    remainingHosts.erase(remainingHosts.begin());
    const Ownership after(remainingHosts);
    for (std::uint64_t i = 1; i <= 1000; ++i) {
        const HostId ownerBefore = before.ownerOf({ i }, "zone-1");
        const HostId ownerAfter = after.ownerOf({ i }, "zone-1");
        CHECK(ownerBefore.value % 3 == 1);
        if (ownerBefore != HostId{ 1 })
            CHECK(ownerBefore == ownerAfter);
    }
    // Searchers of a zone without hosts are owned by hosts of other zones.
    CHECK(before.ownerOf({ 5 }, "zone-9") != HostId());
    CHECK(Ownership().ownerOf({ 5 }, "zone-1") == HostId());
}

TEST_CASE("hosts that read the same list do not ping in the same order")
{
    FleetSetup setup = smallFleet();
    setup.hosts = 60;
    VirtualFleet fleet(setup);
    // Early in the first round of pings, which takes 24 s.
    fleet.runUntil(Millis(3000));
    fleet.killHost(7);
    fleet.runUntil(Millis(10'000));
    CHECK(fleet.hostsSeeingDead(7) == setup.hosts - 1);
}

TEST_CASE("all serving hosts with a higher revision are returned, not only the first")
{
    MemberInfo self;
    self.id = { 1 };
    Membership membership(self, MembershipTimes(), 1);
    std::vector<OutgoingHeartbeat> out;
    for (std::uint64_t i = 2; i <= 5; ++i) {
        Heartbeat heartbeat;
        heartbeat.sender.id = { i };
        heartbeat.sender.incarnation = { 1 };
        heartbeat.sender.revision = { i };
        heartbeat.sender.state = i == 5 ? MemberState::Leaving : MemberState::Alive;
        membership.onHeartbeat(heartbeat, Millis(0), out);
        // The first heartbeat adds the host, the second one updates its revision.
        membership.onHeartbeat(heartbeat, Millis(1), out);
    }
    CHECK(membership.aheadOf({ 2 }) == std::vector<HostId>{ { 3 }, { 4 } });
    CHECK(membership.aheadOf({ 9 }).empty());
}

TEST_CASE("a corrupt revision of a host holds only until the host's next heartbeat")
{
    MemberInfo self;
    self.id = { 1 };
    Membership membership(self, MembershipTimes(), 1);
    std::vector<OutgoingHeartbeat> out;
    Heartbeat heartbeat;
    heartbeat.sender.id = { 2 };
    heartbeat.sender.incarnation = { 1 };
    heartbeat.sender.revision = { std::uint64_t(1) << 62 };
    membership.onHeartbeat(heartbeat, Millis(0), out);
    heartbeat.sender.revision = { 4 };
    membership.onHeartbeat(heartbeat, Millis(1), out);
    CHECK(membership.aheadOf({ 4 }).empty());
    CHECK(membership.aheadOf({ 3 }) == std::vector<HostId>{ { 2 } });
}
