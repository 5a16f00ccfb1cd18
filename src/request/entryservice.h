// Coordinates callers' queries on one event loop, from the HTTP request to the answer.
#pragma once

#include "connection/httpserver.h"
#include "connection/messages.h"
#include "process/eventloop.h"
#include "process/metrics.h"
#include "process/rcuvalue.h"
#include "process/tracing.h"
#include "request/callerrequest.h"
#include "request/onceservice.h"
#include "request/poolstate.h"
#include "request/query.h"
#include "version/routingsnapshot.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace quetzal {

// Dependencies and settings of an EntryService.
struct EntryContext
{
    EventLoop &loop;
    Metrics &metrics;
    TraceWriter &traces;
    // Holds no value until the first snapshot is published.
    const RcuValue<RoutingSnapshot> &snapshot;
    std::string hostName;
    std::string zone;
    // One-way network delay to another availability zone.
    Millis zoneOneWayDelay;
    // Index of the event loop; part of each query id, so that replies are routed to the loop.
    std::uint64_t loopIndex = 0;
    std::uint64_t seed = 0;
    // First query number of this incarnation of the host. Greater than all numbers of earlier
    // incarnations, so that a late reply to one of their attempts does not match a current attempt.
    std::uint64_t firstQueryNumber = 0;
    // Send messages to the relay of a host, which may be this one.
    std::function<void(HostId owner, std::shared_ptr<SubRequests> batch)> sendBatch;
    std::function<void(HostId owner, Cancels cancels)> sendCancels;
    // Sends an at-most-once message to a host, which may be this one.
    std::function<void(HostId to, OnceMessage message)> sendOnceMessage;
    HostId self;
};

// Runs the queries of one event loop. Used on the loop's thread only.
class EntryService
{
public:
    explicit EntryService(EntryContext context);

    // Handles a caller's request: validates it, then starts a query, or forwards it if it has to
    // run at most once.
    void onRequest(const std::shared_ptr<HttpExchange> &exchange);

    // Handles the result of an attempt. Results of queries that have ended are ignored.
    void onResult(AttemptResult &&result);

    // Takes reports of which shards searchers hold and whether they are draining.
    void onReports(const std::vector<SearcherReport> &newReports);

    // Handles an at-most-once message. stale: it may have been queued while the process was paused.
    void onOnceMessage(HostId from, const OnceMessage &message, bool stale)
    {
        this->onceService.onMessage(from, message, stale);
    }

    // Applies the latest routing snapshot to the pools' state.
    void onSnapshotChanged();

    // Fails the attempts sent to a host that died, restarted or stopped answering. They may have
    // run.
    void onRelayLost(HostId host);

    // Rejects new requests from now on.
    void stopAccepting() { this->stopping = true; }

    // Returns the number of requests that are not answered yet, at-most-once requests included.
    std::size_t runningQueries() const
    {
        return this->running.size() + this->onceService.openRequests();
    }

    // Returns the index of the event loop that a query belongs to.
    static std::uint64_t loopOf(QueryId query) { return query.value >> loopShift; }

private:
    // A query id holds the loop index above this bit and the query number below it.
    static constexpr int loopShift = 48;
    static constexpr std::uint64_t queryMask = (std::uint64_t(1) << loopShift) - 1;

    // A query from its start until its answer is sent.
    struct RunningQuery
    {
        std::unique_ptr<Query> query;
        // Sends the answer.
        std::function<void(const HttpAnswer &)> reply;
        // Keeps the route alive and the tables' revision the same until the query ends.
        std::shared_ptr<const RoutingSnapshot> snapshot;
        CallerRequest request;
        PoolState *pool = nullptr;
        // The caller's trace or a new one, with the id of the span that this query records.
        TraceContext trace;
        // Id of the caller's span, the parent of the query's span; zero for a new trace.
        std::uint64_t callerSpan = 0;
        // When the query handled its latest event; recorded as the start of the merge.
        Millis lastEventAt;
        // Hosts that the attempts were sent to, by the attempts' ordinals. Empty ids if the
        // searcher had no owner.
        std::vector<HostId> owners;
        TimerId timer = 0;
        // When the timer fires; never if it is not set.
        Millis timerAt = Millis::never();
    };

    // Returns the state of a pool; created on first use.
    PoolState &poolState(const Pool &pool);
    // Sets the pool's searchers as the snapshot lists them.
    void syncPool(const RoutingSnapshot &snapshot, const Pool &pool, PoolState &state);
    void applyReport(const SearcherReport &report, PoolState &state);
    void refuse(HttpExchange &exchange, int status, Fault fault, const std::string &text,
                const std::string &requestId);
    // Starts a query, or replies with a rejection and returns the empty id.
    QueryId startQuery(std::function<void(const HttpAnswer &)> reply, CallerRequest request,
                       const std::shared_ptr<const RoutingSnapshot> &snapshot);
    // Forwards a non-repeatable request to the owner of its request id.
    void forwardToOwner(const std::shared_ptr<HttpExchange> &exchange,
                        const CallerRequest &request);
    // Runs a non-repeatable request whose id this host owns.
    void runForwarded(const OnceMessage &forward, std::function<void(const HttpAnswer &)> done);
    void onCallerGone(QueryId id);
    OnceHooks onceHooks();
    // Sends and cancels attempts as the query asked; ends the query if it has an answer.
    void applyActions(QueryId id, QueryActions &actions);
    void sendAttempts(RunningQuery &entry, const std::vector<Attempt> &attempts);
    void sendCancels(const RunningQuery &entry, const std::vector<Attempt> &attempts);
    void armTimer(QueryId id);
    void finish(QueryId id, const Answer &answer);
    // Writes the query's span and the span of its merge.
    void traceQuery(const RunningQuery &entry, const Answer &answer, Millis mergedAt);
    std::string newRequestId();
    // Logs, once per period, searchers that are much slower than the others of their pool.
    void logOutliers();
    // Logs index versions whose searchers report contradictory layouts.
    void logVersionConflicts(const std::string &pool, PoolState &state);

    EntryContext context;
    OnceService onceService;
    SpanIdGenerator spans;
    std::mt19937_64 random;
    std::uint64_t lastQueryNumber = 0;
    std::unordered_map<QueryId, RunningQuery> running;
    std::map<std::string, std::unique_ptr<PoolState>, std::less<>> pools;
    // The latest report of each searcher, also of those in no pool yet.
    std::unordered_map<SearcherId, SearcherReport> reports;
    // Generation of the snapshot that the pools' state was last set from.
    std::uint64_t syncedGeneration = 0;
    bool stopping = false;
    Millis nextOutlierCheck;
};

} // namespace quetzal
