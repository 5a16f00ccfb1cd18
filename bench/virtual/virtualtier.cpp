#include "bench/virtual/virtualtier.h"

#include "bench/virtual/virtualhost.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

// One-way delay within a zone.
static constexpr Millis intraZoneDelay = Millis(0.2);
// One-way delay between caller and host, through the load balancer.
static constexpr Millis balancerDelay = Millis(1);
// Period of a relay's status requests to its searchers.
static constexpr Millis statusPeriod = Millis(1000);
static constexpr std::uint64_t documentsPerPool = 100'000;
static constexpr double oneWayDelaysPerRoundTrip = 2;
// One-way delays that a relay deducts from the remaining time of an attempt, beside that of the
// request, so that its reply reaches the entry before the deadline.
static constexpr double replyOneWayDelays = 1;
// A query id holds the number of its entry host from this bit on.
static constexpr int queryShift = 40;

static std::string zoneName(std::uint32_t zone)
{
    return "zone-" + std::to_string(zone);
}

VirtualTier::VirtualTier(const TierSetup &setup)
    : setup(setup)
    , random(setup.seed)
{
    this->build();
}

VirtualTier::~VirtualTier() = default;

double VirtualTier::randomFraction()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

void VirtualTier::build()
{
    const std::uint32_t count = this->setup.shards * this->setup.replicas;
    for (std::uint32_t i = 0; i < count; ++i) {
        const SearcherId id = { stableHash("searcher-" + std::to_string(i)) };
        this->searcherIds.push_back(id);
        this->searchers.push_back(std::make_unique<FakeSearcher>(
                this->clock, id, this->setup.slots, this->setup.connectionCap, this->random()));
        this->searchers.back()->behaviour = this->setup.behaviour;
        this->searchersById[id] = this->searchers.back().get();
        const std::uint32_t shard = i / this->setup.replicas;
        this->zones[id] = (shard + i % this->setup.replicas) % this->setup.zones;
    }
    // Connections that a searcher of the pool for orders accepts.
    static constexpr std::uint32_t orderCap = 110;
    for (std::uint32_t i = 0; i < this->setup.orderSearchers; ++i) {
        const SearcherId id = { stableHash("order-" + std::to_string(i)) };
        this->orderIds.push_back(id);
        this->orderSearchers.push_back(std::make_unique<FakeSearcher>(
                this->clock, id, this->setup.slots, orderCap, this->random()));
        this->orderSearchers.back()->behaviour = this->setup.behaviour;
        this->searchersById[id] = this->orderSearchers.back().get();
        this->zones[id] = i % this->setup.zones;
    }
    for (std::uint32_t i = 0; i < this->setup.hosts; ++i) {
        auto host = std::make_unique<Host>();
        host->number = i;
        host->searchPool = std::make_unique<PoolState>(this->random(), this->setup.policy);
        host->orderPool = std::make_unique<PoolState>(this->random(), this->setup.policy);
        host->searchPool->versions.setMembers(this->searcherIds);
        host->orderPool->versions.setMembers(this->orderIds);
        const auto addSearchers = [&](PoolState &pool, const std::vector<SearcherId> &ids) {
            for (const SearcherId id : ids) {
                const bool near = this->zones.at(id) == this->zoneOfHost(i);
                const Millis cost
                        = near ? Millis(0) : this->setup.zoneOneWayDelay * oneWayDelaysPerRoundTrip;
                // Known for so long that its slow start is over.
                pool.chooser.setSearcher(id, this->setup.slots, cost, Millis(-1e6));
            }
        };
        addSearchers(*host->searchPool, this->searcherIds);
        addSearchers(*host->orderPool, this->orderIds);
        for (std::uint32_t other = 0; other < this->setup.hosts; ++other) {
            host->channels.push_back(std::make_unique<Channel>(hostId(i), Incarnation{ 1 },
                                                               this->setup.zoneOneWayDelay * 2));
            host->channels.back()->setPeerIncarnation({ 1 });
            host->channelTimers.push_back(Millis::never());
        }
        this->hosts.push_back(std::move(host));
    }
    for (const auto &host : this->hosts)
        this->rebuildOwnership(*host);
    this->publishVersion({ 1 }, this->setup.shards, Millis(0));
    for (const auto &host : this->hosts)
        for (std::size_t i = 0; i < this->searchers.size(); ++i)
            host->searchPool->versions.report(this->searcherIds[i], this->searchers[i]->holdings);
}

void VirtualTier::rebuildOwnership(Host &host)
{
    std::vector<OwnerCandidate> candidates;
    for (std::uint32_t i = 0; i < this->setup.hosts; ++i) {
        if (!host.unresponsiveHosts.contains(i))
            candidates.push_back({ hostId(i), stableHash(zoneName(this->zoneOfHost(i))), {} });
    }
    host.ownership = Ownership(candidates);
}

