#include "bench/virtual/virtualtier.h"

#include "bench/virtual/virtualhost.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

static constexpr Millis nearDelay = Millis(0.2);
static constexpr Millis balancerDelay = Millis(1);
static constexpr Millis statusPeriod = Millis(1000);
static constexpr std::uint64_t documentsPerPool = 100'000;
static constexpr double zoneCostWays = 2;
// The relay's queue expires work this long before the entry's deadline, for the way back.
static constexpr double budgetWays = 1;
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

double VirtualTier::draw()
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
        this->fakes[id] = this->searchers.back().get();
        const std::uint32_t shard = i / this->setup.replicas;
        this->zones[id] = (shard + i % this->setup.replicas) % this->setup.zones;
    }
    static constexpr std::uint32_t orderCap = 110;
    for (std::uint32_t i = 0; i < this->setup.orderSearchers; ++i) {
        const SearcherId id = { stableHash("order-" + std::to_string(i)) };
        this->orderIds.push_back(id);
        this->orderFakes.push_back(std::make_unique<FakeSearcher>(
                this->clock, id, this->setup.slots, orderCap, this->random()));
        this->orderFakes.back()->behaviour = this->setup.behaviour;
        this->fakes[id] = this->orderFakes.back().get();
        this->zones[id] = i % this->setup.zones;
    }
    for (std::uint32_t i = 0; i < this->setup.hosts; ++i) {
        auto host = std::make_unique<Host>();
        host->number = i;
        host->search = std::make_unique<PoolState>(this->random(), this->setup.policy);
        host->orders = std::make_unique<PoolState>(this->random(), this->setup.policy);
        host->search->versions.setMembers(this->searcherIds);
        host->orders->versions.setMembers(this->orderIds);
        const auto know = [&](PoolState &pool, const std::vector<SearcherId> &ids) {
            for (const SearcherId id : ids) {
                const bool near = this->zones.at(id) == this->zoneOfHost(i);
                const Millis cost = near ? Millis(0) : this->setup.zoneDelay * zoneCostWays;
                pool.chooser.setSearcher(id, this->setup.slots, cost, Millis(-1e6));
            }
        };
        know(*host->search, this->searcherIds);
        know(*host->orders, this->orderIds);
        for (std::uint32_t other = 0; other < this->setup.hosts; ++other) {
            host->channels.push_back(std::make_unique<Channel>(hostId(i), Incarnation{ 1 },
                                                               this->setup.zoneDelay * 2));
            host->channels.back()->setPeerIncarnation({ 1 });
            host->channelTimers.push_back(Millis::never());
        }
        this->hosts.push_back(std::move(host));
    }
    for (const auto &host : this->hosts)
        this->rebuildOwnership(*host);
    this->changeVersion({ 1 }, this->setup.shards, Millis(0));
    for (const auto &host : this->hosts)
        for (std::size_t i = 0; i < this->searchers.size(); ++i)
            host->search->versions.report(this->searcherIds[i], this->searchers[i]->holdings);
}

