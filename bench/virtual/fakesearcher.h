// A simulated searcher in virtual time.
#pragma once

#include "bench/virtual/virtualtime.h"
#include "connection/searcherqueue.h"
#include "quetzal/fault.h"
#include "version/indexversionregistry.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace quetzal {

// Record of one execution of a request on a searcher.
struct FakeRun
{
    std::uint64_t requestId = 0;
    SearcherId searcher;
    VersionId version;
    std::uint32_t shard = 0;
    bool repeatable = true;
    // Started after the deadline of the request.
    bool expired = false;
    // Started later than is allowed after the begin of a drain.
    bool afterDrain = false;
    bool finished = false;
};

// Service time model of a searcher. Service times are log-normal around the median.
struct FakeBehaviour
{
    Millis medianServiceTime = Millis(8);
    // Standard deviation of the logarithm of the service time.
    double serviceTimeSigma = 0.3;
    // This fraction of the requests takes stragglerFactor times as long.
    double stragglerFraction = 0.01;
    double stragglerFactor = 5;
    // Factor on all service times.
    double slowness = 1;
    // Requests that start within coldPeriod after the start of the searcher take coldFactor times
    // as long.
    Millis coldPeriod;
    double coldFactor = 10;
};

// A request to a simulated searcher.
struct FakeRequest
{
    std::uint64_t requestId = 0;
    // Index version to answer from; zero if the request does not depend on one.
    VersionId version;
    std::uint32_t shard = 0;
    bool repeatable = true;
    // Time after which the answer is useless.
    Millis deadline;
};

// The reply of a simulated searcher.
struct FakeReply
{
    Outcome outcome;
    std::uint64_t documents = 0;
    bool draining = false;
};

// Runs as many requests as it has slots, queues the others, and records every execution.
class FakeSearcher
{
public:
    using Reply = std::function<void(const FakeReply &)>;

    FakeSearcher(VirtualTime &time, SearcherId id, std::uint32_t slots, std::uint32_t connectionCap,
                 std::uint64_t seed);

    // Opens a connection and returns its number, or zero if the searcher is down or at its
    // connection limit.
    std::uint64_t connect();
    // Closes a connection and cancels the request on it.
    void disconnect(std::uint64_t connection);

    // Takes a request on a connection. If the connection is silent or closed, no reply ever comes.
    void submit(std::uint64_t connection, const FakeRequest &request, Reply reply);
    // Answers a status request on a connection, unless the connection is silent or closed.
    void probe(std::uint64_t connection, const std::function<void()> &reply);

    // Drops all work and closes all connections. Calls onReset for each connection that is not
    // silent.
    void stop(const std::function<void(std::uint64_t)> &onReset);
    // Starts the searcher again; it is slow for the cold period.
    void start();
    // Makes all open connections silent: they stay open, but nothing is answered on them.
    void silenceConnections();
    void setDraining(bool draining);

    bool isUp() const { return this->up; }
    bool isDraining() const { return this->draining; }
    std::uint32_t slotCount() const { return this->slots; }

    FakeBehaviour behaviour;
    // Rejects every request at once.
    bool shedAll = false;
    std::vector<Holding> holdings;
    // Every execution so far, in order of start.
    std::vector<FakeRun> runs;
    std::uint64_t refusedConnections = 0;
    // Peak number of requests running at once.
    std::size_t maxRunning = 0;

private:
    struct Connection
    {
        bool silent = false;
        bool hasWork = false;
    };

    struct Job
    {
        std::uint64_t connection = 0;
        FakeRequest request;
        Reply reply;
    };

    void startNext();
    void run(const Job &job);
    Millis serviceTime();
    const Holding *findHolding(const FakeRequest &request) const;

    VirtualTime &time;
    SearcherId id;
    std::uint32_t slots;
    std::uint32_t connectionCap;
    std::mt19937_64 random;
    std::map<std::uint64_t, Connection> connections;
    std::uint64_t lastConnection = 0;
    std::deque<Job> waiting;
    // Run numbers by the connection that the running request came on.
    std::map<std::uint64_t, std::uint64_t> running;
    std::uint64_t lastRun = 0;
    bool up = true;
    bool draining = false;
    Millis drainingSince;
    // A searcher that was never restarted is not cold.
    Millis startedAt = Millis(-1e9);
};

} // namespace quetzal
