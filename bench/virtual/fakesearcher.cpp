#include "bench/virtual/fakesearcher.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

// Work that starts later than this after the begin of a drain counts as a violation.
static constexpr Millis drainGracePeriod = Millis(5000);

FakeSearcher::FakeSearcher(VirtualTime &time, SearcherId id, std::uint32_t slots,
                           std::uint32_t connectionCap, std::uint64_t seed)
    : time(time)
    , id(id)
    , slots(slots)
    , connectionCap(connectionCap)
    , random(seed)
{}

std::uint64_t FakeSearcher::connect()
{
    if (!this->up)
        return 0;
    if (this->connections.size() >= this->connectionCap) {
        this->refusedConnections += 1;
        return 0;
    }
    this->connections[++this->lastConnection] = {};
    return this->lastConnection;
}

void FakeSearcher::disconnect(std::uint64_t connection)
{
    if (this->connections.erase(connection) == 0)
        return;
    // Closing a connection cancels the request on it.
    std::erase_if(this->waiting,
                  [connection](const Job &job) { return job.connection == connection; });
    if (this->running.erase(connection) > 0)
        this->startNext();
}

void FakeSearcher::silenceConnections()
{
    for (auto &[number, connection] : this->connections)
        connection.silent = true;
}

void FakeSearcher::stop(const std::function<void(std::uint64_t)> &onReset)
{
    this->up = false;
    std::vector<std::uint64_t> open;
    for (const auto &[number, connection] : this->connections) {
        if (!connection.silent)
            open.push_back(number);
    }
    this->connections.clear();
    this->waiting.clear();
    this->running.clear();
    for (const std::uint64_t number : open)
        onReset(number);
}

void FakeSearcher::start()
{
    this->up = true;
    this->startedAt = this->time.now();
}

void FakeSearcher::setDraining(bool nowDraining)
{
    if (nowDraining && !this->draining)
        this->drainingSince = this->time.now();
    this->draining = nowDraining;
}

const Holding *FakeSearcher::findHolding(const FakeRequest &request) const
{
    for (const Holding &holding : this->holdings) {
        if (holding.version == request.version && holding.shard == request.shard)
            return &holding;
    }
    return nullptr;
}

void FakeSearcher::probe(std::uint64_t connection, const std::function<void()> &reply)
{
    const auto found = this->connections.find(connection);
    if (found != this->connections.end() && !found->second.silent)
        reply();
}

void FakeSearcher::submit(std::uint64_t connection, const FakeRequest &request, Reply reply)
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end() || found->second.silent)
        return;
    if (this->shedAll) {
        reply({ { Verdict::NotRun, Fault::Shed, Hop::Searcher }, 0, this->draining });
        return;
    }
    if (request.version.value != 0 && this->findHolding(request) == nullptr) {
        reply({ { Verdict::NotRun, Fault::VersionMissing, Hop::Searcher }, 0, this->draining });
        return;
    }
    const Job job = { connection, request, std::move(reply) };
    if (this->running.size() < this->slots)
        this->run(job);
    else
        this->waiting.push_back(job);
}

void FakeSearcher::startNext()
{
    if (this->waiting.empty() || this->running.size() >= this->slots)
        return;
    const Job job = this->waiting.front();
    this->waiting.pop_front();
    this->run(job);
}

Millis FakeSearcher::serviceTime()
{
    std::normal_distribution<double> normal(0, this->behaviour.serviceTimeSigma);
    std::uniform_real_distribution<double> uniform(0, 1);
    Millis span = this->behaviour.medianServiceTime * std::exp(normal(this->random));
    if (uniform(this->random) < this->behaviour.stragglerFraction)
        span = span * this->behaviour.stragglerFactor;
    if (this->time.now() - this->startedAt < this->behaviour.coldPeriod)
        span = span * this->behaviour.coldFactor;
    return span * this->behaviour.slowness;
}

void FakeSearcher::run(const Job &job)
{
    const Millis now = this->time.now();
    FakeRun record;
    record.requestId = job.request.requestId;
    record.searcher = this->id;
    record.version = job.request.version;
    record.shard = job.request.shard;
    record.repeatable = job.request.repeatable;
    record.expired = now > job.request.deadline;
    record.afterDrain = this->draining && now - this->drainingSince > drainGracePeriod;
    this->runs.push_back(record);
    const Holding *holding = this->findHolding(job.request);
    const std::uint64_t documents = holding != nullptr ? holding->documents : 0;
    const std::size_t index = this->runs.size() - 1;
    const std::uint64_t number = ++this->lastRun;
    this->running[job.connection] = number;
    this->maxRunning = std::max(this->maxRunning, this->running.size());
    this->time.after(this->serviceTime(), [this, job, index, number, documents] {
        const auto found = this->running.find(job.connection);
        if (found == this->running.end() || found->second != number)
            return;
        this->running.erase(found);
        this->runs[index].finished = true;
        FakeReply reply;
        reply.outcome = { Verdict::Ran, {}, Hop::Searcher };
        reply.documents = documents;
        reply.draining = this->draining;
        const auto connection = this->connections.find(job.connection);
        const bool reachable = connection != this->connections.end() && !connection->second.silent;
        if (reachable)
            job.reply(reply);
        this->startNext();
    });
}

} // namespace quetzal
