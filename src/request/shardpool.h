// What one loop keeps of a pool whose searchers register themselves, and of a route.
#pragma once

#include "request/latencyquantile.h"
#include "request/retrybudget.h"
#include "request/trackedsearcher.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace quetzal {

// The searchers of one pool and the budget of extra attempts on them. Every searcher of a pool
// answers equally well.
class ShardPool
{
public:
    ShardPool(std::string name, const RetryBudgetOptions &options, std::uint64_t seed)
        : poolName(std::move(name))
        , retryBudget(options)
        , random(seed)
    {}

    // Returns the searcher that is expected to answer first, other than those named, or null.
    // Prefers those that are ready and not backed off; takes what is left if anyOf is set.
    std::shared_ptr<TrackedSearcher> choose(const std::vector<const TrackedSearcher *> &except,
                                            Millis typical, Millis now, bool anyOf);

    // Returns the keys of the count searchers that are best for a host in a zone, or of all.
    std::vector<std::uint32_t> bestForZone(const std::string &zone, std::size_t count,
                                           Millis typical, Millis now) const;

    // True if some searcher may get work.
    bool hasAvailableSearcher(Millis now) const;

    void add(std::shared_ptr<TrackedSearcher> searcher);
    void remove(const TrackedSearcher &searcher);

    const std::string &name() const { return this->poolName; }
    const std::vector<std::shared_ptr<TrackedSearcher>> &searchers() const { return this->members; }
    RetryBudget &budget() { return this->retryBudget; }

private:
    std::string poolName;
    std::vector<std::shared_ptr<TrackedSearcher>> members;
    RetryBudget retryBudget;
    std::minstd_rand random;
};

// How fast the attempts of one route usually are.
class RouteLatency
{
public:
    RouteLatency()
        : latencies(halfLife)
    {}

    // Records the latency of an attempt that succeeded, without the way to the searcher.
    void add(Millis now, Millis latency)
    {
        this->latencies.add(now, latency);
        this->mean = this->mean * (1 - gain) + latency * gain;
    }

    Millis typical() const { return this->mean; }

    // Returns the latency that the given share of attempts does not exceed.
    Millis quantile(double share) const
    {
        return this->latencies.quantile(share, this->mean * fallbackFactor);
    }

private:
    static constexpr Millis halfLife = Millis(4000);
    static constexpr double gain = 0.02;
    static constexpr double fallbackFactor = 2;

    LatencyQuantile latencies;
    Millis mean = Millis(30);
};

} // namespace quetzal
