// Serves callers' requests on one event loop.
#pragma once

#include "connection/httpcodec.h"
#include "connection/httpserver.h"
#include "request/callerauthenticator.h"
#include "request/partrelay.h"
#include "request/scatterexecutor.h"
#include "request/timereserve.h"
#include "request/trafficsplit.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzal {

// Matches requests to routes, gathers their parts locally and through relays, merges the parts and
// answers. A part is the reply of one shard. Used on the loop's thread only.
class Gateway
{
public:
    Gateway(EventLoop &loop, Metrics &metrics, const HttpCodec &codec, const ServingView &view,
            ScatterExecutor &scatterExecutor, PartRelay &partRelay, std::string zone);

    // Handles a caller's request; answers it now or later.
    void onRequest(const std::shared_ptr<HttpExchange> &exchange);

    // Sets a function that returns false if nothing has shown for some time that the tables are
    // current. Unknown keys may be known to others then.
    void setViewTrust(std::function<bool()> isTrusted)
    {
        this->isViewTrusted = std::move(isTrusted);
    }

    // Sets a function that counts a request of a workspace. It returns nothing if the request is
    // within the workspace's allowance, and otherwise when its caller is to come back.
    void setAllowance(
            std::function<std::optional<Millis>(const Workspace &, const std::string &)> counter)
    {
        this->countAllowance = std::move(counter);
    }

    // Sets when the process ends at the latest. From now on a request that may not be repeated is
    // refused if it could run until then, as its caller would not learn whether it ran.
    void setShutdownDeadline(Millis at) { this->shutdownDeadline = at; }

    // Answers all remaining requests with a failure, because the process is about to end.
    void failRemaining();

    // Returns the number of requests that are not answered yet.
    std::size_t runningRequests() const { return this->running.size(); }

private:
    static constexpr Millis defaultRetryAfter = Millis(100);
    // Longest time reserved for sending an answer after its target. An answer that is later did not
    // wait for its target but for searchers.
    static constexpr Millis maxTargetReserve = Millis(15);

    // Parts of a request that are gathered together, either locally or by one relay.
    struct Batch
    {
        // Positions in the route's list of pools.
        std::vector<std::uint32_t> shards;
        // Identifies the batch to the scatter executor, or to the relay.
        QueryId id;
        bool relayed = false;
        // True until the result of the batch arrives.
        bool open = true;
    };

    // A request from its arrival until it is answered.
    struct RunningRequest
    {
        std::shared_ptr<HttpExchange> exchange;
        std::shared_ptr<const OutboundRequest> request;
        // Keeps the route alive.
        std::shared_ptr<const RoutingTables> tables;
        const Route *route = nullptr;
        // The workspace of the caller; null if it needs none.
        const Workspace *workspace = nullptr;
        Millis arrivedAt;
        // When an incomplete answer is sent if it has enough parts.
        Millis target;
        // When the request fails.
        Millis deadline;
        std::vector<Batch> batches;
        // Signatures of the parts received, by position in the route's list of pools; empty for
        // missing parts.
        std::vector<std::string> seals;
        // Keys of the searchers that may get the request, by the same position. Set if some parts
        // are relayed, so that this host and the relays together send it to at most as many
        // searchers as the route allows.
        std::vector<AllowedSearchers> allowedSearchers;
        // Records of the received parts: of one part each, or merged by a relay.
        std::vector<std::string> records;
        std::size_t receivedParts = 0;
        // True if a searcher ran the request or may have run it.
        bool mayHaveRun = false;
        std::error_code lastFailure;
        // True if the parts missing at the target time may not be gathered again: they already
        // were, or no part was relayed.
        bool retriedMissing = false;
        // Attempts of local batches, for the log.
        std::uint32_t sent = 0;
        std::uint32_t hedges = 0;
        std::uint32_t retries = 0;
        TimerId timer = 0;
    };