std::uint32_t VirtualTier::ownerOf(const Host &host, SearcherId searcher) const
{
    if (this->setup.mode == TierMode::Direct)
        return host.number;
    const HostId owner = host.ownership.ownerOf(searcher, zoneName(this->zones.at(searcher)));
    for (std::uint32_t i = 0; i < this->setup.hosts; ++i) {
        if (hostId(i) == owner)
            return i;
    }
    return host.number;
}

double VirtualTier::capacityPerSecond() const
{
    const FakeBehaviour &b = this->setup.behaviour;
    const double mean = b.medianServiceTime.count()
                        * std::exp(b.serviceTimeSigma * b.serviceTimeSigma / 2)
                        * (1 + b.stragglerFraction * (b.stragglerFactor - 1));
    return this->setup.replicas * this->setup.slots * 1000 / mean;
}

void VirtualTier::addLoad(Millis from, Millis span, double requestsPerSecond)
{
    const bool first = this->loads.empty();
    this->loads.push_back({ from, from + span, requestsPerSecond });
    if (first)
        this->clock.at(from, [this] { this->scheduleArrival(); });
}

void VirtualTier::scheduleArrival()
{
    const Millis now = this->clock.now();
    for (const Load &load : this->loads) {
        if (now < load.from || now >= load.end)
            continue;
        const double gap = -std::log(1 - this->randomFraction()) * 1000 / load.rate;
        this->clock.after(Millis(gap), [this] {
            this->onArrival();
            this->scheduleArrival();
        });
        return;
    }
    for (const Load &load : this->loads) {
        if (load.from > now) {
            this->clock.at(load.from, [this] { this->scheduleArrival(); });
            return;
        }
    }
}

void VirtualTier::onArrival()
{
    const auto host = static_cast<std::uint32_t>(this->random() % this->setup.hosts);
    const bool order = this->randomFraction() < this->setup.orderFraction;
    this->clock.after(balancerDelay, [this, host, order] {
        this->runOnHost(host, [this, host, order] { this->startQuery(*this->hosts[host], order); });
    });
}

void VirtualTier::runOnHost(std::uint32_t number, VirtualTime::Event event)
{
    Host &host = *this->hosts[number];
    if (this->clock.now() < host.pausedUntil) {
        host.deferredEvents.push_back(std::move(event));
        return;
    }
    event();
}

void VirtualTier::pauseHost(std::uint32_t number, Millis span)
{
    Host &host = *this->hosts[number];
    host.pausedUntil = this->clock.now() + span;
    this->clock.at(host.pausedUntil, [this, number] {
        Host &woken = *this->hosts[number];
        if (this->clock.now() < woken.pausedUntil)
            return;
        // Like the event loop, handles the pause before any event that arrived meanwhile.
        for (auto &[id, relay] : woken.relays) {
            RelayActions actions;
            relay->queue.onPaused(this->clock.now(), actions);
            this->applyRelayActions(woken, *relay, actions);
        }
        woken.runningDeferredEvents = true;
        const std::vector<VirtualTime::Event> waiting = std::move(woken.deferredEvents);
        woken.deferredEvents.clear();
        for (const VirtualTime::Event &event : waiting)
            event();
        woken.runningDeferredEvents = false;
    });
}

void VirtualTier::startQuery(Host &host, bool order)
{
    PoolState &pool = order ? *host.orderPool : *host.searchPool;
    const Millis now = this->clock.now();
    const std::uint64_t request = ++this->lastRequest;
    if (!pool.admission.admit(Priority::High, now)) {
        TierRecord record;
        record.requestId = request;
        record.isOrder = order;
        record.arrivedAt = now;
        record.outcome = { Verdict::NotRun, Fault::Overloaded, Hop::Entry };
        record.refusedAtAdmission = true;
        this->answers.push_back(record);
        return;
    }
    QueryPlan plan;
    plan.id = { std::uint64_t(host.number) << queryShift | ++host.lastQuery };
    plan.kind = order ? RouteKind::OneSearcher : RouteKind::AllShards;
    plan.repeatable = !order;
    // The load balancer takes up balancerDelay of the caller's deadline in each direction.
    plan.deadline = now + this->setup.deadline - Millis(2);
    plan.target = std::min(plan.deadline, now + this->setup.target);
    plan.minCoverage = this->setup.minCoverage;
    plan.explain = true;
    host.requests[plan.id] = request;
    auto query = std::make_unique<Query>(plan, pool);
    Query &started = *query;
    host.queries[plan.id] = std::move(query);
    QueryActions actions;
    started.start(now, actions);
    this->firstAttemptCount += actions.send.size();
    this->applyActions(host, plan.id, actions);
}

