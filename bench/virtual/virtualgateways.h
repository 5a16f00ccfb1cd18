// Gateways, their searchers and callers in virtual time.
#pragma once

#include "bench/virtual/virtualtime.h"
#include "request/scatter.h"
#include "request/shardpool.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace quetzal {

// Which decisions of the gateways are at work; each can be switched off to see what it is worth.
struct GatewayPolicy
{
    // Hedges and retries, within the budget.
    bool extras = true;
    // What hosts have seen of searchers guides the choice among them.
    bool observations = true;
    // At the target an answer goes out with what is in, if that is enough.
    bool answersAtTarget = true;
    // Attempts that lost are withdrawn from their searchers.
    bool cancelling = true;
};

// A kind of requests.
struct VirtualRoute
{
    double perSecond = 0;
    Millis work;
    Millis target;
    Millis deadline;
    double minCoverage = 1;
    // Earned by a whole answer within the target, and by a later one.
    double worth = 1;
    double lateWorth = 0.1;
};

// Sizes and troubles of an installation.
struct GatewaySetup
{
    std::size_t hosts = 7;
    std::size_t zones = 4;
    std::size_t shards = 20;
    std::size_t searchersPerShard = 2;
    std::uint32_t slots = 2;
    std::size_t queue = 12;
    // One way between zones.
    Millis zoneDistance = Millis(5.4);
    Millis pause = Millis(200);
    Millis pausePeriod = Millis(4500);
    std::vector<VirtualRoute> routes;
    GatewayPolicy policy;
    std::uint64_t seed = 1;
    Millis length = Millis(30'000);
    // From troubleAt on, for troubleFor:
    Millis troubleAt = Millis(10'000);
    Millis troubleFor = Millis(10'000);
    // share of the searchers take slowFactor as long,
    double slowShare = 0;
    double slowFactor = 8;
    // all searchers of so many shards take requests and never answer,
    std::size_t silentShards = 0;
    // and callers send so many times as much.
    double pressure = 1;
};

// What callers and searchers saw.
struct GatewayFigures
{
    std::uint64_t asked = 0;
    double owed = 0;
    double earned = 0;
    std::uint64_t inTarget = 0;
    std::uint64_t failed = 0;
    // Attempts beyond the first on a shard for a request, as a share of the requests for it.
    double extraShare = 0;
    // Shares of requests that missed a part, among those answered.
    double partial = 0;

    double worth() const { return this->owed > 0 ? this->earned / this->owed : 0; }
};

// Runs the decisions of several gateways against searchers with slots, queues, pauses and ways
// between zones. Each gateway reaches all searchers directly.
class VirtualGateways
{
public:
    explicit VirtualGateways(const GatewaySetup &setup);
    ~VirtualGateways();

    // Runs from start to end.
    GatewayFigures run();

private:
    struct Searcher;
    struct Host;
    struct Request;
    struct Job;

    double draw();
    void arrive(std::size_t route);
    void begin(std::size_t route);
    void perform(const std::shared_ptr<Request> &request, ScatterActions &actions);
    void send(const std::shared_ptr<Request> &request, const ScatterSend &attempt);
    void reach(const std::shared_ptr<Job> &job);
    void work(Searcher &searcher, const std::shared_ptr<Job> &job);
    void startNext(Searcher &searcher);
    void finish(Searcher &searcher, const std::shared_ptr<Job> &job);
    void reply(const std::shared_ptr<Job> &job, const Outcome &outcome);
    void armTimer(const std::shared_ptr<Request> &request);
    void answer(Request &request, const ScatterAnswer &answer);
    Millis afterPauses(const Searcher &searcher, Millis from, Millis work) const;
    bool inTrouble() const;

    GatewaySetup setup;
    VirtualTime time;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Searcher>> searchers;
    std::vector<std::unique_ptr<Host>> hosts;
    GatewayFigures figures;
    std::uint64_t extras = 0;
    std::uint64_t firsts = 0;
    std::uint64_t partials = 0;
    std::uint64_t answers = 0;
    std::uint64_t lastId = 0;
};

} // namespace quetzal
