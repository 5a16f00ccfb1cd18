// The entry role of one loop: callers' requests from the door to the answer.
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

// What an entry loop is given.
struct EntryContext
{
    EventLoop &loop;
    Metrics &metrics;
    TraceWriter &traces;
    const RcuValue<RoutingSnapshot> &snapshot;
    std::string hostName;
    std::string zone;
    Millis zoneOneWayDelay;
    // Number of the loop; query numbers carry it so that replies find their loop.
    std::uint64_t loopIndex = 0;
    std::uint64_t seed = 0;
    // First query number of this life of the host; larger than all of earlier lives, so that no
    // reply to an earlier life's attempt is taken for one to this life's.
    std::uint64_t firstQueryNumber = 0;
    // Sends messages to the relay of a host, this one included.
    std::function<void(HostId owner, std::shared_ptr<SubRequests> batch)> sendBatch;
    std::function<void(HostId owner, Cancels cancels)> sendCancels;
    // Sends a message about a request that may not be repeated, this host included.
    std::function<void(HostId to, OnceMessage message)> sendOnceMessage;
    HostId self;
};

// Runs the queries of one loop. Used on its thread only.
class EntryService
{
public:
    explicit EntryService(EntryContext context);

    // Takes a caller's request.
    void onRequest(const std::shared_ptr<HttpExchange> &exchange);

    // The end of an attempt arrived.
    void onResult(AttemptResult &&result);

    // Searchers' holdings changed.
    void onReports(const std::vector<SearcherReport> &news);

    // A message about a request that may not be repeated arrived.
    void onOnceMessage(HostId from, const OnceMessage &message, bool stale)
    {
        this->onceService.onMessage(from, message, stale);
    }

    // A new world was published.
    void onSnapshotChanged();

    // A host died, restarted or stopped answering: what it had in hand may have run.
    void onRelayLost(HostId host);

    // Refuses new requests from now on.
    void stopAccepting() { this->stopping = true; }

    std::size_t runningQueries() const
    {
        return this->running.size() + this->onceService.openRequests();
    }

    // Returns the loop that a query belongs to.
    static std::uint64_t loopOf(QueryId query) { return query.value >> loopShift; }

private:
    static constexpr int loopShift = 48;
    static constexpr std::uint64_t queryMask = (std::uint64_t(1) << loopShift) - 1;

    struct RunningQuery
    {
        std::unique_ptr<Query> query;
        // Takes the answer.
        std::function<void(const HttpAnswer &)> reply;
        // Keeps the route and the revision for the query's life.
        std::shared_ptr<const RoutingSnapshot> snapshot;
        CallerRequest request;
        PoolState *pool = nullptr;
        // The span is the entry's own.
        TraceContext trace;
        std::uint64_t callerSpan = 0;
        // When the query took its latest event.
        Millis lastEventAt;
        // Hosts that the attempts were sent to, by ordinal.
        std::vector<HostId> owners;
        TimerId timer = 0;
        Millis timerAt = Millis::never();
    };

    PoolState &poolState(const Pool &pool);
    void syncPool(const RoutingSnapshot &snapshot, const Pool &pool, PoolState &state);
    void applyReport(const SearcherReport &report, PoolState &state);
    void refuse(HttpExchange &exchange, int status, Fault fault, const std::string &text,
                const std::string &requestId);
    QueryId startQuery(std::function<void(const HttpAnswer &)> reply, CallerRequest request,
                       const std::shared_ptr<const RoutingSnapshot> &snapshot);
    void forwardToOwner(const std::shared_ptr<HttpExchange> &exchange,
                        const CallerRequest &request);
    void runForwarded(const OnceMessage &forward, std::function<void(const HttpAnswer &)> done);
    void onCallerGone(QueryId id);
    OnceHooks onceHooks();
    void applyActions(QueryId id, QueryActions &actions);
    void sendAttempts(RunningQuery &entry, const std::vector<Attempt> &attempts);
    void sendCancels(const RunningQuery &entry, const std::vector<Attempt> &attempts);
    void armTimer(QueryId id);
    void finish(QueryId id, const Answer &answer);
    void traceQuery(const RunningQuery &entry, const Answer &answer, Millis mergedAt);
    std::string newRequestId();
    void logOutliers();
    void logVersionConflicts(const std::string &pool, PoolState &state);

    EntryContext context;
    OnceService onceService;
    SpanIdGenerator spans;
    std::mt19937_64 random;
    std::uint64_t lastQueryNumber = 0;
    std::unordered_map<QueryId, RunningQuery> running;
    std::map<std::string, std::unique_ptr<PoolState>, std::less<>> pools;
    std::unordered_map<SearcherId, SearcherReport> reports;
    std::uint64_t syncedGeneration = 0;
    bool stopping = false;
    Millis nextOutlierCheck;
};

} // namespace quetzal
