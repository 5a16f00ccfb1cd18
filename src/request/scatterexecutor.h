// Runs requests on registered searchers: their pools, links and timers, on one loop.
#pragma once

#include "connection/httpcodec.h"
#include "connection/searcherlink.h"
#include "process/eventloop.h"
#include "process/metrics.h"
#include "request/scatter.h"
#include "request/shardpool.h"
#include "version/servingview.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzal {

// What a scatter host is given.
struct ScatterExecutorOptions
{
    std::string zone;
    // Cost of the way to another zone and back.
    Millis zoneRoundTrip = Millis(8);
    // Expected latency that is accepted in the own zone before another one's searcher is used.
    Millis zonePenalty = Millis(10);
    // Extra attempts that all hosts together may add to a pool.
    RetryBudgetOptions retries;
    // Hosts that share the budget and the searchers' connections until others are known.
    std::uint32_t initialFleetCapacity = 11;
    std::uint64_t seed = 0;
};

// A request to run.
struct ScatterRequest
{
    ScatterPlan plan;
    std::vector<std::shared_ptr<ShardPool>> pools;
    // Empty, or an entry for each pool.
    std::vector<AllowedSearchers> allowedSearchers;
    std::shared_ptr<const OutboundRequest> request;
    RouteLatency *routeLatency = nullptr;
    // Takes the answer, once; perhaps before start returns.
    std::function<void(ScatterAnswer &&)> done;
};

// Follows the view: a searcher for each life of a registration, with its link and its pool.
class ScatterExecutor
{
public:
    ScatterExecutor(EventLoop &loop, Metrics &metrics, const HttpCodec &codec,
                    const ServingView &view, const ScatterExecutorOptions &options);
    ~ScatterExecutor();
    ScatterExecutor(const ScatterExecutor &) = delete;
    ScatterExecutor &operator=(const ScatterExecutor &) = delete;

    // Returns a number that no other request of this or an earlier life has.
    QueryId nextId() { return { ++this->lastQuery }; }

    // Runs a request under the plan's number.
    void start(ScatterRequest &&request);

    // Nobody waits for a request any more; its answer is not told.
    void abandon(QueryId id);

    // Returns the pool of a name; made if it is new.
    std::shared_ptr<ShardPool> pool(const std::string &name);

    // The view changed.
    void onViewChanged();

    // Sets how many hosts like this one share the budget and the searchers' connections.
    void setFleetCapacity(double equals);

    // This process did not run for a while: what waited is expired.
    void onPaused();

    std::size_t running() const { return this->requests.size(); }

private:
    struct Target
    {
        std::shared_ptr<TrackedSearcher> searcher;
        std::shared_ptr<SearcherLink> link;
        std::shared_ptr<ShardPool> pool;
    };
    using TargetPtr = std::shared_ptr<Target>;

    struct RunningRequest
    {
        std::unique_ptr<Scatter> scatter;
        std::shared_ptr<const OutboundRequest> request;
        RouteLatency *routeLatency = nullptr;
        Millis target;
        Millis deadline;
        std::function<void(ScatterAnswer &&)> done;
        // Links that the attempts were sent on, and when, by ordinal.
        std::vector<std::pair<TargetPtr, Millis>> sent;
        TimerId timer = 0;
        Millis timerAt = Millis::never();
    };

    TargetPtr targetOf(const TrackedSearcher &searcher) const;
    void applyActions(QueryId id, ScatterActions &actions);
    void recordSend(QueryId id, const ScatterSend &send, const TargetPtr &target, Millis now);
    void onAttemptEnd(const TargetPtr &target, const AttemptId &id, const Outcome &outcome,
                      SearcherReply &&reply);
    void armTimer(QueryId id);
    void onTimer(QueryId id);
    void finish(QueryId id, ScatterAnswer &&answer);
    TargetPtr makeTarget(const DirectoryRecord &record, Millis now);
    void applyRecord(const DirectoryRecord &record, Millis now);
    void retire(const TargetPtr &target);
    void applyMaxConnections(Target &target) const;
    RetryBudgetOptions localRetryBudget() const;
    void sweep();

    EventLoop &loop;
    Metrics &metrics;
    const HttpCodec &codec;
    const ServingView &view;
    ScatterExecutorOptions options;
    double fleetCapacity;
    std::uint64_t lastQuery = 0;
    std::unordered_map<QueryId, RunningRequest> requests;
    std::map<std::string, std::shared_ptr<ShardPool>, std::less<>> pools;
    std::map<std::string, TargetPtr, std::less<>> targets;
    // Earlier lives, until their connections are closed.
    std::vector<TargetPtr> retired;
    TimerId sweepTimer = 0;
};

} // namespace quetzal