    // Sets the workspace of a request, and replaces the fields that state one. Refuses the request
    // and returns false if it needs a key and has no known one.
    bool authenticate(HttpExchange &exchange, const Route &route, CallerFields &fields,
                      const Workspace *&workspace);
    void begin(const std::shared_ptr<HttpExchange> &exchange, const Route &route,
               const CallerFields &fields, const Workspace *workspace, Millis now);
    // Passes on the reply of one searcher.
    void beginSingle(std::uint64_t number);
    // Merges one part of each of the route's pools.
    void beginMerged(std::uint64_t number);
    // Gathers parts with this host's own searcher connections.
    void gatherLocally(std::uint64_t number, std::vector<std::uint32_t> shards, ScatterPlan plan);
    // Sets the searchers that may get the request: for each part the best for a host in a zone.
    void assignSearchers(RunningRequest &entry, const std::vector<std::uint32_t> &shards,
                         const std::string &zone);
    // Has another host gather a share of the parts.
    void sendToRelay(std::uint64_t number, const RelayShare &share);
    // Returns the plan that the request's batches have in common.
    ScatterPlan planFor(const RunningRequest &entry) const;
    void onLocalBatchEnd(std::uint64_t number, QueryId batch, ScatterAnswer &&answer);
    void onRelayedBatchEnd(std::uint64_t number, QueryId batch, RelayResult &&result);
    // Records that a part was received. Parts that are unsigned or already there are ignored.
    void recordPart(RunningRequest &entry, std::uint32_t shard, const std::string &seal);
    // Responds if the request is complete or cannot succeed any more; otherwise waits, or gathers
    // the missing parts again.
    void finishIfDue(std::uint64_t number);
    // The target time has passed without enough parts: gathers missing parts until there are
    // enough.
    void retryMissing(std::uint64_t number);
    // Returns the number of parts that the route's minimum coverage requires, at least one.
    static std::size_t requiredParts(const Route &route);
    // The target time has passed: responds if there are enough parts.
    void onTarget(std::uint64_t number);
    void onCallerGone(std::uint64_t number);
    // Cancels the batches that are still open.
    void abandonBatches(RunningRequest &entry);
    void respondSingle(std::uint64_t number, ScatterAnswer &&answer);
    void respondMerged(std::uint64_t number);
    void respondFailure(std::uint64_t number);
    // retryAfter: when the caller is told to come back; not used if the status is final.
    void refuse(HttpExchange &exchange, int status, Fault fault, const CallerFields &fields,
                Millis retryAfter = defaultRetryAfter);
    // Returns when a caller should come back whose request lacks searchers. Differs between
    // requests, so that callers do not come back all at once.
    Millis retryAfterEmptyPool(const Route &route, const std::string &requestId, Millis now) const;
    // Returns true if enough of the route's pools have searchers that this host or a relay may use.
    bool isServable(const Route &route, Millis now) const;
    // Returns the pools that a request on a route may use.
    std::vector<std::shared_ptr<ShardPool>> poolsOf(const Route &route) const;
    // Returns the time to reserve before a request's target for sending its answer.
    Millis answerReserve() const;
    // Learns how late an answer is sent that was due at its target, and makes the caller's
    // connection report how long the delivery takes.
    void observeAnswer(RunningRequest &entry, Millis decidedAt);
    void logEnd(const RunningRequest &entry, int status, std::size_t parts) const;

    EventLoop &loop;
    Metrics &metrics;
    const HttpCodec &codec;
    const ServingView &view;
    ScatterExecutor &scatterExecutor;
    PartRelay &partRelay;
    std::string zone;
    Millis shutdownDeadline = Millis::never();
    std::uint64_t lastNumber = 0;
    // By request number.
    std::unordered_map<std::uint64_t, RunningRequest> running;
    TrafficSplit trafficSplit;
    // For the tables that were in force at the last request with workspaces.
    std::unique_ptr<const CallerAuthenticator> authenticator;
    std::function<bool()> isViewTrusted;
    std::function<std::optional<Millis>(const Workspace &, const std::string &)> countAllowance;
    // Time by which answers that are due at their target are sent after it.
    TimeReserve targetReserve;
    // Time for merging an answer and for its delivery, the network round trip excluded.
    TimeReserve deliveryReserve;
    // When a delivery was observed last.
    Millis deliveryObservedAt;
};

} // namespace quetzal