void VirtualTier::applyActions(Host &host, QueryId id, QueryActions &actions)
{
    for (const Attempt &attempt : actions.cancel)
        this->cancelAttempt(host, attempt);
    for (const Attempt &attempt : actions.send) {
        this->attemptCount += 1;
        this->hedgeCount += attempt.hedge ? 1 : 0;
        this->sendAttempt(host, attempt);
    }
    if (actions.answer) {
        this->finishQuery(host, id, *actions.answer);
        return;
    }
    this->armQuery(host, id);
}

void VirtualTier::armQuery(Host &host, QueryId id)
{
    const Millis next = host.queries.at(id)->nextTimer();
    Millis &armed = host.timers[id];
    if (armed == next && next > this->clock.now())
        return;
    armed = next;
    this->clock.at(next, [this, &host, id, next] {
        this->runOnHost(host.number, [this, &host, id, next] {
            const auto found = host.queries.find(id);
            if (found == host.queries.end() || host.timers[id] != next)
                return;
            host.timers[id] = Millis(-1);
            QueryActions actions;
            found->second->onTimer(this->clock.now(), actions);
            this->applyActions(host, id, actions);
        });
    });
}

void VirtualTier::finishQuery(Host &host, QueryId id, const Answer &answer)
{
    const Query &query = *host.queries.at(id);
    const bool order = query.queryPlan().kind == RouteKind::OneSearcher;
    PoolState &pool = order ? *host.orderPool : *host.searchPool;
    const Millis now = this->clock.now();
    const Millis took = now - query.startedAt();
    const bool late = now > query.queryPlan().target && !answer.coverage.complete();
    pool.admission.onEnd(now, took, query.sawCapacityRefusal(), late);
    TierRecord record;
    record.requestId = host.requests.at(id);
    record.isOrder = order;
    record.arrivedAt = query.startedAt() - balancerDelay;
    record.latency = took + balancerDelay * 2;
    record.outcome = answer.outcome;
    record.version = answer.version;
    record.coverage = answer.coverage;
    record.restarts = answer.restarts;
    this->answers.push_back(record);
    host.timers.erase(id);
    host.attemptOwners.erase(host.attemptOwners.lower_bound({ id, 0 }),
                             host.attemptOwners.upper_bound({ id, 0xFFFFFFFF }));
    // The query is destroyed in a later event, since this may run within one of its own calls.
    this->clock.after(Millis(0), [query = std::shared_ptr<Query>(
                                          std::move(host.queries.extract(id).mapped()))] {});
}

void VirtualTier::sendAttempt(Host &host, const Attempt &attempt)
{
    const std::uint32_t owner = this->ownerOf(host, attempt.searcher);
    host.attemptOwners[attempt.id] = owner;
    const std::uint32_t entry = host.number;
    const Millis oneWayDelay = owner == entry ? Millis(0) : host.channels[owner]->roundTrip() / 2;
    const Millis budget = attempt.budget - oneWayDelay * (1 + replyOneWayDelays);
    this->sendMessage(entry, owner, [this, owner, entry, attempt, budget] {
        this->deliverAttempt(*this->hosts[owner], entry, attempt, budget);
    });
}

void VirtualTier::cancelAttempt(Host &host, const Attempt &attempt)
{
    const auto sent = host.attemptOwners.find(attempt.id);
    if (sent == host.attemptOwners.end())
        return;
    const std::uint32_t owner = sent->second;
    const std::uint32_t entry = host.number;
    this->sendMessage(entry, owner, [this, owner, entry, attempt] {
        Host &target = *this->hosts[owner];
        Relay &relay = this->relayFor(target, attempt.searcher);
        RelayActions actions;
        relay.queue.cancel({ hostId(entry), attempt.id }, this->clock.now(), actions);
        this->applyRelayActions(target, relay, actions);
    });
}

void VirtualTier::publishVersion(VersionId version, std::uint32_t count, Millis spread)
{
    this->partitions = count;
    const std::size_t searcherTotal = this->searchers.size();
    for (std::size_t i = 0; i < searcherTotal; ++i) {
        const auto loadVersion = [this, i, version, count, searcherTotal] {
            FakeSearcher &searcher = *this->searchers[i];
            for (std::size_t replicaIndex = i;
                 replicaIndex < std::size_t(count) * this->setup.replicas;
                 replicaIndex += searcherTotal) {
                const auto shard = static_cast<std::uint32_t>(replicaIndex / this->setup.replicas);
                searcher.holdings.push_back(
                        { version, count, shard,
                          documentsPerPool / count + (shard < documentsPerPool % count) });
            }
            const std::uint64_t oldest = version.value > 1 ? version.value - 1 : 1;
            std::erase_if(searcher.holdings,
                          [oldest](const Holding &h) { return h.version.value < oldest; });
            this->reportHoldings(i, statusPeriod * this->randomFraction());
        };
        if (spread <= Millis(0))
            loadVersion();
        else
            this->clock.after(spread * this->randomFraction(), loadVersion);
    }
}

