// Policies that the bench of decisions compares, and the figures of their runs.
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

inline constexpr Millis warmup = Millis(4000);
inline constexpr Millis faultAt = Millis(8000);
inline constexpr Millis runLength = Millis(24'000);
inline constexpr Millis settle = Millis(2000);

enum class Policy { Naive, Ours, NoHedge, NoRelay, NoObservations, NoAdmission };

inline constexpr std::array<std::string_view, 6> policyNames
        = { "naive", "ours", "no-hedge", "no-relay", "no-observations", "no-admission" };

// Returns a tier that decides by a policy.
TierSetup setupOf(Policy policy, std::uint64_t seed);

// Figures of the searches that arrived within a span.
struct Figures
{
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    double complete = 0;
    double count = 0;
    double completePerSecond = 0;
    double restartShare = 0;
    // Time of the latest arrival without a complete answer.
    Millis lastIncomplete = Millis(-1);
};

Figures figuresOf(const VirtualTier &tier, Millis from, Millis to);

// Returns attempts beyond the first of each sub-request, as a fraction of these.
double extraLoad(const VirtualTier &tier);

using TierFault = std::function<void(VirtualTier &)>;

// Runs a tier at a part of its capacity with a fault.
std::unique_ptr<VirtualTier> runTier(const TierSetup &setup, double part, Millis length,
                                     const TierFault &fault);

std::string nameOf(Policy policy);

// Reports what was broken of what must always hold.
void checkViolations(Report &report, const std::string &scenario, VirtualTier &tier);

// Runs all policies through a fault and prints their figures; returns our own run.
std::unique_ptr<VirtualTier> comparePolicies(Report &report, const std::string &scenario,
                                             std::uint64_t seed, double part, Millis length,
                                             const TierFault &fault, Millis from);

// Returns the figures of our own policy without a fault.
Figures healthy(std::uint64_t seed, double part);

} // namespace quetzal
