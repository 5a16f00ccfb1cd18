// Simulates a fleet of 2,900 hosts in one process and measures control traffic, processor time,
// memory, and how soon a table change is active on all hosts, also with packet loss, an isolated
// zone and a store outage.
#include "bench/report.h"
#include "bench/virtual/virtualfleet.h"

#include <ctime>
#include <fstream>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::uint64_t, seed, 1, "seed");
ABSL_FLAG(std::uint32_t, hosts, 2900, "number of hosts in the fleet");

namespace quetzal {

namespace {

// Targets for the fleet size that is expected in two years. Control traffic, share of a core and
// memory are per host.
constexpr double maxActivationSeconds = 19;
constexpr double maxBytesPerSecond = 13'000;
constexpr double maxCoreShare = 0.026;
constexpr double maxMemoryBytes = 256e6;
// Mean number of table changes.
constexpr double changesPerDay = 7600;
constexpr double secondsPerDay = 86'400;
// Read throughput of the platform's key-value service.
constexpr double storeReadsPerSecond = 2000;

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// Runs until all running hosts have the newest revision or the limit has passed. Returns the
// virtual seconds that passed.
double secondsUntilCurrent(VirtualFleet &fleet, Millis limit)
{
    const Millis begin = fleet.time().now();
    const Millis step(100);
    while (fleet.upToDateHostCount() < fleet.runningHostCount()
           && fleet.time().now() - begin < limit)
        fleet.runUntil(fleet.time().now() + step);
    return (fleet.time().now() - begin).count() / 1000;
}

FleetSetup makeSetup()
{
    FleetSetup setup;
    setup.hosts = absl::GetFlag(FLAGS_hosts);
    setup.seed = absl::GetFlag(FLAGS_seed);
    return setup;
}

// Start of the fleet, then its control traffic and load under steady table changes.
void steadyState(Report &report, VirtualFleet &fleet)
{
    report.checkAtMost("fleet/start/current", secondsUntilCurrent(fleet, Millis(60'000)), "s",
                       maxActivationSeconds);
    fleet.runUntil(fleet.time().now() + Millis(30'000));
    const double bytesBefore = fleet.controlBytes();
    const double callsBefore = static_cast<double>(fleet.storeCalls());
    const double processorBefore = processorSeconds();
    // One minute of table changes at three times the daily mean rate.
    static constexpr double spanSeconds = 60;
    const double changes = 3 * changesPerDay / secondsPerDay * spanSeconds;
    for (int i = 0; i < static_cast<int>(changes); ++i)
        fleet.time().after(Millis(i * spanSeconds * 1000 / changes),
                           [&fleet] { fleet.editTables(); });
    fleet.runUntil(fleet.time().now() + Millis(spanSeconds * 1000));
    const double hosts = fleet.runningHostCount();
    const double perHost = (fleet.controlBytes() - bytesBefore) / spanSeconds / hosts;
    const double core = (processorSeconds() - processorBefore) / spanSeconds / hosts;
    report.checkAtMost("fleet/steady/control-bytes", perHost, "B/s", maxBytesPerSecond);
    report.checkAtMost("fleet/steady/core-share", core, "of-a-core", maxCoreShare);
    report.checkAtMost("fleet/steady/membership-state", static_cast<double>(fleet.stateBytes(0)),
                       "bytes", maxMemoryBytes);
    report.checkAtMost("fleet/steady/store-calls",
                       (static_cast<double>(fleet.storeCalls()) - callsBefore) / spanSeconds,
                       "calls/s", storeReadsPerSecond);
}

// Time until a table change is active on all hosts.
void tableChange(Report &report, VirtualFleet &fleet)
{
    const double callsBefore = static_cast<double>(fleet.storeCalls());
    fleet.editTables();
    report.checkAtMost("fleet/change/in-force", secondsUntilCurrent(fleet, Millis(60'000)), "s",
                       maxActivationSeconds);
    report.addFigure("fleet/change/store-calls",
                     static_cast<double>(fleet.storeCalls()) - callsBefore, "calls");
}

// Recovery of a zone that missed a table change while it was isolated.
void zoneIsolation(Report &report, VirtualFleet &fleet)
{
    fleet.setZoneIsolated(3, true);
    fleet.runUntil(fleet.time().now() + Millis(20'000));
    fleet.editTables();
    fleet.runUntil(fleet.time().now() + Millis(20'000));
    fleet.setZoneIsolated(3, false);
    report.checkAtMost("fleet/zone-cut/in-force-after-healing",
                       secondsUntilCurrent(fleet, Millis(120'000)), "s", maxActivationSeconds);
    fleet.runUntil(fleet.time().now() + Millis(15'000));
    // Host 3 is in zone 3.
    const std::uint32_t inZone = 3;
    const double share = static_cast<double>(fleet.aliveSeenBy(inZone))
                         / static_cast<double>(fleet.runningHostCount() - 1);
    report.addFigure("fleet/zone-cut/alive-seen-15s-after-healing", share, "fraction");
}

// Store load during an outage, and time to catch up with a change made meanwhile.
void storeOutage(Report &report, VirtualFleet &fleet)
{
    fleet.setStoreUp(false);
    const double callsBefore = static_cast<double>(fleet.storeCalls());
    static constexpr double outageSeconds = 60;
    fleet.runUntil(fleet.time().now() + Millis(outageSeconds * 1000));
    report.checkAtMost("fleet/outage/store-calls",
                       (static_cast<double>(fleet.storeCalls()) - callsBefore) / outageSeconds,
                       "calls/s", storeReadsPerSecond);
    fleet.editTables();
    fleet.setStoreUp(true);
    report.checkAtMost("fleet/outage/current-after-return",
                       secondsUntilCurrent(fleet, Millis(60'000)), "s", 5);
}

// Time until a host failure is known everywhere, and until the restarted host is up to date.
void hostFailures(Report &report, VirtualFleet &fleet)
{
    const std::uint32_t dead = 77;
    fleet.killHost(dead);
    const Millis begin = fleet.time().now();
    while (fleet.hostsSeeingDead(dead) < fleet.runningHostCount()
           && fleet.time().now() - begin < Millis(60'000))
        fleet.runUntil(fleet.time().now() + Millis(200));
    report.addFigure("fleet/death/known-everywhere", (fleet.time().now() - begin).count() / 1000,
                     "s");
    fleet.startHost(dead);
    report.checkAtMost("fleet/death/restarted-current", secondsUntilCurrent(fleet, Millis(60'000)),
                       "s", maxActivationSeconds);
}

} // namespace

} // namespace quetzal

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    quetzal::Report report;
    quetzal::VirtualFleet fleet(quetzal::makeSetup());
    quetzal::steadyState(report, fleet);
    quetzal::tableChange(report, fleet);
    quetzal::hostFailures(report, fleet);
    quetzal::zoneIsolation(report, fleet);
    quetzal::storeOutage(report, fleet);
    report.checkAtMost("fleet/steps-back", static_cast<double>(fleet.revisionRegressions()),
                       "steps", 0);
    return report.print();
}
