// Policies that the policy benchmark compares, and statistics of their runs.
#pragma once

#include "bench/report.h"
#include "bench/virtual/virtualtier.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace quetzal {

// Requests that arrive before this time are left out of the statistics of runs without a fault.
inline constexpr Millis warmup = Millis(4000);
// Time at which faults begin.
inline constexpr Millis faultAt = Millis(8000);
inline constexpr Millis runLength = Millis(24'000);
// Time after the end of the load in which outstanding requests finish.
inline constexpr Millis settleTime = Millis(2000);

// Ours is the full policy, Naive has all mechanisms switched off, and each other one lacks a single
// mechanism.
enum class Policy { Naive, Ours, NoHedge, NoRelay, NoObservations, NoAdmission };

// Names in the order of the enumerators, used in result names.
inline constexpr std::array<std::string_view, 6> policyNames
        = { "naive", "ours", "no-hedge", "no-relay", "no-observations", "no-admission" };

// Returns the default setup with the given policy.
TierSetup makeSetup(Policy policy, std::uint64_t seed);

// Statistics of the searches that arrived within a time span. Latencies are in milliseconds,
// without the searches that were refused at admission.
struct RunStatistics
{
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    double completeFraction = 0;
    double requestCount = 0;
    double completePerSecond = 0;
    // Fraction of the searches that started over with another index version.
    double restartFraction = 0;
    // Latest arrival time of a search without a complete answer; negative if there is none.
    Millis lastIncompleteAt = Millis(-1);
};

// Returns the statistics of the searches that arrived from one time up to another.
RunStatistics computeStatistics(const VirtualTier &tier, Millis from, Millis to);

// Returns the number of hedges and retries as a fraction of the first attempts.
double extraLoad(const VirtualTier &tier);

// Schedules a fault on a tier.
using TierFault = std::function<void(VirtualTier &)>;

// Runs a tier with a fault, if one is given, under load at a fraction of its capacity.
std::unique_ptr<VirtualTier> runTier(const TierSetup &setup, double loadFraction, Millis length,
                                     const TierFault &fault);

// Returns the name of a policy in result names.
std::string nameOf(Policy policy);

// Adds the number of violations of each guarantee by the full policy; the bound of each is zero.
// The guarantees are numbered as in ViolationCounts.
void checkViolations(Report &report, const std::string &scenario, VirtualTier &tier);

// Runs all policies with a fault and adds the statistics of the searches that arrived at the time
// from or later. Returns the run of the full policy.
std::unique_ptr<VirtualTier> comparePolicies(Report &report, const std::string &scenario,
                                             std::uint64_t seed, double loadFraction, Millis length,
                                             const TierFault &fault, Millis from);

// Returns the statistics of the full policy without a fault.
RunStatistics runWithoutFault(std::uint64_t seed, double loadFraction);

} // namespace quetzal
