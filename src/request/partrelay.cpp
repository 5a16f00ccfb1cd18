#include "request/partrelay.h"

#include "process/eventlog.h"
#include "quetzal/fault.h"
#include "quetzal/steadyclock.h"
#include "request/recordmerge.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>
#include <tuple>

namespace quetzal {

// Minimum number of parts to relay: fewer are cheaper to gather from searchers in another zone.
static constexpr std::size_t minRelayedParts = 2;
// Maximum number of parts that a host gathers itself before it uses relays in its own zone.
static constexpr std::size_t maxLocalParts = 32;
// Maximum number of parts in one message, so that the message and its answer fit in a datagram.
static constexpr std::size_t maxPartsPerMessage = 23;
// Number of hosts that are told about a searcher, besides those that have reported on it.
static constexpr std::size_t maxReportReceivers = 24;
// A running, reachable host acknowledges a message within this time, or within this many round
// trips if that is longer.
static constexpr Millis minAcknowledgeTimeout = Millis(40);
static constexpr double acknowledgeRoundTrips = 3;
// Time reserved for a relay's work until it was observed, and the longest time reserved for it.
static constexpr Millis initialProcessingReserve = Millis(3);
static constexpr Millis maxProcessingReserve = Millis(15);

PartRelay::PartRelay(EventLoop &loop, const ServingView &view, ScatterExecutor &scatterExecutor,
                     RelayPeer self, std::uint64_t seed)
    : loop(loop)
    , view(view)
    , scatterExecutor(scatterExecutor)
    , self(std::move(self))
    , planner(seed)
    , processingReserve(initialProcessingReserve, maxProcessingReserve)
{
    this->scatterExecutor.setRateReporter(
            [this](const TrackedSearcher &searcher, const RateReport &report) {
                this->sendRateReport(searcher, report);
            });
    this->scatterExecutor.setLeavingReporter(
            [this](const TrackedSearcher &searcher) { this->sendLeavingReport(searcher); });
}

RouteLatency &PartRelay::routeLatency(const std::string &route)
{
    std::unique_ptr<RouteLatency> &latency = this->routeLatencies[route];
    if (!latency)
        latency = std::make_unique<RouteLatency>();
    return *latency;
}

const std::set<std::string> &PartRelay::zonesOf(const std::string &pool)
{
    const auto known = this->zonesOfPool.find(pool);
    if (known != this->zonesOfPool.end())
        return known->second;
    std::set<std::string> &zones = this->zonesOfPool[pool];
    for (const auto &searcher : this->scatterExecutor.pool(pool)->searchers()) {
        if (searcher->registration().state == SearcherState::Ready && !searcher->isEvacuated())
            zones.insert(searcher->registration().zone);
    }
    return zones;
}

GatherPlan PartRelay::planGather(const Route &route, Millis now)
{
    GatherPlan plan;
    std::map<std::string, std::vector<std::uint32_t>> byZone;
    std::set<std::uint32_t> remote;
    for (std::uint32_t shard = 0; shard < route.shardPools.size(); ++shard) {
        const std::set<std::string> &zones = this->zonesOf(route.shardPools[shard]);
        if (!this->send || !route.repeatable || zones.empty() || zones.contains(this->self.zone)) {
            plan.localShards.push_back(shard);
            continue;
        }
        remote.insert(shard);
        for (const std::string &name : zones)
            byZone[name].push_back(shard);
    }
    // Assigns remote parts zone by zone, the zone with the most parts first. Parts that no relay
    // takes are gathered locally.
    while (!remote.empty() && !byZone.empty()) {
        const std::string zone = this->zoneWithMostParts(byZone);
        const std::vector<std::uint32_t> shards = byZone[zone];
        if (shards.size() < minRelayedParts)
            break;
        byZone.erase(zone);
        const std::vector<std::uint32_t> unassigned
                = this->assignToZone(route, shards, zone, now, plan);
        for (const std::uint32_t shard : shards)
            remote.erase(shard);
        remote.insert(unassigned.begin(), unassigned.end());
        for (auto &[name, remaining] : byZone)
            std::erase_if(remaining, [&](std::uint32_t shard) { return !remote.contains(shard); });
    }
    plan.localShards.insert(plan.localShards.end(), remote.begin(), remote.end());
    this->offloadWithinZone(route, plan, now);
    return plan;
}

std::string
PartRelay::zoneWithMostParts(const std::map<std::string, std::vector<std::uint32_t>> &byZone) const
{
    const auto rank = [this](const auto &item) {
        return std::pair(item.second.size(), stableHash(item.first, this->self.id.value));
    };
    return std::max_element(byZone.begin(), byZone.end(),
                            [&](const auto &a, const auto &b) { return rank(a) < rank(b); })
            ->first;
}

std::vector<std::uint32_t> PartRelay::assignToZone(const Route &route,
                                                   const std::vector<std::uint32_t> &parts,
                                                   const std::string &zone, Millis now,
                                                   GatherPlan &plan)
{
    const bool isLocalZone = zone == this->self.zone;
    const std::optional<RelayPeer> localPeer
            = isLocalZone ? std::optional(this->self) : std::nullopt;
    const std::size_t groups = (parts.size() + maxPartsPerMessage - 1) / maxPartsPerMessage;
    std::vector<std::uint32_t> unassigned;
    for (std::size_t group = 0; group < groups; ++group) {
        const auto groupStart = [&](std::size_t index) {
            return parts.begin() + static_cast<std::ptrdiff_t>(parts.size() * index / groups);
        };
        const std::uint64_t key = stableHash(route.shardPools[*groupStart(group)]);
        const std::vector<HostId> owners = this->planner.owners(zone, key, localPeer, now);
        const bool isOwner = std::find(owners.begin(), owners.end(), this->self.id) != owners.end();
        const std::optional<HostId> host
                = isOwner ? std::nullopt : this->planner.choose(owners, now);
        if (host)
            plan.relayShares.push_back(
                    { *host, zone, { groupStart(group), groupStart(group + 1) } });
        else
            unassigned.insert(unassigned.end(), groupStart(group), groupStart(group + 1));
    }
    return unassigned;
}

void PartRelay::offloadWithinZone(const Route &route, GatherPlan &plan, Millis now)
{
    const bool isLowCapacity = this->planner.hasHigherCapacityPeer(this->self, now);
    if (!this->send || !route.repeatable
        || plan.localShards.size() <= (isLowCapacity ? minRelayedParts : maxLocalParts))
        return;
    const std::vector<std::uint32_t> all = std::move(plan.localShards);
    plan.localShards = this->assignToZone(route, all, this->self.zone, now, plan);
}

void PartRelay::sendQuery(HostId host, const RelayQuery &query, Millis due,
                          std::function<void(RelayResult &&)> done)
{
    const QueryId id = { query.number };
    PendingQuery &entry = this->pending[id];
    entry.host = host;
    entry.sentAt = SteadyClock::now();
    entry.target = Millis(query.targetMs);
    entry.maxMissing = query.maxMissing;
    entry.done = std::move(done);
    entry.due = due;
    entry.timer = this->loop.schedule(entry.sentAt + this->acknowledgeTimeout(host),
                                      [this, id] { this->onQueryTimer(id); });
    this->planner.onSent(host);
    this->send(host, encodeRelayMessage(RelayMessageKind::Query, query));
}

Millis PartRelay::acknowledgeTimeout(HostId host) const
{
    return std::max(minAcknowledgeTimeout, this->roundTrip(host) * acknowledgeRoundTrips);
}

void PartRelay::onQueryTimer(QueryId id)
{
    const auto found = this->pending.find(id);
    if (found == this->pending.end())
        return;
    PendingQuery &entry = found->second;
    const Millis now = SteadyClock::now();
    const bool isUnresponsive
            = this->unacknowledgedFor(entry.host) >= this->acknowledgeTimeout(entry.host);
    if (!isUnresponsive && now < entry.due) {
        entry.timer = this->loop.schedule(entry.due, [this, id] { this->onQueryTimer(id); });
        return;
    }
    this->planner.onOverdue(entry.host, now);
    this->failQuery(id, true);
}

void PartRelay::failQuery(QueryId id, bool mayHaveRun)
{
    auto node = this->pending.extract(id);
    const PendingQuery &entry = node.mapped();
    this->loop.cancel(entry.timer);
    this->planner.onNoAnswer(entry.host);
    logEvent(LogEvent::RelayFallBack,
             "relay=" + std::to_string(entry.host.value) + " number=" + std::to_string(id.value)
                     + " ms=" + std::to_string((SteadyClock::now() - entry.sentAt).count()));
    // A relay that rejected the request has nothing to cancel.
    if (mayHaveRun)
        this->send(entry.host,
                   encodeRelayMessage(RelayMessageKind::Cancel, RelayCancel{ id.value }));
    RelayResult result;
    result.mayHaveRun = mayHaveRun;
    entry.done(std::move(result));
}

void PartRelay::cancel(QueryId id)
{
    const auto node = this->pending.extract(id);
    if (node.empty())
        return;
    this->loop.cancel(node.mapped().timer);
    // An answer that the request did not wait for took at least this long. An unreachable relay
    // says nothing about the time that relays need.
    if (this->unacknowledgedFor(node.mapped().host) <= this->roundTrip(node.mapped().host))
        this->observeProcessing(node.mapped(), SteadyClock::now());
    this->planner.onNoAnswer(node.mapped().host);
    this->send(node.mapped().host,
               encodeRelayMessage(RelayMessageKind::Cancel, RelayCancel{ id.value }));
}

void PartRelay::observeProcessing(const PendingQuery &query, Millis now)
{
    const Millis sinceTarget = now - query.sentAt - query.target - this->roundTrip(query.host);
    // Before its target, a relay answers for other reasons.
    if (query.target > Millis() && sinceTarget > Millis())
        this->processingReserve.observe(sinceTarget);
}

void PartRelay::onPeerLost(HostId host)
{
    this->planner.onOverdue(host, SteadyClock::now());
    std::vector<QueryId> lost;
    for (const auto &[id, entry] : this->pending) {
        if (entry.host == host)
            lost.push_back(id);
    }
    for (const QueryId id : lost) {
        if (this->pending.contains(id))
            this->failQuery(id, true);
    }
}

void PartRelay::onMessage(HostId from, const std::string &payload)
{
    if (payload.empty())
        return;
    const std::string body = payload.substr(1);
    switch (static_cast<RelayMessageKind>(payload.front())) {
    case RelayMessageKind::Query:
        if (const auto query = decode<RelayQuery>(body))
            this->onQuery(from, *query);
        break;
    case RelayMessageKind::Answer:
        if (auto answer = decode<RelayAnswer>(body))
            this->onAnswer(from, std::move(*answer));
        break;
    case RelayMessageKind::Cancel:
        if (const auto cancel = decode<RelayCancel>(body))
            this->onCancel(from, *cancel);
        break;
    case RelayMessageKind::RateReport:
        if (const auto report = decode<RelayRateReport>(body))
            this->onRateReport(from, *report);
        break;
    case RelayMessageKind::LeavingReport:
        if (const auto report = decode<RelayLeavingReport>(body))
            this->scatterExecutor.onLeavingReport(from, report->searcher, report->startTimeUnixMs);
        break;
    case RelayMessageKind::UsageReports:
    case RelayMessageKind::AllowanceLevels:
        break;
    }
}

void PartRelay::onRateReport(HostId from, const RelayRateReport &message)
{
    const bool isValid = std::isfinite(message.limit) && message.limit >= 0
                         && std::isfinite(message.ageMs) && message.ageMs >= 0
                         && std::isfinite(message.demand) && message.demand >= 0;
    if (!isValid)
        return;
    RateReport report;
    if (message.isLimited)
        report.limit = message.limit;
    report.age = Millis(message.ageMs);
    report.demand = message.demand;
    this->scatterExecutor.onRateReport(from, message.searcher, report);
}

std::set<HostId> PartRelay::likelyUsers(const TrackedSearcher &searcher) const
{
    std::vector<RelayPeer> likely = this->peers;
    std::sort(likely.begin(), likely.end(), [&](const RelayPeer &a, const RelayPeer &b) {
        const std::string &zone = searcher.registration().zone;
        return std::tuple(a.zone != zone, -a.capacity, a.id)
               < std::tuple(b.zone != zone, -b.capacity, b.id);
    });
    std::set<HostId> users;
    for (std::size_t i = 0; i < std::min(maxReportReceivers, likely.size()); ++i)
        users.insert(likely[i].id);
    return users;
}

void PartRelay::sendRateReport(const TrackedSearcher &searcher, const RateReport &report)
{
    if (!this->send)
        return;
    std::set<HostId> receivers = this->likelyUsers(searcher);
    searcher.rateShare().forEachReporter(SteadyClock::now(),
                                         [&](HostId host) { receivers.insert(host); });
    const RelayRateReport message = { searcher.registration().id, report.limit.has_value(),
                                      report.limit.value_or(0), report.age.count(), report.demand };
    for (const HostId host : receivers)
        this->send(host, encodeRelayMessage(RelayMessageKind::RateReport, message));
}

void PartRelay::sendLeavingReport(const TrackedSearcher &searcher)
{
    if (!this->send)
        return;
    const RelayLeavingReport message
            = { searcher.registration().id, searcher.registration().startTimeUnixMs };
    for (const HostId host : this->likelyUsers(searcher))
        this->send(host, encodeRelayMessage(RelayMessageKind::LeavingReport, message));
}

void PartRelay::sendAnswer(HostId to, const RelayAnswer &answer)
{
    this->send(to, encodeRelayMessage(RelayMessageKind::Answer, answer));
}

static void logGathered(const std::string &id, HostId requester,
                        const std::vector<std::shared_ptr<ShardPool>> &pools,
                        const ScatterAnswer &answer, Millis duration)
{
    std::ostringstream line;
    line << "id=" << id << " asked_by=" << requester.value
         << " parts=" << pools.size() - answer.missing << "/" << pools.size()
         << " sent=" << answer.sent << " hedges=" << answer.hedges << " retries=" << answer.retries
         << " code=" << (answer.lastFailure ? answer.lastFailure.message() : "none")
         << " ms=" << duration.count();
    const char *separator = " missing=";
    for (std::size_t i = 0; i < pools.size(); ++i) {
        if (answer.replies[i])
            continue;
        line << separator << pools[i]->name();
        separator = ",";
    }
    logEvent(LogEvent::RelayGathered, line.str());
}

void PartRelay::onQuery(HostId from, const RelayQuery &query)
{
    RelayAnswer refusal;
    refusal.number = query.number;
    if (this->stopping || !this->view.tables()) {
        // The requester treats all rejections alike, so both reasons share one code.
        refusal.refused = Fault::VersionMissing;
        this->sendAnswer(from, refusal);
        return;
    }
    const Millis now = SteadyClock::now();
    ScatterRequest scatterRequest;
    scatterRequest.plan.id = this->scatterExecutor.nextId();
    scatterRequest.plan.merged = true;
    scatterRequest.plan.isBatch = true;
    scatterRequest.plan.maxMissing = query.maxMissing;
    scatterRequest.plan.resultSize = query.resultSize;
    scatterRequest.plan.target = now + Millis(query.targetMs);
    scatterRequest.plan.deadline = now + Millis(query.deadlineMs);
    scatterRequest.plan.maxAttempts = std::max(1U, query.maxAttempts);
    for (const std::string &pool : query.pools)
        scatterRequest.pools.push_back(this->scatterExecutor.pool(pool));
    if (query.allowedSearchers.size() == query.pools.size())
        scatterRequest.allowedSearchers = query.allowedSearchers;
    const auto request = std::make_shared<OutboundRequest>();
    request->method = query.method;
    request->target = query.target;
    request->requestId = query.requestId;
    request->forwardedFields = query.forwardedFields;
    request->body = query.body;
    scatterRequest.request = request;
    scatterRequest.routeLatency = &this->routeLatency(query.route);
    const std::pair<HostId, std::uint64_t> key = { from, query.number };
    const std::uint32_t limit = query.resultSize;
    scatterRequest.done = [this, key, limit, now, id = query.requestId,
                           pools = scatterRequest.pools](ScatterAnswer &&gathered) {
        this->gathering.erase(key);
        logGathered(id, key.first, pools, gathered, SteadyClock::now() - now);
        RelayAnswer result;
        result.number = key.second;
        result.mayHaveRun = gathered.mayHaveRun;
        std::vector<std::string_view> bodies;
        for (const auto &reply : gathered.replies) {
            result.seals.push_back(reply ? reply->seal : std::string());
            if (reply)
                bodies.push_back(reply->body);
        }
        result.records = mergeRecords(bodies, limit);
        this->sendAnswer(key.first, result);
    };
    this->gathering[key] = scatterRequest.plan.id;
    this->scatterExecutor.start(std::move(scatterRequest));
}

void PartRelay::onAnswer(HostId from, RelayAnswer &&answer)
{
    const auto found = this->pending.find({ answer.number });
    if (found == this->pending.end() || found->second.host != from)
        return;
    if (answer.refused != Fault::None) {
        this->failQuery({ answer.number }, false);
        return;
    }
    const auto node = this->pending.extract(found);
    this->loop.cancel(node.mapped().timer);
    const Millis now = SteadyClock::now();
    this->planner.onAnswer(from, now - node.mapped().sentAt);
    const auto missing = static_cast<std::size_t>(
            std::count(answer.seals.begin(), answer.seals.end(), std::string()));
    if (missing > 0 && missing <= node.mapped().maxMissing)
        this->observeProcessing(node.mapped(), now);
    RelayResult result;
    result.answer = std::move(answer);
    node.mapped().done(std::move(result));
}

void PartRelay::onCancel(HostId from, const RelayCancel &cancel)
{
    const auto found = this->gathering.find({ from, cancel.number });
    if (found == this->gathering.end())
        return;
    this->scatterExecutor.abandon(found->second);
    this->gathering.erase(found);
}

} // namespace quetzal
