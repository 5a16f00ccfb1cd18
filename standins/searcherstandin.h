// A stand-in of one searcher.
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

// One run of a request, as the ledger keeps it. Times are points on the stand-ins' clock.
struct LedgerEntry
{
    std::string requestId;
    std::string attempt;
    std::string searcher;
    VersionId version;
    std::uint32_t shard = 0;
    Millis startedAt;
    Millis endedAt;
    bool cancelled = false;
    // Started after the deadline that came with the request.
    bool expired = false;
    // Started longer after the searcher began to leave than is allowed.
    bool afterDrain = false;
};

// Counts of one searcher.
struct SearcherCounts
{
    std::uint64_t shed = 0;
    std::uint64_t refusedConnections = 0;
    std::uint64_t mostConnections = 0;
    std::uint64_t mostRunning = 0;
    // Requests that found all slots in use.
    std::uint64_t waited = 0;
};

// How a searcher behaves; changed at run time.
struct SearcherBehaviour
{
    // Median of the service time, and how far single requests differ from it.
    Millis service = Millis(8);
    double spread = 0.3;
    double stragglerFraction = 0.01;
    double stragglerFactor = 5;
    // Multiplies the service time: 10 is a slow searcher.
    double slowness = 1;
    // After a start, requests take coldFactor as long for this time.
    Millis coldTime;
    double coldFactor = 10;
    bool shedAll = false;
    bool draining = false;
};

// Answers searches on its shards, with slots, a connection cap, a cost of connecting, cold starts,
// drain, shedding, cancellation and deadlines.
class SearcherStandin
{
public:
    SearcherStandin(EventLoop &loop, const Searcher &place, const SyntheticIndex &index,
                    const SearcherBehaviour &behaviour, std::uint64_t seed);

    // Binds the address and serves, cold.
    void start();
    // Stops as a crash would.
    void stop();
    bool isUp() const { return this->server != nullptr; }

    // From now on, open connections are silent.
    void silenceConnections();

    void setBehaviour(const SearcherBehaviour &next);
    const SearcherBehaviour &currentBehaviour() const { return this->behaviour; }

    // Replaces what the searcher holds.
    void setHoldings(const std::vector<Holding> &next) { this->holdings = next; }
    const std::vector<Holding> &currentHoldings() const { return this->holdings; }

    const Searcher &where() const { return this->place; }
    const std::vector<LedgerEntry> &ledger() const { return this->entries; }
    const SearcherCounts &counts() const { return this->count; }

private:
    struct Run
    {
        std::size_t ledgerIndex = 0;
        TimerId timer = 0;
    };

    // A request that waits for a slot.
    struct Waiting
    {
        std::shared_ptr<HttpExchange> exchange;
        Holding holding;
        Millis deadline;
    };

    void onRequest(const std::shared_ptr<HttpExchange> &exchange);
    void serve(const std::shared_ptr<HttpExchange> &exchange, Millis arrivedAt);
    void answerStatus(HttpExchange &exchange);
    void refuse(HttpExchange &exchange, const std::string &reason);
    std::string statusText() const;
    const Holding *findHolding(const HttpExchange &exchange) const;
    void run(const Waiting &job);
    void startNext();
    void finish(const std::shared_ptr<HttpExchange> &exchange, const Holding &holding);
    Millis serviceTime();

    EventLoop &loop;
    Searcher place;
    SyntheticIndex index;
    SearcherBehaviour behaviour;
    std::mt19937_64 random;
    std::vector<Holding> holdings;
    std::shared_ptr<HttpServer> server;
    std::unordered_map<HttpExchange *, Run> running;
    std::deque<Waiting> waiting;
    std::vector<LedgerEntry> entries;
    SearcherCounts count;
    Millis startedAt;
    Millis drainingSince;
};

} // namespace quetzal
