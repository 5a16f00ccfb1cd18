// Runs scatter requests on registered searchers on one event loop.
#pragma once

#include "connection/httpcodec.h"
#include "connection/memoryaccount.h"
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

// Settings of a ScatterExecutor.
struct ScatterExecutorOptions
{
    std::string zone;
    // Round-trip time to another availability zone.
    Millis zoneRoundTrip = Millis(8);
    // How much lower the expected latency of a searcher in another zone has to be, network time
    // included, for it to be preferred to one in the local zone.
    Millis zonePenalty = Millis(10);
    // Budget of hedges and retries that all hosts together may add to a pool.
    RetryBudgetOptions retries;
    // Capacity of the fleet until the membership is known, in units of this host's capacity. The
    // budget and the searchers' connections are divided by it.
    std::uint32_t initialFleetCapacity = 11;
    std::uint64_t seed = 0;
};

// A request to run on one pool or on several.
struct ScatterRequest
{
    ScatterPlan plan;
    std::vector<std::shared_ptr<ShardPool>> pools;
    // Keys of the searchers that may get the request, for each pool; empty if all may.
    std::vector<AllowedSearchers> allowedSearchers;
    std::shared_ptr<const OutboundRequest> request;
    // Latency statistics of the route; must outlive the request.
    RouteLatency *routeLatency = nullptr;
    // Called once with the answer, possibly before start returns; not called after abandon.
    std::function<void(ScatterAnswer &&)> done;
};

// Owns the pools, searcher connections and timers, and runs requests on them. Searchers are added
// and removed as the serving view changes; a searcher that registers anew is a new one. Used on the
// loop's thread only.
class ScatterExecutor
{
public:
    ScatterExecutor(EventLoop &loop, Metrics &metrics, const HttpCodec &codec,
                    const ServingView &view, const ScatterExecutorOptions &options);
    ~ScatterExecutor();
    ScatterExecutor(const ScatterExecutor &) = delete;
    ScatterExecutor &operator=(const ScatterExecutor &) = delete;

    // Returns an id that no other request of this or an earlier incarnation of the process has.
    QueryId nextId() { return { ++this->lastQuery }; }

    // Runs a request under the plan's id.
    void start(ScatterRequest &&request);

    // Cancels a request; its callback is not called. Does nothing if the request has ended.
    void abandon(QueryId id);

    // Returns the pool of a name; created on first use.
    std::shared_ptr<ShardPool> pool(const std::string &name);

    // Applies the registrations and tables of the serving view.
    void onViewChanged();

    // Sets the budget for partial replies of searchers that are registered from now on.
    void setMemoryBudget(std::shared_ptr<MemoryBudget> budget)
    {
        this->memoryBudget = std::move(budget);
    }

    // Sets the capacity of the fleet in units of this host's capacity. The budget and the
    // searchers' connections are divided by it. Values below one are ignored.
    void setFleetCapacity(double capacity);

    // Sets a function that sends a report on the use of a searcher with a request limit to the
    // other hosts that may use it.
    void setRateReporter(std::function<void(const TrackedSearcher &, const RateReport &)> reporter)
    {
        this->rateReporter = std::move(reporter);
    }

    // Handles the report of another host on its use of a searcher, given by its registration id.
    void onRateReport(HostId host, const std::string &searcher, const RateReport &report);

    // Sets a function that tells the other hosts that may use a searcher that it is leaving.
    void setLeavingReporter(std::function<void(const TrackedSearcher &)> reporter)
    {
        this->leavingReporter = std::move(reporter);
    }

    // Another host has learned that an incarnation of a searcher is leaving.
    void onLeavingReport(HostId host, const std::string &searcher, std::uint64_t startTimeUnixMs);

    // The process was paused: fails the attempts that wait for a connection.
    void onPaused();

    // Returns the number of searchers that have started recently or say that they are cold.
    std::size_t coldSearchers() const;

    // Returns the number of requests that have not ended.
    std::size_t running() const { return this->requests.size(); }

private:
    // One incarnation of a searcher with its connections and its pool.
    struct Target
    {
        std::shared_ptr<TrackedSearcher> searcher;
        std::shared_ptr<SearcherLink> link;
        std::shared_ptr<ShardPool> pool;
    };
    using TargetPtr = std::shared_ptr<Target>;

