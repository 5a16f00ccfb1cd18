// A searcher in virtual time.
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

// Times of one run on a searcher.
struct FakeRun
{
    std::uint64_t request = 0;
    SearcherId searcher;
    VersionId version;
    std::uint32_t shard = 0;
    bool repeatable = true;
    bool expired = false;
    bool afterDrain = false;
    bool finished = false;
};

// How a searcher behaves.
struct FakeBehaviour
{
    Millis service = Millis(8);
    double spread = 0.3;
    double stragglerFraction = 0.01;
    double stragglerFactor = 5;
    double slowness = 1;
    Millis coldTime;
    double coldFactor = 10;
};

// What a searcher is sent.
struct FakeRequest
{
    std::uint64_t request = 0;
    VersionId version;
    std::uint32_t shard = 0;
    bool repeatable = true;
    // Point at which the answer is of no more use.
    Millis deadline;
};

// What a searcher answers.
struct FakeReply
{
    Outcome outcome;
    std::uint64_t documents = 0;
    bool draining = false;
};

// Runs requests in its slots, lets others wait, and keeps the ledger.
class FakeSearcher
{
public:
    using Reply = std::function<void(const FakeReply &)>;

    FakeSearcher(VirtualTime &time, SearcherId id, std::uint32_t slots, std::uint32_t connectionCap,
                 std::uint64_t seed);

    // Takes a connection. Returns zero if it is down or its connections are used up.
    std::uint64_t connect();
    void disconnect(std::uint64_t connection);

    // Takes a request on a connection. No reply ever comes if the connection is silent or lost.
    void submit(std::uint64_t connection, const FakeRequest &request, Reply reply);
    // Answers a status call on a connection.
    void probe(std::uint64_t connection, const std::function<void()> &reply);

    void stop(const std::function<void(std::uint64_t)> &onReset);
    void start();
    void silence();
    void setDraining(bool draining);

    bool isUp() const { return this->up; }
    bool isDraining() const { return this->draining; }
    std::uint32_t slotCount() const { return this->slots; }

    FakeBehaviour behaviour;
    bool shedAll = false;
    std::vector<Holding> holdings;
    std::vector<FakeRun> ledger;
    std::uint64_t refusedConnections = 0;
    std::size_t mostRunning = 0;

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
    const Holding *find(const FakeRequest &request) const;

    VirtualTime &time;
    SearcherId id;
    std::uint32_t slots;
    std::uint32_t connectionCap;
    std::mt19937_64 random;
    std::map<std::uint64_t, Connection> connections;
    std::uint64_t lastConnection = 0;
    std::deque<Job> waiting;
    // Connections whose request runs, with the number of the run.
    std::map<std::uint64_t, std::uint64_t> running;
    std::uint64_t lastRun = 0;
    bool up = true;
    bool draining = false;
    Millis drainingSince;
    Millis startedAt = Millis(-1e9);
};

} // namespace quetzal
