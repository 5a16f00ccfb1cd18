// Timing helpers for the benchmarks.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace quetzal {

// Runs the action count times in each of several rounds. Returns the nanoseconds per call of the
// fastest round.
template <typename Action>
double nanosPer(std::size_t count, Action &&action)
{
    static constexpr int rounds = 5;
    double best = 1e18;
    for (int round = 0; round < rounds; ++round) {
        const auto begin = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < count; ++i)
            action();
        const std::chrono::duration<double, std::nano> took
                = std::chrono::steady_clock::now() - begin;
        const double each = took.count() / static_cast<double>(count);
        best = each < best ? each : best;
    }
    return best;
}

// Prevents the compiler from optimizing away the computation of a value.
template <typename Value>
void doNotOptimize(const Value &value)
{
    asm volatile("" : : "g"(&value) : "memory");
}

} // namespace quetzal
