// Compares the request policy with a naive baseline and with variants that have one mechanism
// switched off, under load and faults in virtual time.
#include "bench/policystatistics.h"

#include <algorithm>
#include <atomic>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random generator in all scenarios");
ABSL_FLAG(std::string, only, "", "run only the scenarios whose names contain this text");
ABSL_FLAG(std::string, csv, "",
          "write latency and coverage of the trade-off scenario to this CSV file");

namespace quetzal {

namespace {

// Half load without a fault.
void healthyScenario(Report &report, std::uint64_t seed)
{
    const auto tier = comparePolicies(report, "healthy", seed, 0.5, runLength, nullptr, warmup);
    report.checkAtMost("healthy/ours/extra-load-bound", extraLoad(*tier), "fraction", 0.05);
}

// One searcher becomes ten times slower.
void slowSearcher(Report &report, std::uint64_t seed)
{
    const auto fault = [](VirtualTier &tier) {
        tier.time().at(faultAt, [&tier] { tier.searcher(0).behaviour.slowness = 10; });
    };
    const auto tier
            = comparePolicies(report, "slow-searcher", seed, 0.5, runLength, fault, faultAt);
    const RunStatistics ours = computeStatistics(*tier, faultAt, runLength);
    report.checkAtMost("slow-searcher/ours/p99-ratio", ours.p99 / runWithoutFault(seed, 0.5).p99,
                       "ratio", 1.5);
    report.checkAtMost("slow-searcher/ours/extra-load-bound", extraLoad(*tier), "fraction", 0.05);
}

// One replica of every shard stops.
void replicaLoss(Report &report, std::uint64_t seed)
{
    const auto fault = [](VirtualTier &tier) {
        tier.time().at(faultAt, [&tier] {
            for (std::size_t i = 0; i < tier.searcherCount(); i += 2)
                tier.stopSearcher(i);
        });
    };
    const auto tier = comparePolicies(report, "replica-loss", seed, 0.4, runLength, fault, faultAt);
    const RunStatistics ours = computeStatistics(*tier, faultAt, runLength);
    const double recoveryMillis = std::max(0.0, (ours.lastIncompleteAt - faultAt).count());
    report.checkAtMost("replica-loss/ours/complete-again", recoveryMillis, "ms", 2000);
}

// Twice the capacity for 30 s, then half of it.
void overload(Report &report, std::uint64_t seed)
{
    const Millis begin = faultAt;
    const Millis end = faultAt + Millis(30'000);
    const Millis length = end + Millis(23'000);
    for (const Policy policy : { Policy::Naive, Policy::NoAdmission, Policy::Ours }) {
        VirtualTier tier(makeSetup(policy, seed));
        const double capacity = tier.capacityPerSecond();
        const double searches = 1 - TierSetup().orderFraction;
        tier.addLoad(Millis(0), begin, 0.5 * capacity);
        tier.addLoad(begin, end - begin, 2 * capacity);
        tier.addLoad(end, length - end, 0.5 * capacity);
        tier.runUntil(length + settleTime);
        const RunStatistics during = computeStatistics(tier, begin, end);
        const RunStatistics after = computeStatistics(tier, end + Millis(3000), length);
        const std::string prefix = "overload/" + nameOf(policy) + "/";
        const double goodput = during.completePerSecond / capacity;
        const double expired = static_cast<double>(tier.expiredRunCount())
                               / static_cast<double>(tier.runCount());
        static_cast<void>(searches);
        if (policy != Policy::Ours) {
            report.addFigure(prefix + "goodput", goodput, "of-capacity");
            report.addFigure(prefix + "p99-during", during.p99, "ms");
            report.addFigure(prefix + "p99-after", after.p99, "ms");
            report.addFigure(prefix + "expired-work", expired, "fraction");
            continue;
        }
        report.checkAtLeast(prefix + "goodput", goodput, "of-capacity", 0.9);
        report.addFigure(prefix + "p99-during", during.p99, "ms");
        report.checkAtMost(prefix + "p99-after-ratio", after.p99 / runWithoutFault(seed, 0.5).p99,
                           "ratio", 1.25);
        report.checkAtMost(prefix + "expired-work", expired, "fraction", 0.02);
        checkViolations(report, "overload", tier);
    }
}

// All searchers reject all work for 5 s.
void retryStorm(Report &report, std::uint64_t seed)
{
    for (const Policy policy : { Policy::Naive, Policy::Ours }) {
        VirtualTier tier(makeSetup(policy, seed));
        tier.addLoad(Millis(0), runLength, 0.5 * tier.capacityPerSecond());
        std::uint64_t firstsBefore = 0;
        std::uint64_t allBefore = 0;
        double ratio = 0;
        const auto shed = [&tier](bool on) {
            for (std::size_t i = 0; i < tier.searcherCount(); ++i)
                tier.searcher(i).shedAll = on;
        };
        tier.time().at(faultAt, [&] {
            shed(true);
            firstsBefore = tier.firstAttempts();
            allBefore = tier.allAttempts();
        });
        tier.time().at(faultAt + Millis(5000), [&] {
            shed(false);
            ratio = static_cast<double>(tier.allAttempts() - allBefore)
                    / static_cast<double>(tier.firstAttempts() - firstsBefore);
        });
        tier.runUntil(runLength + settleTime);
        const std::string prefix = "retry-storm/" + nameOf(policy) + "/";
        if (policy == Policy::Naive) {
            report.addFigure(prefix + "attempts", ratio, "per-sub-request");
            continue;
        }
        report.checkAtMost(prefix + "attempts", ratio, "per-sub-request", 1.1);
        checkViolations(report, "retry-storm", tier);
    }
}

// Two percent packet loss between zones.
void lossBetweenZones(Report &report, std::uint64_t seed)
{
    const auto fault = [](VirtualTier &tier) { tier.setLoss(0.02); };
    const auto tier = comparePolicies(report, "loss", seed, 0.5, runLength, fault, warmup);
    const double roundTrip = TierSetup().zoneOneWayDelay.count() * 2;
    report.checkAtMost("loss/ours/p99-bound", computeStatistics(*tier, warmup, runLength).p99, "ms",
                       runWithoutFault(seed, 0.5).p99 + 2 * roundTrip);
}

// All open connections to searchers go silent.
void silence(Report &report, std::uint64_t seed)
{
    const auto fault = [](VirtualTier &tier) {
        tier.time().at(faultAt, [&tier] { tier.silenceAllConnections(); });
    };
    const auto tier = comparePolicies(report, "silence", seed, 0.5, runLength, fault, faultAt);
    const RunStatistics ours = computeStatistics(*tier, faultAt, runLength);
    report.checkAtMost("silence/ours/complete-again",
                       std::max(0.0, (ours.lastIncompleteAt - faultAt).count()), "ms", 1000);
}

// Restarts all searchers in batches of shards: first replica 0 of every shard, then replica 1.
void scheduleRollingRestart(VirtualTier &tier, Millis begin, Millis down, Millis step,
                            std::size_t batch)
{
    for (std::size_t replica = 0; replica < 2; ++replica) {
        const std::size_t shards = tier.searcherCount() / 2;
        for (std::size_t first = 0; first < shards; first += batch) {
            const double round
                    = static_cast<double>(replica * shards + first) / static_cast<double>(batch);
            const Millis at = begin + step * round;
            for (std::size_t s = first; s < std::min(shards, first + batch); ++s) {
                const std::size_t index = s * 2 + replica;
                tier.time().at(at, [&tier, index] { tier.stopSearcher(index); });
                tier.time().at(at + down, [&tier, index] { tier.startSearcher(index); });
            }
        }
    }
}

// Rolling restart of searchers that are slow for 5 s after their start.
void rollingRestart(Report &report, std::uint64_t seed)
{
    static constexpr double loadFraction = 0.3;
    const Millis length(56'000);
    const auto fault = [](VirtualTier &tier) {
        for (std::size_t i = 0; i < tier.searcherCount(); ++i)
            tier.searcher(i).behaviour.coldPeriod = Millis(5000);
        scheduleRollingRestart(tier, faultAt, Millis(500), Millis(6000), 5);
    };
    const auto tier = comparePolicies(report, "rolling-restart", seed, loadFraction, length, fault,
                                      faultAt);
    const RunStatistics ours = computeStatistics(*tier, faultAt, length);
    report.checkAtLeast("rolling-restart/ours/complete-bound", ours.completeFraction, "fraction",
                        1);
    report.checkAtMost("rolling-restart/ours/p99-ratio",
                       ours.p99 / runWithoutFault(seed, loadFraction).p99, "ratio", 2);
}

// One replica of half of the shards drains; it may get no new work from 2 s later on.
void drain(Report &report, std::uint64_t seed)
{
    static constexpr double loadFraction = 0.3;
    std::vector<std::size_t> before;
    const auto fault = [&before](VirtualTier &tier) {
        before.assign(tier.searcherCount(), 0);
        for (std::size_t i = 0; i < tier.searcherCount() / 2; i += 2) {
            tier.time().at(faultAt, [&tier, i] { tier.setSearcherDraining(i, true); });
            tier.time().at(faultAt + Millis(2000),
                           [&tier, &before, i] { before[i] = tier.searcher(i).runs.size(); });
        }
    };
    const auto tier = runTier(makeSetup(Policy::Ours, seed), loadFraction, runLength, fault);
    double late = 0;
    for (std::size_t i = 0; i < tier->searcherCount() / 2; i += 2)
        late += static_cast<double>(tier->searcher(i).runs.size() - before[i]);
    const RunStatistics ours = computeStatistics(*tier, faultAt, runLength);
    report.checkAtMost("drain/ours/new-work-after-2s", late, "runs", 0);
    report.checkAtLeast("drain/ours/complete", ours.completeFraction, "fraction", 1);
    report.addFigure("drain/ours/p99", ours.p99, "ms");
    checkViolations(report, "drain", *tier);
}

// Publishes a new index version every second.
void scheduleVersions(VirtualTier &tier, Millis begin, Millis end)
{
    std::uint64_t version = 1;
    for (Millis at = begin; at < end; at += Millis(1000)) {
        // Every other version change also changes the number of shards.
        const std::uint32_t partitions = version % 4 < 2 ? 20 : 24;
        const VersionId next = { ++version };
        tier.time().at(at, [&tier, next, partitions] {
            tier.publishVersion(next, partitions, Millis(600));
        });
    }
}

// Index version changes while queries run.
void versions(Report &report, std::uint64_t seed)
{
    TierSetup setup = makeSetup(Policy::Ours, seed);
    setup.behaviour.stragglerFraction = 0.03;
    const auto tier = runTier(setup, 0.4, runLength,
                              [](VirtualTier &t) { scheduleVersions(t, faultAt, runLength); });
    const RunStatistics ours = computeStatistics(*tier, faultAt, runLength);
    report.checkAtMost("versions/ours/restarts", ours.restartFraction, "fraction", 0.05);
    report.addFigure("versions/ours/complete", ours.completeFraction, "fraction");
    report.addFigure("versions/ours/p99", ours.p99, "ms");
    checkViolations(report, "versions", *tier);
}

// Pauses of two host processes.
void schedulePauses(VirtualTier &tier)
{
    tier.time().at(faultAt, [&tier] { tier.pauseHost(1, Millis(3000)); });
    tier.time().at(faultAt + Millis(3500), [&tier] { tier.pauseHost(1, Millis(1000)); });
    tier.time().at(faultAt + Millis(500), [&tier] { tier.pauseHost(2, Millis(800)); });
}

// Host processes pause while requests wait; expired work may not run afterwards.
void pauses(Report &report, std::uint64_t seed)
{
    const auto tier = runTier(makeSetup(Policy::Ours, seed), 0.4, runLength, schedulePauses);
    report.checkAtMost("pause/ours/expired-work", static_cast<double>(tier->expiredRunCount()),
                       "runs", 0);
    const RunStatistics after = computeStatistics(*tier, faultAt + Millis(6000), runLength);
    report.addFigure("pause/ours/complete-after", after.completeFraction, "fraction");
    checkViolations(report, "pause", *tier);
}

// A fault that can be combined with others.
struct NamedFault
{
    std::string name;
    TierFault apply;
};

std::vector<NamedFault> allFaults()
{
    return {
        { "slow",
          [](VirtualTier &t) {
              t.time().at(faultAt, [&t] { t.searcher(0).behaviour.slowness = 10; });
          } },
        { "loss-of-replicas",
          [](VirtualTier &t) {
              t.time().at(faultAt, [&t] {
                  for (std::size_t i = 0; i < t.searcherCount(); i += 2)
                      t.stopSearcher(i);
              });
              t.time().at(faultAt + Millis(2500), [&t] {
                  for (std::size_t i = 0; i < t.searcherCount(); i += 2)
                      t.startSearcher(i);
              });
          } },
        { "overload",
          [](VirtualTier &t) { t.addLoad(faultAt, Millis(3000), 2 * t.capacityPerSecond()); } },
        { "shed",
          [](VirtualTier &t) {
              const auto shed = [&t](bool on) {
                  for (std::size_t i = 0; i < t.searcherCount(); ++i)
                      t.searcher(i).shedAll = on;
              };
              t.time().at(faultAt, [shed] { shed(true); });
              t.time().at(faultAt + Millis(2000), [shed] { shed(false); });
          } },
        { "loss", [](VirtualTier &t) { t.setLoss(0.02); } },
        { "silence",
          [](VirtualTier &t) { t.time().at(faultAt, [&t] { t.silenceAllConnections(); }); } },
        { "restart",
          [](VirtualTier &t) { scheduleRollingRestart(t, faultAt, Millis(200), Millis(300), 5); } },
        { "drain",
          [](VirtualTier &t) {
              for (std::size_t i = 0; i < t.searcherCount() / 2; i += 2)
                  t.time().at(faultAt, [&t, i] { t.setSearcherDraining(i, true); });
          } },
        { "versions", [](VirtualTier &t) { scheduleVersions(t, faultAt, Millis(14'000)); } },
        { "pause", schedulePauses },
    };
}

// Runs all pairs of faults; the guarantees must hold in each.
void pairs(Report &report, std::uint64_t seed)
{
    static constexpr Millis length = Millis(15'000);
    const std::vector<NamedFault> faults = allFaults();
    std::size_t runs = 0;
    ViolationCounts sum;
    for (std::size_t a = 0; a < faults.size(); ++a) {
        for (std::size_t b = a + 1; b < faults.size(); ++b) {
            VirtualTier tier(makeSetup(Policy::Ours, seed * 1000 + a * 50 + b));
            tier.addLoad(Millis(0), length, 0.3 * tier.capacityPerSecond());
            faults[a].apply(tier);
            faults[b].apply(tier);
            tier.runUntil(length + settleTime);
            const ViolationCounts found = tier.violations();
            if (found.total() > 0)
                report.checkAtMost("pairs/" + faults[a].name + "+" + faults[b].name
                                           + "/P1:" + std::to_string(found.mixedVersion)
                                           + ",P2:" + std::to_string(found.wrongCoverage)
                                           + ",P4:" + std::to_string(found.falseNotRun)
                                           + ",P5:" + std::to_string(found.ranTwice)
                                           + ",P6:" + std::to_string(found.afterDrain)
                                           + ",P9:" + std::to_string(found.overCap),
                                   static_cast<double>(found.total()), "violations", 0);
            // Sums the violations of all kinds; the line of each pair states the kinds.
            sum.mixedVersion += found.total();
            ++runs;
        }
    }
    report.addFigure("pairs/runs", static_cast<double>(runs), "runs");
    report.checkAtMost("pairs/violations", static_cast<double>(sum.mixedVersion), "violations", 0);
}

// Latency and coverage of one route at different minimum coverages, under the same load.
void tradeOff(Report &report, std::uint64_t seed)
{
    std::ofstream csv;
    if (!absl::GetFlag(FLAGS_csv).empty())
        csv.open(absl::GetFlag(FLAGS_csv));
    if (csv)
        csv << "target_ms,min_coverage,p99_ms,mean_coverage\n";
    for (const double minCoverage : { 0.8, 0.9, 0.95, 1.0 }) {
        TierSetup setup = makeSetup(Policy::Ours, seed);
        setup.target = Millis(30);
        setup.minCoverage = minCoverage;
        setup.behaviour.stragglerFraction = 0.03;
        const auto tier = runTier(setup, 0.5, runLength, nullptr);
        double coverage = 0;
        double count = 0;
        for (const TierRecord &record : tier->records()) {
            if (record.isOrder || record.refusedAtAdmission)
                continue;
            coverage += record.coverage.fraction();
            count += 1;
        }
        const RunStatistics statistics = computeStatistics(*tier, warmup, runLength);
        const std::string prefix = "trade-off/min-coverage-" + std::to_string(minCoverage) + "/";
        report.addFigure(prefix + "p99", statistics.p99, "ms");
        report.addFigure(prefix + "mean-coverage", coverage / count, "fraction");
        if (csv)
            csv << setup.target.count() << ',' << minCoverage << ',' << statistics.p99 << ','
                << coverage / count << '\n';
    }
}

struct Scenario
{
    std::string name;
    void (*run)(Report &report, std::uint64_t seed);
};

const std::vector<Scenario> scenarios = {
    { "healthy", healthyScenario },
    { "slow-searcher", slowSearcher },
    { "replica-loss", replicaLoss },
    { "overload", overload },
    { "retry-storm", retryStorm },
    { "loss", lossBetweenZones },
    { "silence", silence },
    { "rolling-restart", rollingRestart },
    { "drain", drain },
    { "versions", versions },
    { "pause", pauses },
    { "pairs", pairs },
    { "trade-off", tradeOff },
};

// Runs the selected scenarios in parallel and prints their results in order. Returns the exit code.
int runAll()
{
    std::vector<Report> reports(scenarios.size());
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> workers;
    const std::string only = absl::GetFlag(FLAGS_only);
    const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
    for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency()); ++i) {
        workers.emplace_back([&] {
            for (std::size_t index = next++; index < scenarios.size(); index = next++) {
                if (scenarios[index].name.find(only) != std::string::npos)
                    scenarios[index].run(reports[index], seed);
            }
        });
    }
    for (std::thread &worker : workers)
        worker.join();
    Report all;
    for (const Report &report : reports)
        all.append(report);
    return all.print();
}

} // namespace

} // namespace quetzal

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    return quetzal::runAll();
}