void VirtualTier::stopSearcher(std::size_t index)
{
    const SearcherId id = this->searcherIds[index];
    this->searchers[index]->stop([this, id](std::uint64_t remote) {
        for (const auto &host : this->hosts) {
            const auto relay = host->relays.find(id);
            if (relay == host->relays.end())
                continue;
            for (const auto &[number, connection] : relay->second->connections) {
                if (connection.remote != remote)
                    continue;
                Host *owner = host.get();
                Relay *ownerRelay = relay->second.get();
                const ConnectionNumber lost = number;
                this->clock.after(intraZoneDelay, [this, owner, ownerRelay, lost] {
                    this->runOnHost(owner->number, [this, owner, ownerRelay, lost] {
                        if (ownerRelay->connections.erase(lost) == 0)
                            return;
                        RelayActions actions;
                        ownerRelay->queue.onClosed(lost, true, this->clock.now(), actions);
                        this->applyRelayActions(*owner, *ownerRelay, actions);
                    });
                });
            }
        }
    });
}

void VirtualTier::startSearcher(std::size_t index)
{
    this->searchers[index]->start();
    this->reportHoldings(index, statusPeriod * this->randomFraction());
}

void VirtualTier::silenceAllConnections()
{
    for (const auto &searcher : this->searchers)
        searcher->silenceConnections();
    for (const auto &searcher : this->orderSearchers)
        searcher->silenceConnections();
}

void VirtualTier::setSearcherDraining(std::size_t index, bool draining)
{
    this->searchers[index]->setDraining(draining);
    this->reportHoldings(index, statusPeriod * this->randomFraction());
}

std::uint64_t VirtualTier::runCount() const
{
    std::uint64_t total = 0;
    for (const auto &searcher : this->searchers)
        total += searcher->runs.size();
    return total;
}

std::uint64_t VirtualTier::expiredRunCount() const
{
    std::uint64_t total = 0;
    for (const auto &searcher : this->searchers) {
        total += static_cast<std::uint64_t>(
                std::count_if(searcher->runs.begin(), searcher->runs.end(),
                              [](const FakeRun &run) { return run.expired; }));
    }
    return total;
}

std::uint64_t VirtualTier::unfinishedRunCount() const
{
    std::uint64_t total = 0;
    for (const auto &searcher : this->searchers) {
        total += static_cast<std::uint64_t>(
                std::count_if(searcher->runs.begin(), searcher->runs.end(),
                              [](const FakeRun &run) { return !run.finished; }));
    }
    return total;
}

ViolationCounts VirtualTier::violations()
{
    ViolationCounts found;
    // Executions of one request: their number, and version and shard of the finished ones.
    struct Ran
    {
        std::uint32_t runs = 0;
        std::set<std::pair<VersionId, std::uint32_t>> finished;
    };
    std::unordered_map<std::uint64_t, Ran> ran;
    const auto collect = [&](const std::vector<std::unique_ptr<FakeSearcher>> &fakes) {
        for (const auto &searcher : fakes) {
            for (const FakeRun &run : searcher->runs) {
                Ran &entry = ran[run.requestId];
                entry.runs += 1;
                if (run.finished)
                    entry.finished.insert({ run.version, run.shard });
                found.afterDrain += run.afterDrain ? 1 : 0;
            }
            found.overCap += searcher->refusedConnections;
            if (this->setup.mode == TierMode::Relays
                && searcher->maxRunning > searcher->slotCount())
                found.overCap += 1;
        }
    };
    collect(this->searchers);
    collect(this->orderSearchers);
    for (const TierRecord &record : this->answers) {
        const auto runs = ran.find(record.requestId);
        const bool any = runs != ran.end();
        if (record.outcome.verdict == Verdict::NotRun && any)
            found.falseNotRun += 1;
        if (record.isOrder) {
            found.ranTwice += any && runs->second.runs > 1 ? 1 : 0;
            continue;
        }
        if (record.outcome.verdict != Verdict::Ran || !any)
            continue;
        // Each shard counted as answered needs a finished execution with the stated version.
        std::uint32_t finished = 0;
        for (const auto &[version, shard] : runs->second.finished)
            finished += version == record.version ? 1 : 0;
        found.mixedVersion += finished < record.coverage.shardsAnswered ? 1 : 0;
        const bool known = record.coverage.documentsTotal.has_value();
        const bool wrongTotal = known && *record.coverage.documentsTotal != documentsPerPool;
        const bool wrongCount = record.coverage.shardsAnswered + record.coverage.missing.size()
                                != record.coverage.shardsTotal;
        found.wrongCoverage += wrongTotal || wrongCount ? 1 : 0;
    }
    return found;
}

} // namespace quetzal
