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
    bool extraAttempts = true;
    // Use observed latency, load and failures of searchers to choose among them.
    bool observations = true;
    // Answer at the target latency with the parts received by then, if they reach the minimum
    // coverage.
    bool answerAtTarget = true;
    // Cancel abandoned attempts at their searchers.
    bool cancelAbandoned = true;
};

// Load and requirements of one route.
struct VirtualRoute
{
    double requestsPerSecond = 0;
    Millis serviceTime;
    Millis target;
    Millis deadline;
    double minCoverage = 1;
    // Value of a complete answer within the target latency, and of a later one.
    double value = 1;
    double lateValue = 0.1;
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
    std::size_t queueCapacity = 12;
    // One-way delay between zones.
    Millis zoneOneWayDelay = Millis(5.4);
    // Every searcher pauses for this time once in every pausePeriod.
    Millis pauseDuration = Millis(200);
    Millis pausePeriod = Millis(4500);
    std::vector<VirtualRoute> routes;
    GatewayPolicy policy;
    std::uint64_t seed = 1;
    Millis duration = Millis(30'000);
    // The faults below are active from faultStart on, for faultDuration.
    Millis faultStart = Millis(10'000);
    Millis faultDuration = Millis(10'000);
    // This share of the searchers takes slowFactor times as long.
    double slowShare = 0;
    double slowFactor = 8;
    // All searchers of this number of shards accept requests and never answer.
    std::size_t silentShards = 0;
    // Of each shard, this number of searchers limits the requests that it accepts a second from all
    // hosts together, and says so in its replies.
    std::size_t limitedSearchersPerShard = 0;
    double requestLimit = 25;
    // Factor on the request rates.
    double loadFactor = 1;
};

// How the requests to a searcher with a limit are judged.
inline constexpr Millis limitWindow = Millis(4000);
inline constexpr Millis limitNoticeTime = Millis(500);
inline constexpr double limitTolerance = 1.5;
inline constexpr double limitSlack = 5;

// Results of a run. Requests that arrive while the load builds up are not counted.
struct GatewayStatistics
{
    std::uint64_t requests = 0;
    // Sum of the values of all requests, and of what their answers reached of it.
    double maxValue = 0;
    double earnedValue = 0;
    std::uint64_t inTarget = 0;
    std::uint64_t failed = 0;
    // Hedges and retries, as a share of the first attempts for each shard.
    double extraShare = 0;
    // Share of the successful answers that lack a part.
    double partialShare = 0;

    // Most requests that a searcher with a limit got in limitWindow, relative to what may reach it:
    // limitTolerance times its limit, plus limitSlack requests. Counted are requests of hosts that
    // have known the limit for limitNoticeTime, from limitWindow after its beginning on.
    double peakLimitUse = 0;
    // Mean rate of these requests, relative to the limit.
    double meanLimitUse = 0;

    // Returns the reached share of the value of all requests.
    double valueShare() const
    {
        return this->maxValue > 0 ? this->earnedValue / this->maxValue : 0;
    }
};

// Runs the request scheduling of several gateways against searchers with slots, queues, pauses and
// network delays between zones. Every gateway connects to all searchers directly.
class VirtualGateways
{
public:
    explicit VirtualGateways(const GatewaySetup &setup);
    ~VirtualGateways();

    // Runs the whole simulation and returns its results.
    GatewayStatistics run();

private:
    struct Searcher;
    struct Host;
    struct Request;
    struct Job;

    // Returns a random number from 0 up to 1.
    double randomFraction();
    // Schedules the next arrival on a route.
    void scheduleArrival(std::size_t route);
    void startRequest(std::size_t route);
    void applyActions(const std::shared_ptr<Request> &request, ScatterActions &actions);
    void send(const std::shared_ptr<Request> &request, const ScatterSend &attempt);
    // Runs, queues or rejects a job that has arrived at its searcher.
    void onArrivedAtSearcher(const std::shared_ptr<Job> &job);
    void runJob(Searcher &searcher, const std::shared_ptr<Job> &job);
    void startNext(Searcher &searcher);
    void finishJob(Searcher &searcher, const std::shared_ptr<Job> &job);
    // Hands the end of an attempt to its request. Only the first outcome counts.
    void deliverOutcome(const std::shared_ptr<Job> &job, const Outcome &outcome);
    void armTimer(const std::shared_ptr<Request> &request);
    void recordAnswer(Request &request, const ScatterAnswer &answer);
    // Returns when work that starts at a time is done, with the pauses of the searcher in between.
    Millis completionTime(const Searcher &searcher, Millis from, Millis serviceTime) const;
    bool isFaultActive() const;
    bool isLimited(const Searcher &searcher) const;
    // Sends the hosts' reports on searchers with a limit to each other, again and again.
    void exchangeRateReports();
    // Computes how far the requests to searchers with a limit used it.
    void evaluateLimitUse();

    GatewaySetup setup;
    VirtualTime time;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Searcher>> searchers;
    std::vector<std::unique_ptr<Host>> hosts;
    GatewayStatistics statistics;
    std::uint64_t extraAttemptCount = 0;
    std::uint64_t partRequestCount = 0;
    std::uint64_t partialAnswerCount = 0;
    std::uint64_t answerCount = 0;
    std::uint64_t lastId = 0;
};

} // namespace quetzal
