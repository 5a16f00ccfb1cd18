// Per-loop state of a pool whose searchers register themselves, and of a route.
#pragma once

#include "request/latencyquantile.h"
#include "request/retrybudget.h"
#include "request/trackedsearcher.h"

#include <cmath>
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
//
// Answers a route whose attempts are all given up as too late to be of use: as only successful
// attempts are recorded, the mean then returns to its initial value, so that some are sent again.
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
        this->mean = this->typical(now) * (1 - gain) + latency * gain;
        this->addedAt = now;
        this->isGivenUp = false;
    }

    // Records that an attempt was given up unsent, as the mean leaves it too little time.
    void addGivenUp() { this->isGivenUp = true; }

    // Returns the exponentially weighted mean latency.
    Millis typical(Millis now) const
    {
        const Millis age = now - this->addedAt - validity;
        if (!this->isGivenUp || age <= Millis())
            return this->mean;
        return initialMean + (this->mean - initialMean) * std::exp2(-(age / agingHalfLife));
    }

    // Returns the given quantile (0 to 1) of recent latencies, or fallbackFactor times the mean
    // while there are too few samples.
    Millis quantile(double share, Millis now) const
    {
        return this->latencies.quantile(share, this->typical(now) * fallbackFactor);
    }

private:
    static constexpr Millis halfLife = Millis(4000);
    // Weight of a new sample in the mean.
    static constexpr double gain = 0.02;
    static constexpr double fallbackFactor = 2;

    static constexpr Millis initialMean = Millis(30);
    // Time without a sample after which the mean ages if attempts are given up, and the half-life
    // of what it differs from its initial value then.
    static constexpr Millis validity = Millis(1000);
    static constexpr Millis agingHalfLife = Millis(1000);

    LatencyQuantile latencies;
    Millis mean = initialMean;
    Millis addedAt;
    // Attempts have been given up since the last sample.
    bool isGivenUp = false;
};

} // namespace quetzal
