// The decisions under load and faults, in virtual time, beside a naive baseline.
#include "bench/policyfigures.h"

#include <algorithm>
#include <atomic>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of all scenarios");
ABSL_FLAG(std::string, only, "", "run the scenarios whose name contains this");
ABSL_FLAG(std::string, csv, "", "write the trade-off between latency and coverage to this file");

namespace quetzal {

namespace {

void healthyScenario(Report &report, std::uint64_t seed)
{
    const auto tier = comparePolicies(report, "healthy", seed, 0.5, runLength, nullptr, warmup);
    report.atMost("healthy/ours/extra-load-bound", extraLoad(*tier), "fraction", 0.05);
}

void slowSearcher(Report &report, std::uint64_t seed)
{
    const auto fault = [](VirtualTier &tier) {
        tier.time().at(faultAt, [&tier] { tier.searcher(0).behaviour.slowness = 10; });
    };
    const auto tier
            = comparePolicies(report, "slow-searcher", seed, 0.5, runLength, fault, faultAt);
    const Figures ours = figuresOf(*tier, faultAt, runLength);
    report.atMost("slow-searcher/ours/p99-ratio", ours.p99 / healthy(seed, 0.5).p99, "ratio", 1.5);
    report.atMost("slow-searcher/ours/extra-load-bound", extraLoad(*tier), "fraction", 0.05);
}

void replicaLoss(Report &report, std::uint64_t seed)
{
    const auto fault = [](VirtualTier &tier) {
        tier.time().at(faultAt, [&tier] {
            for (std::size_t i = 0; i < tier.searcherCount(); i += 2)
                tier.stopSearcher(i);
        });
    };
    const auto tier = comparePolicies(report, "replica-loss", seed, 0.4, runLength, fault, faultAt);
    const Figures ours = figuresOf(*tier, faultAt, runLength);
    const double again = std::max(0.0, (ours.lastIncomplete - faultAt).count());
    report.atMost("replica-loss/ours/complete-again", again, "ms", 2000);
}

void overload(Report &report, std::uint64_t seed)
{
    const Millis begin = faultAt;
    const Millis end = faultAt + Millis(30'000);
    const Millis length = end + Millis(23'000);
    for (const Policy policy : { Policy::Naive, Policy::NoAdmission, Policy::Ours }) {
        VirtualTier tier(setupOf(policy, seed));
        const double capacity = tier.capacityPerSecond();
        const double searches = 1 - TierSetup().orderFraction;
        tier.load(Millis(0), begin, 0.5 * capacity);
        tier.load(begin, end - begin, 2 * capacity);
        tier.load(end, length - end, 0.5 * capacity);
        tier.runUntil(length + settle);
        const Figures during = figuresOf(tier, begin, end);
        const Figures after = figuresOf(tier, end + Millis(3000), length);
        const std::string prefix = "overload/" + nameOf(policy) + "/";
        const double goodput = during.completePerSecond / capacity;
        const double expired
                = static_cast<double>(tier.expiredRuns()) / static_cast<double>(tier.runs());
        static_cast<void>(searches);
        if (policy != Policy::Ours) {
            report.figure(prefix + "goodput", goodput, "of-capacity");
            report.figure(prefix + "p99-during", during.p99, "ms");
            report.figure(prefix + "p99-after", after.p99, "ms");
            report.figure(prefix + "expired-work", expired, "fraction");
            continue;
        }
        report.atLeast(prefix + "goodput", goodput, "of-capacity", 0.9);
        report.figure(prefix + "p99-during", during.p99, "ms");
        report.atMost(prefix + "p99-after-ratio", after.p99 / healthy(seed, 0.5).p99, "ratio",
                      1.25);
        report.atMost(prefix + "expired-work", expired, "fraction", 0.02);
        checkViolations(report, "overload", tier);
    }
}

void retryStorm(Report &report, std::uint64_t seed)
{
    for (const Policy policy : { Policy::Naive, Policy::Ours }) {
        VirtualTier tier(setupOf(policy, seed));
        tier.load(Millis(0), runLength, 0.5 * tier.capacityPerSecond());
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
        tier.runUntil(runLength + settle);
        const std::string prefix = "retry-storm/" + nameOf(policy) + "/";
        if (policy == Policy::Naive) {
            report.figure(prefix + "attempts", ratio, "per-sub-request");
            continue;
        }
        report.atMost(prefix + "attempts", ratio, "per-sub-request", 1.1);
        checkViolations(report, "retry-storm", tier);
    }
}

void lossBetweenZones(Report &report, std::uint64_t seed)
{
    const auto fault = [](VirtualTier &tier) { tier.setLoss(0.02); };
    const auto tier = comparePolicies(report, "loss", seed, 0.5, runLength, fault, warmup);
    const double roundTrip = TierSetup().zoneDelay.count() * 2;
    report.atMost("loss/ours/p99-bound", figuresOf(*tier, warmup, runLength).p99, "ms",
                  healthy(seed, 0.5).p99 + 2 * roundTrip);
}

void silence(Report &report, std::uint64_t seed)
{
    const auto fault
            = [](VirtualTier &tier) { tier.time().at(faultAt, [&tier] { tier.silenceAll(); }); };
    const auto tier = comparePolicies(report, "silence", seed, 0.5, runLength, fault, faultAt);
    const Figures ours = figuresOf(*tier, faultAt, runLength);
    report.atMost("silence/ours/complete-again",
                  std::max(0.0, (ours.lastIncomplete - faultAt).count()), "ms", 1000);
}

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

void rollingRestart(Report &report, std::uint64_t seed)
{
    static constexpr double part = 0.3;
    const Millis length(56'000);
    const auto fault = [](VirtualTier &tier) {
        for (std::size_t i = 0; i < tier.searcherCount(); ++i)
            tier.searcher(i).behaviour.coldTime = Millis(5000);
        scheduleRollingRestart(tier, faultAt, Millis(500), Millis(6000), 5);
    };
    const auto tier
            = comparePolicies(report, "rolling-restart", seed, part, length, fault, faultAt);
    const Figures ours = figuresOf(*tier, faultAt, length);
    report.atLeast("rolling-restart/ours/complete-bound", ours.complete, "fraction", 1);
    report.atMost("rolling-restart/ours/p99-ratio", ours.p99 / healthy(seed, part).p99, "ratio", 2);
}

void drain(Report &report, std::uint64_t seed)
{
    static constexpr double part = 0.3;
    std::vector<std::size_t> before;
    const auto fault = [&before](VirtualTier &tier) {
        before.assign(tier.searcherCount(), 0);
        for (std::size_t i = 0; i < tier.searcherCount() / 2; i += 2) {
            tier.time().at(faultAt, [&tier, i] { tier.drainSearcher(i, true); });
            tier.time().at(faultAt + Millis(2000),
                           [&tier, &before, i] { before[i] = tier.searcher(i).ledger.size(); });
        }
    };
    const auto tier = runTier(setupOf(Policy::Ours, seed), part, runLength, fault);
    double late = 0;
    for (std::size_t i = 0; i < tier->searcherCount() / 2; i += 2)
        late += static_cast<double>(tier->searcher(i).ledger.size() - before[i]);
    const Figures ours = figuresOf(*tier, faultAt, runLength);
    report.atMost("drain/ours/new-work-after-2s", late, "runs", 0);
    report.atLeast("drain/ours/complete", ours.complete, "fraction", 1);
    report.figure("drain/ours/p99", ours.p99, "ms");
    checkViolations(report, "drain", *tier);
}

void scheduleVersions(VirtualTier &tier, Millis begin, Millis end)
{
    std::uint64_t version = 1;
    for (Millis at = begin; at < end; at += Millis(1000)) {
        // Half of the changes split the index anew.
        const std::uint32_t partitions = version % 4 < 2 ? 20 : 24;
        const VersionId next = { ++version };
        tier.time().at(at, [&tier, next, partitions] {
            tier.changeVersion(next, partitions, Millis(600));
        });
    }
}

void versions(Report &report, std::uint64_t seed)
{
    TierSetup setup = setupOf(Policy::Ours, seed);
    setup.behaviour.stragglerFraction = 0.03;
    const auto tier = runTier(setup, 0.4, runLength,
                              [](VirtualTier &t) { scheduleVersions(t, faultAt, runLength); });
    const Figures ours = figuresOf(*tier, faultAt, runLength);
    report.atMost("versions/ours/restarts", ours.restartShare, "fraction", 0.05);
    report.figure("versions/ours/complete", ours.complete, "fraction");
    report.figure("versions/ours/p99", ours.p99, "ms");
    checkViolations(report, "versions", *tier);
}

void schedulePauses(VirtualTier &tier)
{
    tier.time().at(faultAt, [&tier] { tier.pauseHost(1, Millis(3000)); });
    tier.time().at(faultAt + Millis(3500), [&tier] { tier.pauseHost(1, Millis(1000)); });
    tier.time().at(faultAt + Millis(500), [&tier] { tier.pauseHost(2, Millis(800)); });
}

void pauses(Report &report, std::uint64_t seed)
{
    const auto tier = runTier(setupOf(Policy::Ours, seed), 0.4, runLength, schedulePauses);
    report.atMost("pause/ours/expired-work", static_cast<double>(tier->expiredRuns()), "runs", 0);
    const Figures after = figuresOf(*tier, faultAt + Millis(6000), runLength);
    report.figure("pause/ours/complete-after", after.complete, "fraction");
    checkViolations(report, "pause", *tier);
}

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
          [](VirtualTier &t) { t.load(faultAt, Millis(3000), 2 * t.capacityPerSecond()); } },
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
        { "silence", [](VirtualTier &t) { t.time().at(faultAt, [&t] { t.silenceAll(); }); } },
        { "restart",
          [](VirtualTier &t) { scheduleRollingRestart(t, faultAt, Millis(200), Millis(300), 5); } },
        { "drain",
          [](VirtualTier &t) {
              for (std::size_t i = 0; i < t.searcherCount() / 2; i += 2)
                  t.time().at(faultAt, [&t, i] { t.drainSearcher(i, true); });
          } },
        { "versions", [](VirtualTier &t) { scheduleVersions(t, faultAt, Millis(14'000)); } },
        { "pause", schedulePauses },
    };
}

void pairs(Report &report, std::uint64_t seed)
{
    static constexpr Millis length = Millis(15'000);
    const std::vector<NamedFault> faults = allFaults();
    std::size_t runs = 0;
    ViolationCounts sum;
    for (std::size_t a = 0; a < faults.size(); ++a) {
        for (std::size_t b = a + 1; b < faults.size(); ++b) {
            VirtualTier tier(setupOf(Policy::Ours, seed * 1000 + a * 50 + b));
            tier.load(Millis(0), length, 0.3 * tier.capacityPerSecond());
            faults[a].apply(tier);
            faults[b].apply(tier);
            tier.runUntil(length + settle);
            const ViolationCounts found = tier.violations();
            if (found.total() > 0)
                report.atMost("pairs/" + faults[a].name + "+" + faults[b].name
                                      + "/P1:" + std::to_string(found.mixedVersion)
                                      + ",P2:" + std::to_string(found.wrongCoverage)
                                      + ",P4:" + std::to_string(found.falseNotRun)
                                      + ",P5:" + std::to_string(found.ranTwice)
                                      + ",P6:" + std::to_string(found.afterDrain)
                                      + ",P9:" + std::to_string(found.overCap),
                              static_cast<double>(found.total()), "violations", 0);
            sum.mixedVersion += found.total();
            ++runs;
        }
    }
    report.figure("pairs/runs", static_cast<double>(runs), "runs");
    report.atMost("pairs/violations", static_cast<double>(sum.mixedVersion), "violations", 0);
}

// How target and minimum coverage move a route between latency and coverage on the same load.
void tradeOff(Report &report, std::uint64_t seed)
{
    std::ofstream csv;
    if (!absl::GetFlag(FLAGS_csv).empty())
        csv.open(absl::GetFlag(FLAGS_csv));
    if (csv)
        csv << "target_ms,min_coverage,p99_ms,mean_coverage\n";
    for (const double minCoverage : { 0.8, 0.9, 0.95, 1.0 }) {
        TierSetup setup = setupOf(Policy::Ours, seed);
        setup.target = Millis(30);
        setup.minCoverage = minCoverage;
        setup.behaviour.stragglerFraction = 0.03;
        const auto tier = runTier(setup, 0.5, runLength, nullptr);
        double coverage = 0;
        double count = 0;
        for (const TierRecord &record : tier->records()) {
            if (record.order || record.refusedAtDoor)
                continue;
            coverage += record.coverage.fraction();
            count += 1;
        }
        const Figures figures = figuresOf(*tier, warmup, runLength);
        const std::string prefix = "trade-off/min-coverage-" + std::to_string(minCoverage) + "/";
        report.figure(prefix + "p99", figures.p99, "ms");
        report.figure(prefix + "mean-coverage", coverage / count, "fraction");
        if (csv)
            csv << setup.target.count() << ',' << minCoverage << ',' << figures.p99 << ','
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
