// Callers' requests on registered searchers, from the door to the answer, on one loop.
#pragma once

#include "connection/dialect.h"
#include "connection/httpserver.h"
#include "connection/searcherlink.h"
#include "process/eventloop.h"
#include "process/metrics.h"
#include "quetzal/fault.h"
#include "request/scatter.h"
#include "request/shardpool.h"
#include "version/servingview.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace quetzal {

// What a gateway is given.
struct GatewayOptions
{
    std::string host;
    std::string zone;
    // Cost of the way to another zone and back.
    Millis zoneDistance = Millis(8);
    // Extra attempts that all hosts together may add to a pool.
    RetryWindowOptions retries;
    // Hosts that share the budget and the searchers' connections until others are known.
    std::uint32_t assumedHosts = 11;
    std::uint64_t seed = 0;
};

// Runs the requests of one loop. Used on its thread only.
class Gateway
{
public:
    Gateway(EventLoop &loop, Metrics &metrics, const Dialect &dialect, const ServingView &view,
            const GatewayOptions &options);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    // Takes a caller's request.
    void onRequest(const std::shared_ptr<HttpExchange> &exchange);

    // The view changed.
    void onView();

    // Sets how many hosts share the budget and the searchers' connections.
    void setHosts(std::uint32_t count);

    // This process did not run for a while: what waited is expired.
    void onPaused();

    std::size_t runningRequests() const { return this->running.size(); }

private:
    struct Target
    {
        std::shared_ptr<TrackedSearcher> searcher;
        std::shared_ptr<SearcherLink> link;
        std::shared_ptr<ShardPool> pool;
    };
    using TargetPtr = std::shared_ptr<Target>;

    struct Running
    {
        std::unique_ptr<Scatter> scatter;
        std::shared_ptr<HttpExchange> exchange;
        std::shared_ptr<const OutboundRequest> request;
        std::shared_ptr<const Tables> tables;
        const Route *route = nullptr;
        RoutePace *pace = nullptr;
        Millis arrivedAt;
        Millis deadline;
        // Links that the attempts were sent on, and when, by ordinal.
        std::vector<std::pair<TargetPtr, Millis>> sent;
        TimerId timer = 0;
        Millis timerAt = Millis::never();
    };

    struct SplitState
    {
        std::vector<PoolShare> shares;
        std::vector<double> credit;
    };

    void begin(const std::shared_ptr<HttpExchange> &exchange, const Route &route,
               const CallerFields &fields, Millis now);
    std::vector<std::shared_ptr<ShardPool>> poolsOf(const Route &route);
    std::shared_ptr<ShardPool> pool(const std::string &name);
    const std::string &pickShare(const Route &route);
    TargetPtr targetOf(const TrackedSearcher &searcher) const;
    void perform(QueryId id, ScatterActions &actions);
    void onAttemptEnd(const TargetPtr &target, const AttemptId &id, const Outcome &outcome,
                      SearcherReply &&reply);
    void armTimer(QueryId id);
    void onTimer(QueryId id);
    void onCallerGone(QueryId id);
    void finish(QueryId id, ScatterAnswer &&answer);
    bool respondMerged(const Running &entry, const ScatterAnswer &answer);
    void respondFailure(const Running &entry, const ScatterAnswer &answer);
    void refuse(HttpExchange &exchange, int status, Fault fault, const CallerFields &fields);
    void logRequest(const Running &entry, int status, const ScatterAnswer &answer) const;
    TargetPtr makeTarget(const DirectoryRecord &record, Millis now);
    void applyLimits(Target &target) const;
    void sweep();

    EventLoop &loop;
    Metrics &metrics;
    const Dialect &dialect;
    const ServingView &view;
    GatewayOptions options;
    std::uint32_t hosts;
    std::uint64_t lastQuery = 0;
    std::unordered_map<QueryId, Running> running;
    std::map<std::string, std::shared_ptr<ShardPool>, std::less<>> pools;
    std::map<std::string, std::unique_ptr<RoutePace>, std::less<>> paces;
    std::map<std::string, SplitState, std::less<>> splits;
    std::map<std::string, TargetPtr, std::less<>> targets;
    // Earlier lives, until their connections are closed.
    std::vector<TargetPtr> retired;
    TimerId sweepTimer = 0;
};

} // namespace quetzal
