// Per-loop state of a pool whose searchers register themselves, and of a route.
#pragma once

#include "request/latencyquantile.h"
#include "request/retrybudget.h"
#include "request/trackedsearcher.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace quetzal {

// The searchers of one pool and the budget of extra attempts on them. All searchers of a pool are
// interchangeable.
class ShardPool
{
public:
    ShardPool(std::string name, const RetryBudgetOptions &options, std::uint64_t seed)
        : poolName(std::move(name))
        , retryBudget(options)
        , random(seed)
    {}

    // Returns the available searcher with the lowest cost that is not excluded, or null.
    // Without includeFallbacks, only searchers that are usable and not backed off are considered;
    // with it, the backed-off ones and those of last resort follow, in this order.
    std::shared_ptr<TrackedSearcher> choose(const std::vector<const TrackedSearcher *> &excluded,
                                            Millis typicalLatency, Millis now,
                                            bool includeFallbacks);

    // Returns the keys of the count best searchers for a host in the given availability zone, or of
    // all if there are fewer.
    std::vector<std::uint32_t> bestForZone(const std::string &zone, std::size_t count,
                                           Millis typicalLatency, Millis now) const;

    // Returns from when on work may be sent to some searcher, or never if that is not known.
    Millis availableAt(Millis now) const;

    // Returns true if work may be sent to some searcher.
    bool hasAvailableSearcher(Millis now) const;

    void add(std::shared_ptr<TrackedSearcher> searcher);
    void remove(const TrackedSearcher &searcher);

    const std::string &name() const { return this->poolName; }
    const std::vector<std::shared_ptr<TrackedSearcher>> &searchers() const { return this->members; }
    // Returns the budget of extra attempts on the pool.
    RetryBudget &budget() { return this->retryBudget; }

private:
    std::string poolName;
    std::vector<std::shared_ptr<TrackedSearcher>> members;
    RetryBudget retryBudget;
    std::minstd_rand random;
};

// Latency statistics of the attempts of one route.
class RouteLatency
{
public:
    RouteLatency()
        : latencies(halfLife)
    {}

    // Records the latency of a successful attempt: the time from its submission to its end,
    // waiting for a connection and network round trip included.
    void add(Millis now, Millis latency)
    {
        this->latencies.add(now, latency);
        this->mean = this->mean * (1 - gain) + latency * gain;
    }

    // Returns the exponentially weighted mean latency.
    Millis typical() const { return this->mean; }

    // Returns the given quantile (0 to 1) of recent latencies, or fallbackFactor times the mean
    // while there are too few samples.
    Millis quantile(double share) const
    {
        return this->latencies.quantile(share, this->mean * fallbackFactor);
    }

private:
    static constexpr Millis halfLife = Millis(4000);
    // Weight of a new sample in the mean.
    static constexpr double gain = 0.02;
    static constexpr double fallbackFactor = 2;

    LatencyQuantile latencies;
    Millis mean = Millis(30);
};

} // namespace quetzal
