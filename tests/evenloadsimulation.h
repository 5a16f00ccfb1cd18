// Simulation, in virtual time, of hosts that choose among the searchers of one pool.
#pragma once

#include "connection/httpcodec.h"
#include "request/shardpool.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace quetzal {

// The part of a host that chooses a searcher; searchers are named by their index in the pool.
class ChoiceRule
{
public:
    virtual ~ChoiceRule() = default;

    virtual std::size_t choose(Millis typicalLatency, Millis now) = 0;
    virtual void onSent(std::size_t searcher, const AttemptId &attempt, Millis typicalLatency,
                        Millis now)
            = 0;
    virtual void onLoad(std::size_t searcher, const LoadReport &report, Millis now) = 0;
    virtual void onEnd(std::size_t searcher, const AttemptId &attempt, Millis now) = 0;
};

struct SimulatedSearcher
{
    std::uint32_t slots = 2;
    // Usual service time relative to the pool's mean.
    double speed = 1;
};

// One pool, its load and its troubles.
struct PoolScenario
{
    std::string name;
    std::size_t hosts = 6;
    std::vector<SimulatedSearcher> searchers;
    Millis meanService = Millis(160);
    // Share of all slots that the requests occupy on average.
    double utilisation = 0.7;
    // The speed of each machine changes several times a second, and the reports state it.
    bool changesSpeed = false;
    // Every searcher stands still for 200 ms in each 4.5 s.
    bool pauses = false;
    // The first searcher is five times slower than usual between seconds 20 and 25.
    bool hasSlowSearcher = false;
    bool isCalm() const { return !this->pauses && !this->hasSlowSearcher; }
};

struct PoolMeasurement
{
    // Mean over the seconds of the greatest less the smallest queue (running and waiting).
    double swing = 0;
    double meanLatencyMs = 0;
    double p99LatencyMs = 0;
};

// Creates the rule of a host. far[i]: searcher i is in another zone than the host.
using RuleFactory = std::function<std::unique_ptr<ChoiceRule>(
        const PoolScenario &scenario, const std::vector<bool> &far, std::uint64_t seed)>;

// Plays one scenario. Requests arrive as a Poisson process and reach a random host; a reply carries
// the searcher's load at the time when it is sent. A host has at most two connections to each
// searcher. Arrivals, hosts, amounts of work and speeds are the same for every rule.
class PoolSimulation
{
public:
    static constexpr Millis oneWayDelay = Millis(4);

    PoolSimulation(const PoolScenario &scenario, const RuleFactory &makeRule, std::uint64_t seed);

    PoolMeasurement run();

private:
    static constexpr Millis warmUp = Millis(5000);
    static constexpr Millis duration = Millis(60000);
    static constexpr Millis sampleInterval = Millis(100);
    static constexpr std::size_t zones = 3;
    static constexpr std::size_t maxConnections = 2;

    struct Job
    {
        std::size_t host = 0;
        std::size_t searcher = 0;
        AttemptId id;
        Millis arrivedAt;
        Millis work;
    };
    struct Searcher
    {
        SimulatedSearcher setup;
        std::size_t zone = 0;
        std::uint32_t running = 0;
        std::deque<Job> waiting;
        double factor = 1;
        Millis pausePhase;
    };
    struct Link
    {
        std::size_t open = 0;
        std::deque<Job> waiting;
    };
    struct Host
    {
        std::size_t zone = 0;
        std::unique_ptr<ChoiceRule> rule;
        RouteLatency latency;
        std::vector<Link> links;
    };
    struct Event
    {
        Millis at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return this->at > other.at || (this->at == other.at && this->order > other.order);
        }
    };

    void at(Millis time, std::function<void()> action);
    void arrive();
    void dispatch(const Job &job);
    void receive(const Job &job);
    void start(const Job &job);
    void finish(const Job &job);
    void changeSpeeds();
    void sample();
    Millis delay(const Job &job) const;
    Millis finishTime(const Searcher &searcher, Millis work) const;

    PoolScenario scenario;
    std::vector<Searcher> searchers;
    std::vector<Host> hosts;
    // Separate generators, so that a rule's choices do not change the arrivals or the speeds.
    std::mt19937_64 arrivals;
    std::mt19937_64 speeds;
    double arrivalsPerMs = 0;
    Millis now;
    std::uint64_t events = 0;
    std::uint32_t attempts = 0;
    std::priority_queue<Event> queue;
    std::vector<double> latencies;
    double swingSum = 0;
    std::size_t samples = 0;
};

} // namespace quetzal