    // An incarnation of a searcher that is leaving, and until when that is remembered.
    struct LeavingSearcher
    {
        std::uint64_t startTimeUnixMs = 0;
        Millis until = Millis(-1e9);
    };

    // A request that has not ended.
    struct RunningRequest
    {
        std::unique_ptr<Scatter> scatter;
        std::shared_ptr<const OutboundRequest> request;
        RouteLatency *routeLatency = nullptr;
        // Until when answers are in time; the deadline if a single reply is passed on.
        Millis target;
        Millis deadline;
        std::function<void(ScatterAnswer &&)> done;
        // Searchers that the attempts were sent to, and when, by the attempts' ordinals.
        std::vector<std::pair<TargetPtr, Millis>> sent;
        // Of the failures that are kept; null while there are none.
        std::unique_ptr<MemoryAccount> account;
        TimerId timer = 0;
        // When the timer fires; never if it is not set.
        Millis timerAt = Millis::never();
    };

    // Returns the target of a searcher, retired ones included, or null.
    TargetPtr targetOf(const TrackedSearcher &searcher) const;
    // Cancels and submits attempts as the request asked; ends it if it has an answer.
    void applyActions(QueryId id, ScatterActions &actions);
    // Counts an attempt, and logs it if it is a hedge or a retry.
    void recordSend(QueryId id, const ScatterSend &send, const TargetPtr &target, Millis now);
    void onAttemptEnd(const TargetPtr &target, const AttemptId &id, const Outcome &outcome,
                      SearcherReply &&reply);
    void armTimer(QueryId id);
    // Counts the failures that a request keeps in the memory budget.
    void updateAccount(QueryId id, RunningRequest &entry);
    void onTimer(QueryId id);
    // Ends a request and calls its callback.
    void finish(QueryId id, ScatterAnswer &&answer);
    TargetPtr makeTarget(const DirectoryRecord &record, Millis now);
    // Adds, updates or replaces a searcher.
    void applyRecord(const DirectoryRecord &record, Millis now);
    // Records what a searcher states about itself, in the reply to a request.
    void onStatement(const Target &target, const SearcherStatement &statement,
                     const std::string &requestId);
    // Remembers that an incarnation of a searcher is leaving. Returns false if that was known.
    bool markLeaving(const SearcherRegistration &registration);
    // Stops sending work to a searcher if it is known to be leaving.
    void applyLeaving(TrackedSearcher &searcher) const;
    // Applies what the tables and the operators say about a searcher.
    void applyTables(Target &target, Millis now) const;
    // Ends the attempts that wait for searchers which are draining, gone, replaced or evacuated, so
    // that they go elsewhere.
    void failWaitingForLeaving();
    // Takes a searcher out of its pool. Its connections close once they are idle.
    void retire(const TargetPtr &target);
    // Sets the number of connections: this host's part of the pool's limit.
    void applyMaxConnections(Target &target) const;
    // Returns this host's part of the budget of extra attempts.
    RetryBudgetOptions localRetryBudget() const;
    // Closes connections that are not needed and removes searchers that are gone, periodically.
    void sweep();
    // Reports the use of searchers with a request limit to the other hosts.
    void reportRates(Millis now);

    EventLoop &loop;
    Metrics &metrics;
    const HttpCodec &codec;
    std::shared_ptr<MemoryBudget> memoryBudget;
    const ServingView &view;
    ScatterExecutorOptions options;
    double fleetCapacity;
    std::uint64_t lastQuery = 0;
    std::unordered_map<QueryId, RunningRequest> requests;
    std::map<std::string, std::shared_ptr<ShardPool>, std::less<>> pools;
    // Current searchers, by registration id.
    std::map<std::string, TargetPtr, std::less<>> targets;
    // Searchers that were removed or replaced, until their connections are closed.
    std::vector<TargetPtr> retired;
    // By registration id. Outlives the searchers' registrations, which may lapse and come back.
    std::map<std::string, LeavingSearcher, std::less<>> leavingSearchers;
    TimerId sweepTimer = 0;
    // End of the last pause of this process.
    Millis pausedUntil;
    std::function<void(const TrackedSearcher &)> leavingReporter;
    std::function<void(const TrackedSearcher &, const RateReport &)> rateReporter;
};

} // namespace quetzal
