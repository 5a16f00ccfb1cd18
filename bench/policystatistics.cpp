#include "bench/policystatistics.h"

#include <algorithm>
#include <vector>

namespace quetzal {

std::string nameOf(Policy policy)
{
    return std::string(policyNames[static_cast<std::size_t>(policy)]);
}

TierSetup makeSetup(Policy policy, std::uint64_t seed)
{
    TierSetup setup;
    setup.seed = seed;
    switch (policy) {
    case Policy::Naive:
        setup.mode = TierMode::Direct;
        setup.policy.chooser = { false, false, false, false, false };
        setup.policy.useHedging = false;
        setup.policy.useRetryBudget = false;
        setup.policy.useAdmission = false;
        setup.relay = { false, false };
        break;
    case Policy::Ours:
        break;
    case Policy::NoHedge:
        setup.policy.useHedging = false;
        break;
    case Policy::NoRelay:
        setup.mode = TierMode::Direct;
        break;
    case Policy::NoObservations:
        setup.policy.chooser.useObservations = false;
        break;
    case Policy::NoAdmission:
        setup.policy.useAdmission = false;
        break;
    }
    return setup;
}

static double quantile(std::vector<double> &sorted, double fraction)
{
    if (sorted.empty())
        return 0;
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

RunStatistics computeStatistics(const VirtualTier &tier, Millis from, Millis to)
{
    RunStatistics statistics;
    std::vector<double> latencies;
    double complete = 0;
    double restarts = 0;
    for (const TierRecord &record : tier.records()) {
        if (record.isOrder || record.arrivedAt < from || record.arrivedAt >= to)
            continue;
        const bool isComplete = record.outcome.succeeded() && record.coverage.complete();
        complete += isComplete ? 1 : 0;
        restarts += record.restarts > 0 ? 1 : 0;
        if (!isComplete)
            statistics.lastIncompleteAt = std::max(statistics.lastIncompleteAt, record.arrivedAt);
        statistics.requestCount += 1;
        if (!record.refusedAtAdmission)
            latencies.push_back(record.latency.count());
    }
    std::sort(latencies.begin(), latencies.end());
    statistics.p50 = quantile(latencies, 0.5);
    statistics.p99 = quantile(latencies, 0.99);
    statistics.p999 = quantile(latencies, 0.999);
    statistics.completeFraction
            = statistics.requestCount > 0 ? complete / statistics.requestCount : 0;
    statistics.completePerSecond = complete * 1000 / (to - from).count();
    statistics.restartFraction
            = statistics.requestCount > 0 ? restarts / statistics.requestCount : 0;
    return statistics;
}

double extraLoad(const VirtualTier &tier)
{
    return static_cast<double>(tier.allAttempts()) / static_cast<double>(tier.firstAttempts()) - 1;
}

std::unique_ptr<VirtualTier> runTier(const TierSetup &setup, double loadFraction, Millis length,
                                     const TierFault &fault)
{
    auto tier = std::make_unique<VirtualTier>(setup);
    tier->addLoad(Millis(0), length, loadFraction * tier->capacityPerSecond());
    if (fault)
        fault(*tier);
    tier->runUntil(length + settleTime);
    return tier;
}

static void addStatistics(Report &report, const std::string &scenario, Policy policy,
                          const VirtualTier &tier, const RunStatistics &statistics)
{
    const std::string prefix = scenario + "/" + nameOf(policy) + "/";
    report.addFigure(prefix + "p50", statistics.p50, "ms");
    report.addFigure(prefix + "p99", statistics.p99, "ms");
    report.addFigure(prefix + "p99.9", statistics.p999, "ms");
    report.addFigure(prefix + "complete", statistics.completeFraction, "fraction");
    report.addFigure(prefix + "extra-load", extraLoad(tier), "fraction");
}

void checkViolations(Report &report, const std::string &scenario, VirtualTier &tier)
{
    const ViolationCounts found = tier.violations();
    const std::string prefix = scenario + "/ours/";
    report.checkAtMost(prefix + "P1-snapshot", static_cast<double>(found.mixedVersion),
                       "violations", 0);
    report.checkAtMost(prefix + "P2-coverage", static_cast<double>(found.wrongCoverage),
                       "violations", 0);
    report.checkAtMost(prefix + "P4-not-run", static_cast<double>(found.falseNotRun), "violations",
                       0);
    report.checkAtMost(prefix + "P5-ran-twice", static_cast<double>(found.ranTwice), "violations",
                       0);
    report.checkAtMost(prefix + "P6-after-drain", static_cast<double>(found.afterDrain),
                       "violations", 0);
    report.checkAtMost(prefix + "P9-over-cap", static_cast<double>(found.overCap), "violations", 0);
}

std::unique_ptr<VirtualTier> comparePolicies(Report &report, const std::string &scenario,
                                             std::uint64_t seed, double loadFraction, Millis length,
                                             const TierFault &fault, Millis from)
{
    std::unique_ptr<VirtualTier> ours;
    for (const Policy policy : { Policy::Naive, Policy::NoHedge, Policy::NoRelay,
                                 Policy::NoObservations, Policy::NoAdmission, Policy::Ours }) {
        auto tier = runTier(makeSetup(policy, seed), loadFraction, length, fault);
        addStatistics(report, scenario, policy, *tier, computeStatistics(*tier, from, length));
        if (policy == Policy::Ours)
            ours = std::move(tier);
    }
    checkViolations(report, scenario, *ours);
    return ours;
}

RunStatistics runWithoutFault(std::uint64_t seed, double loadFraction)
{
    const auto tier = runTier(makeSetup(Policy::Ours, seed), loadFraction, runLength, nullptr);
    return computeStatistics(*tier, warmup, runLength);
}

} // namespace quetzal
