// The routing tables that the operators maintain: routes and pools.
#pragma once

#include "quetzal/ids.h"
#include "quetzal/millis.h"
#include "version/workspace.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

// Which searchers a request goes to: one of each shard, or a single one.
enum class RouteKind { AllShards, OneSearcher };

inline constexpr std::array<std::string_view, 2> routeKindNames = { "all-shards", "one-searcher" };

// What a caller gets if coverage stays below the route's minimum: a partial answer or an error.
enum class BelowMinimum { Partial, Fail };

inline constexpr std::array<std::string_view, 2> belowMinimumNames = { "partial", "fail" };

// Priority of a route when a pool is overloaded: lower ones are refused first.
enum class Priority { Low, Normal, High };

inline constexpr std::array<std::string_view, 3> priorityNames = { "low", "normal", "high" };

// A pool and its share of a route's requests.
struct PoolShare
{
    std::string pool;
    // A positive number; the pool's share is its weight divided by the sum of the route's weights.
    double weight = 1;

    friend bool operator==(const PoolShare &, const PoolShare &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->pool, this->weight);
    }
};

// Limits on the size and duration of callers' requests.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16'384;
    std::uint32_t maxBodyBytes = 1'048'576;
    // Longest time from the first byte of a request to its last, body included.
    Millis headerTimeout = Millis(5000);
    // Time after which an idle connection is closed.
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

// Which requests match, where they go, and how they are answered.
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
    // True if running a request more than once is harmless, so that it may be retried and hedged.
    bool repeatable = true;
    // After this time an answer is sent as soon as minCoverage is reached.
    Millis targetLatency;
    // After this time the answer is sent, whatever its coverage.
    Millis deadline;
    // Fraction of the index version that an answer must cover, 0 to 1.
    double minCoverage = 1;
    BelowMinimum belowMinimum = BelowMinimum::Partial;
    Priority priority = Priority::Normal;
    // Pools that each hold one shard. If any are named, an all-shards request goes to one searcher
    // of each of them, and pool is empty.
    std::vector<std::string> shardPools;
    // Pools that share the requests of a one-searcher route. If any are named, pool is empty.
    std::vector<PoolShare> trafficSplit;
    // Maximum number of searchers that one request is sent to, for each shard.
    std::uint32_t maxAttempts = 4;
    // Maximum number of records in a merged answer.
    std::uint32_t resultSize = 10;
    // Order of precedence among the routes that share pools; 0 comes first. Stored and shown to
    // operators; requests are not ordered by it.
    std::uint32_t rank = 0;
    // True if callers need no key, even if the tables hold workspaces.
    bool anonymous = false;

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
                this->rank, this->anonymous);
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
    // Shard that the operators expect; what the searcher reports takes precedence.
    std::uint32_t shard = 0;
    // Requests that it runs at the same time.
    std::uint32_t slots = 1;
    // Connections that it accepts from all hosts together.
    std::uint32_t connectionCap = 1;
    // Time to set up a connection.
    Millis connectCost;

    // Returns the searcher's identifier, which is the same at every revision.
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

// A named group of searchers.
struct Pool
{
    std::string name;
    // Number of shards that the operators expect.
    std::uint32_t shards = 1;
    // Empty if the searchers register themselves.
    std::vector<Searcher> searchers;
    // Connections that each registered searcher accepts from all hosts together.
    std::uint32_t connectionCap = 1;
    // Requests a second that each of its searchers accepts while it is cold; 0 for no limit.
    double warmupRate = 0;

    friend bool operator==(const Pool &, const Pool &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->shards, this->searchers, this->connectionCap, this->warmupRate);
    }
};

// Routes, pools and workspaces at one revision. Immutable once published.
struct RoutingTables
{
    Revision revision;
    std::vector<Route> routes;
    std::vector<Pool> pools;
    CallerLimits limits;
    // True if callers need a key on routes that are not anonymous.
    bool requiresKeys = false;
    std::vector<Workspace> workspaces;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->revision, this->routes, this->pools, this->limits, this->requiresKeys,
                this->workspaces);
    }

    // Returns the matching route with the longest path prefix, or nullptr. Among equal prefixes one
    // with a host takes precedence.
    const Route *match(std::string_view method, std::string_view path, std::string_view host) const;

    // Returns the pool of that name, or nullptr.
    const Pool *pool(std::string_view name) const;
};

} // namespace quetzal
