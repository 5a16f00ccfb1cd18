// Callers' requests from the door to the answer, on one loop.
#pragma once

#include "connection/httpcodec.h"
#include "connection/httpserver.h"
#include "request/partrelay.h"
#include "request/scatterexecutor.h"
#include "request/trafficsplit.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzal {

// Matches requests to routes, has their parts gathered here and by relays, merges and answers.
class Gateway
{
public:
    Gateway(EventLoop &loop, Metrics &metrics, const HttpCodec &codec, const ServingView &view,
            ScatterExecutor &scatterExecutor, PartRelay &partRelay, std::string zone);

    // Takes a caller's request.
    void onRequest(const std::shared_ptr<HttpExchange> &exchange);

    std::size_t runningRequests() const { return this->running.size(); }

private:
    // Some parts of a request that are gathered together.
    struct Batch
    {
        std::vector<std::uint32_t> shards;
        // The number under which they are gathered, here or by a relay.
        QueryId id;
        bool relayed = false;
        bool open = true;
    };

    struct RunningRequest
    {
        std::shared_ptr<HttpExchange> exchange;
        std::shared_ptr<const OutboundRequest> request;
        std::shared_ptr<const RoutingTables> tables;
        const Route *route = nullptr;
        Millis arrivedAt;
        Millis target;
        Millis deadline;
        std::vector<Batch> batches;
        // By position in the route's list of pools; empty where the part is missing.
        std::vector<std::string> seals;
        // By the same position: the searchers that may get the request if it is relayed, so that
        // all hosts together send it to no more than the route allows.
        std::vector<AllowedSearchers> allowedSearchers;
        // Records of parts, merged or not.
        std::vector<std::string> records;
        std::size_t receivedParts = 0;
        bool mayHaveRun = false;
        std::error_code lastFailure;
        // What was missing at the target has been asked for once more.
        bool retriedMissing = false;
        std::uint32_t sent = 0;
        std::uint32_t hedges = 0;
        std::uint32_t retries = 0;
        TimerId timer = 0;
    };

    void begin(const std::shared_ptr<HttpExchange> &exchange, const Route &route,
               const CallerFields &fields, Millis now);
    void beginSingle(std::uint64_t number);
    void beginMerged(std::uint64_t number);
    void gatherLocally(std::uint64_t number, std::vector<std::uint32_t> shards, ScatterPlan plan);
    void assignSearchers(RunningRequest &entry, const std::vector<std::uint32_t> &shards,
                         const std::string &zone);
    void sendToRelay(std::uint64_t number, const RelayShare &share);
    ScatterPlan planFor(const RunningRequest &entry) const;
    void onLocalBatchEnd(std::uint64_t number, QueryId batch, ScatterAnswer &&answer);
    void onRelayedBatchEnd(std::uint64_t number, QueryId batch, RelayResult &&result);
    void recordPart(RunningRequest &entry, std::uint32_t shard, const std::string &seal);
    void finishIfDue(std::uint64_t number);
    void retryMissing(std::uint64_t number);
    std::size_t requiredParts(const RunningRequest &entry) const;
    void onTarget(std::uint64_t number);
    void onCallerGone(std::uint64_t number);
    void abandonBatches(RunningRequest &entry);
    void respondSingle(std::uint64_t number, ScatterAnswer &&answer);
    void respondMerged(std::uint64_t number);
    void respondFailure(std::uint64_t number);
    void refuse(HttpExchange &exchange, int status, Fault fault, const CallerFields &fields);
    void logEnd(const RunningRequest &entry, int status, std::size_t parts) const;

    EventLoop &loop;
    Metrics &metrics;
    const HttpCodec &codec;
    const ServingView &view;
    ScatterExecutor &scatterExecutor;
    PartRelay &partRelay;
    std::string zone;
    std::uint64_t lastNumber = 0;
    std::unordered_map<std::uint64_t, RunningRequest> running;
    TrafficSplit trafficSplit;
};

} // namespace quetzal
