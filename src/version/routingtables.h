// The operators' tables at one revision: routes and pools, joined by name.
#pragma once

#include "quetzal/ids.h"
#include "quetzal/millis.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

// How a route uses the searchers of its pool.
enum class RouteKind { AllShards, OneSearcher };

inline constexpr std::array<std::string_view, 2> routeKindNames = { "all-shards", "one-searcher" };

// What a caller gets when coverage stays below the route's minimum.
enum class BelowMinimum { Partial, Fail };

inline constexpr std::array<std::string_view, 2> belowMinimumNames = { "partial", "fail" };

// The order in which routes give way when a pool is overloaded.
enum class Priority { Low, Normal, High };

inline constexpr std::array<std::string_view, 3> priorityNames = { "low", "normal", "high" };

// A pool and its part of a route's requests.
struct PoolShare
{
    std::string pool;
    // Any positive number; the shares of a route are taken relative to their sum.
    double weight = 1;

    friend bool operator==(const PoolShare &, const PoolShare &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->pool, this->weight);
    }
};

// Bounds on what callers may send and how long they may take, from the operators.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16'384;
    std::uint32_t maxBodyBytes = 1'048'576;
    Millis headerTimeout = Millis(5000);
    Millis idleTimeout = Millis(60'000);

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        double headMs = this->headerTimeout.count();
        double idleMs = this->idleTimeout.count();
        archive(this->maxHeaderBytes, this->maxBodyBytes, headMs, idleMs);
        this->headerTimeout = Millis(headMs);
        this->idleTimeout = Millis(idleMs);
    }
};

// Where a kind of request goes.
struct Route
{
    std::string name;
    // Methods that match; empty matches every method.
    std::vector<std::string> methods;
    std::string pathPrefix;
    // Host header that matches; empty matches every host.
    std::string host;
    std::string pool;
    RouteKind kind = RouteKind::AllShards;
    bool repeatable = true;
    // From then on an answer is given as soon as minCoverage is reached.
    Millis targetLatency;
    // The answer is given by then, whatever its coverage.
    Millis deadline;
    // Fraction of the pinned version that an answer should cover, 0 to 1.
    double minCoverage = 1;
    BelowMinimum belowMinimum = BelowMinimum::Partial;
    Priority priority = Priority::Normal;
    // Pools that each hold one shard. If any are named, an all-shards request goes to one searcher
    // of each of them, and pool is empty.
    std::vector<std::string> shardPools;
    // Pools that share the requests of a one-searcher route. If any are named, pool is empty.
    std::vector<PoolShare> trafficSplit;
    // Searchers that one request may be sent to, for each shard.
    std::uint32_t maxAttempts = 4;
    // Records in a merged answer.
    std::uint32_t resultSize = 10;
    // Urgency among the routes that share pools; 0 is the most urgent.
    std::uint32_t rank = 0;

    friend bool operator==(const Route &, const Route &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->methods, this->pathPrefix, this->host, this->pool, this->kind,
                this->repeatable);
        double targetMs = this->targetLatency.count();
        double deadlineMs = this->deadline.count();
        archive(targetMs, deadlineMs, this->minCoverage, this->belowMinimum, this->priority);
        archive(this->shardPools, this->trafficSplit, this->maxAttempts, this->resultSize,
                this->rank);
        this->targetLatency = Millis(targetMs);
        this->deadline = Millis(deadlineMs);
    }
};

// One searcher of a pool.
struct Searcher
{
    std::string pool;
    // IP number and port.
    std::string address;
    std::string zone;
    // Shard that the operators expect there; the searcher's own word decides.
    std::uint32_t shard = 0;
    // Requests that it runs at the same time.
    std::uint32_t slots = 1;
    // Connections that it accepts.
    std::uint32_t connectionCap = 1;
    Millis connectCost;

    // Returns the identifier that stays the same across revisions.
    SearcherId id() const { return { stableHash(this->address) }; }

    friend bool operator==(const Searcher &, const Searcher &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        double connectMs = this->connectCost.count();
        archive(this->pool, this->address, this->zone, this->shard, this->slots,
                this->connectionCap, connectMs);
        this->connectCost = Millis(connectMs);
    }
};

// Searchers of one name, with the number of shards that the operators expect.
struct Pool
{
    std::string name;
    std::uint32_t shards = 1;
    // Empty if the searchers register themselves in a directory.
    std::vector<Searcher> searchers;
    // Connections that each registered searcher accepts of all hosts together.
    std::uint32_t connectionCap = 1;

    friend bool operator==(const Pool &, const Pool &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->shards, this->searchers, this->connectionCap);
    }
};

// Both tables at one revision. Immutable once published.
struct RoutingTables
{
    Revision revision;
    std::vector<Route> routes;
    std::vector<Pool> pools;
    CallerLimits limits;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->revision, this->routes, this->pools, this->limits);
    }

    // Returns the route with the longest matching path prefix, or nullptr.
    const Route *match(std::string_view method, std::string_view path, std::string_view host) const;

    // Returns the pool of that name, or nullptr.
    const Pool *pool(std::string_view name) const;
};

} // namespace quetzal
