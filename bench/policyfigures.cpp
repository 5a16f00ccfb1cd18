#include "bench/policyfigures.h"

#include <algorithm>
#include <vector>

namespace quetzal {

std::string nameOf(Policy policy)
{
    return std::string(policyNames[static_cast<std::size_t>(policy)]);
}

TierSetup setupOf(Policy policy, std::uint64_t seed)
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

Figures figuresOf(const VirtualTier &tier, Millis from, Millis to)
{
    Figures figures;
    std::vector<double> latencies;
    double complete = 0;
    double restarts = 0;
    for (const TierRecord &record : tier.records()) {
        if (record.order || record.arrivedAt < from || record.arrivedAt >= to)
            continue;
        const bool whole = record.outcome.succeeded() && record.coverage.complete();
        complete += whole ? 1 : 0;
        restarts += record.restarts > 0 ? 1 : 0;
        if (!whole)
            figures.lastIncomplete = std::max(figures.lastIncomplete, record.arrivedAt);
        figures.count += 1;
        if (!record.refusedAtDoor)
            latencies.push_back(record.latency.count());
    }
    std::sort(latencies.begin(), latencies.end());
    figures.p50 = quantile(latencies, 0.5);
    figures.p99 = quantile(latencies, 0.99);
    figures.p999 = quantile(latencies, 0.999);
    figures.complete = figures.count > 0 ? complete / figures.count : 0;
    figures.completePerSecond = complete * 1000 / (to - from).count();
    figures.restartShare = figures.count > 0 ? restarts / figures.count : 0;
    return figures;
}

double extraLoad(const VirtualTier &tier)
{
    return static_cast<double>(tier.allAttempts()) / static_cast<double>(tier.firstAttempts()) - 1;
}

std::unique_ptr<VirtualTier> runTier(const TierSetup &setup, double part, Millis length,
                                     const TierFault &fault)
{
    auto tier = std::make_unique<VirtualTier>(setup);
    tier->load(Millis(0), length, part * tier->capacityPerSecond());
    if (fault)
        fault(*tier);
    tier->runUntil(length + settle);
    return tier;
}

static void printFigures(Report &report, const std::string &scenario, Policy policy,
                         const VirtualTier &tier, const Figures &figures)
{
    const std::string prefix = scenario + "/" + nameOf(policy) + "/";
    report.figure(prefix + "p50", figures.p50, "ms");
    report.figure(prefix + "p99", figures.p99, "ms");
    report.figure(prefix + "p99.9", figures.p999, "ms");
    report.figure(prefix + "complete", figures.complete, "fraction");
    report.figure(prefix + "extra-load", extraLoad(tier), "fraction");
}

void checkViolations(Report &report, const std::string &scenario, VirtualTier &tier)
{
    const ViolationCounts found = tier.violations();
    const std::string prefix = scenario + "/ours/";
    report.atMost(prefix + "P1-snapshot", static_cast<double>(found.mixedVersion), "violations", 0);
    report.atMost(prefix + "P2-coverage", static_cast<double>(found.wrongCoverage), "violations",
                  0);
    report.atMost(prefix + "P4-not-run", static_cast<double>(found.falseNotRun), "violations", 0);
    report.atMost(prefix + "P5-ran-twice", static_cast<double>(found.ranTwice), "violations", 0);
    report.atMost(prefix + "P6-after-drain", static_cast<double>(found.afterDrain), "violations",
                  0);
    report.atMost(prefix + "P9-over-cap", static_cast<double>(found.overCap), "violations", 0);
}

std::unique_ptr<VirtualTier> comparePolicies(Report &report, const std::string &scenario,
                                             std::uint64_t seed, double part, Millis length,
                                             const TierFault &fault, Millis from)
{
    std::unique_ptr<VirtualTier> ours;
    for (const Policy policy : { Policy::Naive, Policy::NoHedge, Policy::NoRelay,
                                 Policy::NoObservations, Policy::NoAdmission, Policy::Ours }) {
        auto tier = runTier(setupOf(policy, seed), part, length, fault);
        printFigures(report, scenario, policy, *tier, figuresOf(*tier, from, length));
        if (policy == Policy::Ours)
            ours = std::move(tier);
    }
    checkViolations(report, scenario, *ours);
    return ours;
}

Figures healthy(std::uint64_t seed, double part)
{
    const auto tier = runTier(setupOf(Policy::Ours, seed), part, runLength, nullptr);
    return figuresOf(*tier, warmup, runLength);
}

} // namespace quetzal