void VirtualTier::rebuildOwnership(Host &host)
{
    std::vector<OwnerCandidate> candidates;
    for (std::uint32_t i = 0; i < this->setup.hosts; ++i) {
        if (!host.unresponsive.contains(i))
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
    const double mean = b.service.count() * std::exp(b.spread * b.spread / 2)
                        * (1 + b.stragglerFraction * (b.stragglerFactor - 1));
    return this->setup.replicas * this->setup.slots * 1000 / mean;
}

void VirtualTier::load(Millis from, Millis span, double requestsPerSecond)
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
        const double gap = -std::log(1 - this->draw()) * 1000 / load.rate;
        this->clock.after(Millis(gap), [this] {
            this->arrive();
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

void VirtualTier::arrive()
{
    const auto host = static_cast<std::uint32_t>(this->random() % this->setup.hosts);
    const bool order = this->draw() < this->setup.orderFraction;
    this->clock.after(balancerDelay, [this, host, order] {
        this->onHost(host, [this, host, order] { this->begin(*this->hosts[host], order); });
    });
}

void VirtualTier::onHost(std::uint32_t number, VirtualTime::Event event)
{
    Host &host = *this->hosts[number];
    if (this->clock.now() < host.pausedUntil) {
        host.waiting.push_back(std::move(event));
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
        // As the event loop does: the pause is noticed before what waited is read.
        for (auto &[id, relay] : woken.relays) {
            RelayActions actions;
            relay->queue.onPaused(this->clock.now(), actions);
            this->runRelay(woken, *relay, actions);
        }
        woken.stale = true;
        const std::vector<VirtualTime::Event> waiting = std::move(woken.waiting);
        woken.waiting.clear();
        for (const VirtualTime::Event &event : waiting)
            event();
        woken.stale = false;
    });
}

void VirtualTier::begin(Host &host, bool order)
{
    PoolState &pool = order ? *host.orders : *host.search;
    const Millis now = this->clock.now();
    const std::uint64_t request = ++this->lastRequest;
    if (!pool.admission.admit(Priority::High, now)) {
        TierRecord record;
        record.request = request;
        record.order = order;
        record.arrivedAt = now;
        record.outcome = { Verdict::NotRun, Fault::Overloaded, Hop::Entry };
        record.refusedAtDoor = true;
        this->answers.push_back(record);
        return;
    }
    QueryPlan plan;
    plan.id = { std::uint64_t(host.number) << queryShift | ++host.lastQuery };
    plan.kind = order ? RouteKind::OneSearcher : RouteKind::AllShards;
    plan.repeatable = !order;
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
    this->firsts += actions.send.size();
    this->perform(host, plan.id, actions);
}

void VirtualTier::perform(Host &host, QueryId id, QueryActions &actions)
{
    for (const Attempt &attempt : actions.cancel)
        this->cancelAttempt(host, attempt);
    for (const Attempt &attempt : actions.send) {
        this->attempts += 1;
        this->hedgeCount += attempt.hedge ? 1 : 0;
        this->sendAttempt(host, attempt);
    }
    if (actions.answer) {
        this->finish(host, id, *actions.answer);
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
        this->onHost(host.number, [this, &host, id, next] {
            const auto found = host.queries.find(id);
            if (found == host.queries.end() || host.timers[id] != next)
                return;
            host.timers[id] = Millis(-1);
            QueryActions actions;
            found->second->onTimer(this->clock.now(), actions);
            this->perform(host, id, actions);
        });
    });
}

void VirtualTier::finish(Host &host, QueryId id, const Answer &answer)
{
    const Query &query = *host.queries.at(id);
    const bool order = query.queryPlan().kind == RouteKind::OneSearcher;
    PoolState &pool = order ? *host.orders : *host.search;
    const Millis now = this->clock.now();
    const Millis took = now - query.startedAt();
    const bool late = now > query.queryPlan().target && !answer.coverage.complete();
    pool.admission.onEnd(now, took, query.sawCapacityRefusal(), late);
    TierRecord record;
    record.request = host.requests.at(id);
    record.order = order;
    record.arrivedAt = query.startedAt() - balancerDelay;
    record.latency = took + balancerDelay * 2;
    record.outcome = answer.outcome;
    record.version = answer.version;
    record.coverage = answer.coverage;
    record.restarts = answer.restarts;
    this->answers.push_back(record);
    host.timers.erase(id);
    host.owners.erase(host.owners.lower_bound({ id, 0 }),
                      host.owners.upper_bound({ id, 0xFFFFFFFF }));
    // The query is let go once its own call has returned.
    this->clock.after(Millis(0), [query = std::shared_ptr<Query>(
                                          std::move(host.queries.extract(id).mapped()))] {});
}

void VirtualTier::sendAttempt(Host &host, const Attempt &attempt)
{
    const std::uint32_t owner = this->ownerOf(host, attempt.searcher);
    host.owners[attempt.id] = owner;
    const std::uint32_t entry = host.number;
    const Millis way = owner == entry ? Millis(0) : host.channels[owner]->roundTrip() / 2;
    const Millis budget = attempt.budget - way * (1 + budgetWays);
    this->message(entry, owner, [this, owner, entry, attempt, budget] {
        this->deliverAttempt(*this->hosts[owner], entry, attempt, budget);
    });
}

void VirtualTier::cancelAttempt(Host &host, const Attempt &attempt)
{
    const auto sent = host.owners.find(attempt.id);
    if (sent == host.owners.end())
        return;
    const std::uint32_t owner = sent->second;
    const std::uint32_t entry = host.number;
    this->message(entry, owner, [this, owner, entry, attempt] {
        Host &target = *this->hosts[owner];
        Relay &relay = this->relay(target, attempt.searcher);
        RelayActions actions;
        relay.queue.cancel({ hostId(entry), attempt.id }, this->clock.now(), actions);
        this->runRelay(target, relay, actions);
    });
}

void VirtualTier::changeVersion(VersionId version, std::uint32_t count, Millis spread)
{
    this->partitions = count;
    const std::size_t searcherTotal = this->searchers.size();
    for (std::size_t i = 0; i < searcherTotal; ++i) {
        const auto take = [this, i, version, count, searcherTotal] {
            FakeSearcher &searcher = *this->searchers[i];
            for (std::size_t slot = i; slot < std::size_t(count) * this->setup.replicas;
                 slot += searcherTotal) {
                const auto shard = static_cast<std::uint32_t>(slot / this->setup.replicas);
                searcher.holdings.push_back(
                        { version, count, shard,
                          documentsPerPool / count + (shard < documentsPerPool % count) });
            }
            const std::uint64_t oldest = version.value > 1 ? version.value - 1 : 1;
            std::erase_if(searcher.holdings,
                          [oldest](const Holding &h) { return h.version.value < oldest; });
            this->reportHoldings(i, statusPeriod * this->draw());
        };
        if (spread <= Millis(0))
            take();
        else
            this->clock.after(spread * this->draw(), take);
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
                Relay *side = relay->second.get();
                const ConnectionNumber lost = number;
                this->clock.after(nearDelay, [this, owner, side, lost] {
                    this->onHost(owner->number, [this, owner, side, lost] {
                        if (side->connections.erase(lost) == 0)
                            return;
                        RelayActions actions;
                        side->queue.onClosed(lost, true, this->clock.now(), actions);
                        this->runRelay(*owner, *side, actions);
                    });
                });
            }
        }
    });
}

