// Stand-in for one searcher.
#pragma once

#include "connection/httpserver.h"
#include "process/eventloop.h"
#include "standins/syntheticindex.h"
#include "version/indexversionregistry.h"
#include "version/routingtables.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzal {

// One run of a request, as recorded in the ledger. Times are those of the stand-in's steady clock.
struct LedgerEntry
{
    std::string requestId;
    // Id of the attempt, as stated in the request.
    std::string attempt;
    // Address of the searcher.
    std::string searcher;
    VersionId version;
    std::uint32_t shard = 0;
    Millis startedAt;
    // Zero while the request runs, and if the searcher was stopped before it ended.
    Millis endedAt;
    bool cancelled = false;
    // Started after the deadline of the request.
    bool expired = false;
    // Started later than is allowed after the searcher began to drain.
    bool afterDrain = false;
};

// Counters of one searcher.
struct SearcherCounts
{
    // Requests refused because of overload.
    std::uint64_t shed = 0;
    // Connections refused because of the connection cap.
    std::uint64_t refusedConnections = 0;
    std::uint64_t peakConnections = 0;
    std::uint64_t peakRunning = 0;
    // Requests that were queued because all slots were in use.
    std::uint64_t queuedRequests = 0;
};

// Behaviour of a searcher; it can be changed at run time.
struct SearcherBehaviour
{
    // The service time is log-normal with this median and this standard deviation of its logarithm.
    Millis medianServiceTime = Millis(8);
    double serviceTimeSigma = 0.3;
    // Fraction of requests whose service time is multiplied by stragglerFactor.
    double stragglerFraction = 0.01;
    double stragglerFactor = 5;
    // Multiplies the service time of all requests.
    double slowness = 1;
    // For this time after a start, service times are multiplied by coldFactor.
    Millis coldPeriod;
    double coldFactor = 10;
    // Whether all requests are refused.
    bool shedAll = false;
    // Whether the searcher announces that it is draining.
    bool draining = false;
};

// Answers searches on its shards from a synthetic index. Simulates a limited number of slots, a
// connection cap, the time to accept a connection, cold starts, draining, load shedding and
// cancellation; runs that start after their deadline are recorded.
class SearcherStandin
{
public:
    SearcherStandin(EventLoop &loop, const Searcher &config, const SyntheticIndex &index,
                    const SearcherBehaviour &behaviour, std::uint64_t seed);

    // Listens on the address; the searcher is cold. Does nothing if it runs already.
    void start();
    // Closes all connections and drops all requests without an answer, as a crash does.
    void stop();
    bool isUp() const { return this->server != nullptr; }

    // Stops traffic on the open connections without closing them.
    void silenceConnections();

    void setBehaviour(const SearcherBehaviour &next);
    const SearcherBehaviour &currentBehaviour() const { return this->behaviour; }

    // Replaces the shards that the searcher holds.
    void setHoldings(const std::vector<Holding> &next) { this->holdings = next; }
    const std::vector<Holding> &currentHoldings() const { return this->holdings; }

    const Searcher &config() const { return this->searcherConfig; }
    const std::vector<LedgerEntry> &ledger() const { return this->ledgerEntries; }
    const SearcherCounts &counts() const { return this->counters; }

private:
    // A request that occupies a slot.
    struct RunningRequest
    {
        std::size_t ledgerIndex = 0;
        // Fires when the service time is over.
        TimerId timer = 0;
    };

    // A request that is about to run or waits for a free slot. The holding has no partitions if the
    // request is no search.
    struct QueuedRequest
    {
        std::shared_ptr<HttpExchange> exchange;
        Holding holding;
        Millis deadline;
    };

    void onRequest(const std::shared_ptr<HttpExchange> &exchange);
    // Runs a request, queues it if all slots are in use, or refuses it.
    void serve(const std::shared_ptr<HttpExchange> &exchange, Millis arrivedAt);
    // Responds to a status request.
    void answerStatus(HttpExchange &exchange);
    // Responds that the request was not run.
    void refuse(HttpExchange &exchange, const std::string &reason);
    // Returns the holdings and the load as JSON.
    std::string statusText() const;
    // Returns the holding that a search asks for, or a null pointer.
    const Holding *findHolding(const HttpExchange &exchange) const;
    // Occupies a slot, writes the ledger and schedules the end of the run.
    void run(const QueuedRequest &job);
    // Runs the oldest queued request if a slot is free.
    void startNextQueued();
    // Ends a run and sends the reply: the hits of the holding, or a confirmation if the request is
    // no search.
    void finish(const std::shared_ptr<HttpExchange> &exchange, const Holding &holding);
    // Returns a random service time.
    Millis serviceTime();

    EventLoop &loop;
    Searcher searcherConfig;
    SyntheticIndex index;
    SearcherBehaviour behaviour;
    std::mt19937_64 random;
    std::vector<Holding> holdings;
    std::shared_ptr<HttpServer> server;
    std::unordered_map<HttpExchange *, RunningRequest> running;
    std::deque<QueuedRequest> queue;
    std::vector<LedgerEntry> ledgerEntries;
    SearcherCounts counters;
    Millis startedAt;
    Millis drainingSince;
};

} // namespace quetzal
