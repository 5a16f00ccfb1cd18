// Simulation of gateways, their searchers and callers in virtual time.
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

// Mechanisms of the gateways. Each can be switched off to measure its effect.
struct GatewayPolicy
{
    // Send hedges and retries, within the retry budget.
    bool extras = true;
    // Use observed latency, load and failures of searchers to choose among them.
    bool observations = true;
    // Answer at the target latency with the parts received by then, if they reach the minimum
    // coverage.
    bool answersAtTarget = true;
    // Cancel abandoned attempts at their searchers.
    bool cancelling = true;
};

// Load and requirements of one route.
struct VirtualRoute
{
    double perSecond = 0;
    Millis work;
    Millis target;
    Millis deadline;
    double minCoverage = 1;
    // Value of a complete answer within the target latency, and of a later one.
    double worth = 1;
    double lateWorth = 0.1;
};

// Parameters and faults of a simulated installation.
struct GatewaySetup
{
    std::size_t hosts = 7;
    std::size_t zones = 4;
    std::size_t shards = 20;
    std::size_t searchersPerShard = 2;
    std::uint32_t slots = 2;
    // Requests that wait at a searcher at most; further ones are rejected.
    std::size_t queue = 12;
    // One-way delay between zones.
    Millis zoneDistance = Millis(5.4);
    // Every searcher pauses for this time once in every pausePeriod.
    Millis pause = Millis(200);
    Millis pausePeriod = Millis(4500);
    std::vector<VirtualRoute> routes;
    GatewayPolicy policy;
    std::uint64_t seed = 1;
    Millis length = Millis(30'000);
    // The faults below are active from troubleAt on, for troubleFor.
    Millis troubleAt = Millis(10'000);
    Millis troubleFor = Millis(10'000);
    // This share of the searchers takes slowFactor times as long.
    double slowShare = 0;
    double slowFactor = 8;
    // All searchers of this number of shards accept requests and never answer.
    std::size_t silentShards = 0;
    // Factor on the request rates.
    double pressure = 1;
};

// Results of a run. Requests that arrive while the load builds up are not counted.
struct GatewayFigures
{
    std::uint64_t asked = 0;
    // Sum of the values of all requests, and of what their answers reached of it.
    double owed = 0;
    double earned = 0;
    std::uint64_t inTarget = 0;
    std::uint64_t failed = 0;
    // Hedges and retries, as a share of the first attempts for each shard.
    double extraShare = 0;
    // Share of the successful answers that lack a part.
    double partial = 0;

    // Returns the reached share of the value of all requests.
    double worth() const { return this->owed > 0 ? this->earned / this->owed : 0; }
};

// Runs the request scheduling of several gateways against searchers with slots, queues, pauses and
// network delays between zones. Every gateway connects to all searchers directly.
class VirtualGateways
{
public:
    explicit VirtualGateways(const GatewaySetup &setup);
    ~VirtualGateways();

    // Runs the whole simulation and returns its results.
    GatewayFigures run();

private:
    struct Searcher;
    struct Host;
    struct Request;
    struct Job;

    // Returns a random number from 0 up to 1.
    double draw();
    // Schedules the next arrival on a route.
    void arrive(std::size_t route);
    void begin(std::size_t route);
    void perform(const std::shared_ptr<Request> &request, ScatterActions &actions);
    void send(const std::shared_ptr<Request> &request, const ScatterSend &attempt);
    // Runs, queues or rejects a job that has arrived at its searcher.
    void reach(const std::shared_ptr<Job> &job);
    void work(Searcher &searcher, const std::shared_ptr<Job> &job);
    void startNext(Searcher &searcher);
    void finish(Searcher &searcher, const std::shared_ptr<Job> &job);
    // Hands the end of an attempt to its request. Only the first outcome counts.
    void reply(const std::shared_ptr<Job> &job, const Outcome &outcome);
    void armTimer(const std::shared_ptr<Request> &request);
    void answer(Request &request, const ScatterAnswer &answer);
    // Returns when work that starts at a time is done, with the pauses of the searcher in between.
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