void VirtualTier::startSearcher(std::size_t index)
{
    this->searchers[index]->start();
    this->reportHoldings(index, statusPeriod * this->draw());
}

void VirtualTier::silenceAll()
{
    for (const auto &searcher : this->searchers)
        searcher->silence();
    for (const auto &searcher : this->orderFakes)
        searcher->silence();
}

void VirtualTier::drainSearcher(std::size_t index, bool draining)
{
    this->searchers[index]->setDraining(draining);
    this->reportHoldings(index, statusPeriod * this->draw());
}

std::uint64_t VirtualTier::runs() const
{
    std::uint64_t total = 0;
    for (const auto &searcher : this->searchers)
        total += searcher->ledger.size();
    return total;
}

std::uint64_t VirtualTier::expiredRuns() const
{
    std::uint64_t total = 0;
    for (const auto &searcher : this->searchers) {
        total += static_cast<std::uint64_t>(
                std::count_if(searcher->ledger.begin(), searcher->ledger.end(),
                              [](const FakeRun &run) { return run.expired; }));
    }
    return total;
}

std::uint64_t VirtualTier::unfinishedRuns() const
{
    std::uint64_t total = 0;
    for (const auto &searcher : this->searchers) {
        total += static_cast<std::uint64_t>(
                std::count_if(searcher->ledger.begin(), searcher->ledger.end(),
                              [](const FakeRun &run) { return !run.finished; }));
    }
    return total;
}

ViolationCounts VirtualTier::violations()
{
    ViolationCounts found;
    // Runs by request: versions, and number of runs.
    struct Ran
    {
        std::uint32_t runs = 0;
        std::set<std::pair<VersionId, std::uint32_t>> finished;
    };
    std::unordered_map<std::uint64_t, Ran> ran;
    const auto collect = [&](const std::vector<std::unique_ptr<FakeSearcher>> &fakes) {
        for (const auto &searcher : fakes) {
            for (const FakeRun &run : searcher->ledger) {
                Ran &entry = ran[run.request];
                entry.runs += 1;
                if (run.finished)
                    entry.finished.insert({ run.version, run.shard });
                found.afterDrain += run.afterDrain ? 1 : 0;
            }
            found.overCap += searcher->refusedConnections;
            if (this->setup.mode == TierMode::Relays
                && searcher->mostRunning > searcher->slotCount())
                found.overCap += 1;
        }
    };
    collect(this->searchers);
    collect(this->orderFakes);
    for (const TierRecord &record : this->answers) {
        const auto runs = ran.find(record.request);
        const bool any = runs != ran.end();
        if (record.outcome.verdict == Verdict::NotRun && any)
            found.falseNotRun += 1;
        if (record.order) {
            found.ranTwice += any && runs->second.runs > 1 ? 1 : 0;
            continue;
        }
        if (record.outcome.verdict != Verdict::Ran || !any)
            continue;
        // Every shard said to be answered was finished at the stated version by a searcher.
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
