#include "request/relaydesk.h"

#include "process/eventlog.h"
#include "quetzal/fault.h"
#include "quetzal/steadyclock.h"
#include "request/recordmerge.h"

#include <algorithm>
#include <sstream>

namespace quetzal {

// Fewer parts than this are cheaper to gather from afar.
static constexpr std::size_t leastShare = 2;
// Parts that one host gathers without help from its zone.
static constexpr std::size_t mostHere = 32;
// Parts in one message; so many fit into a datagram, and their answer too.
static constexpr std::size_t mostPerMessage = 23;
// Time in which a host acknowledges a message if it runs and is reached.
static constexpr Millis shortestAcknowledgeTime = Millis(40);
static constexpr double acknowledgeRoundTrips = 3;

RelayDesk::RelayDesk(EventLoop &loop, const ServingView &view, ScatterHost &scatters,
                     RelayPeer self, std::uint64_t seed)
    : loop(loop)
    , view(view)
    , scatters(scatters)
    , self(std::move(self))
    , board(seed)
{}

RoutePace &RelayDesk::pace(const std::string &route)
{
    std::unique_ptr<RoutePace> &found = this->paces[route];
    if (!found)
        found = std::make_unique<RoutePace>();
    return *found;
}

const std::set<std::string> &RelayDesk::zonesOf(const std::string &pool)
{
    const auto known = this->zonesOfPool.find(pool);
    if (known != this->zonesOfPool.end())
        return known->second;
    std::set<std::string> &zones = this->zonesOfPool[pool];
    for (const auto &searcher : this->scatters.pool(pool)->searchers()) {
        if (searcher->registration().state == SearcherState::Ready)
            zones.insert(searcher->registration().zone);
    }
    return zones;
}

RelaySplit RelayDesk::split(const Route &route, Millis now)
{
    RelaySplit result;
    std::map<std::string, std::vector<std::uint32_t>> byZone;
    std::set<std::uint32_t> far;
    for (std::uint32_t shard = 0; shard < route.shardPools.size(); ++shard) {
        const std::set<std::string> &zones = this->zonesOf(route.shardPools[shard]);
        if (!this->send || !route.repeatable || zones.empty() || zones.contains(this->self.zone)) {
            result.here.push_back(shard);
            continue;
        }
        far.insert(shard);
        for (const std::string &name : zones)
            byZone[name].push_back(shard);
    }
    while (!far.empty() && !byZone.empty()) {
        const std::string farZone = this->widest(byZone);
        const std::vector<std::uint32_t> shards = byZone[farZone];
        if (shards.size() < leastShare)
            break;
        byZone.erase(farZone);
        const std::vector<std::uint32_t> left = this->share(route, shards, farZone, now, result);
        for (const std::uint32_t shard : shards)
            far.erase(shard);
        far.insert(left.begin(), left.end());
        for (auto &[name, rest] : byZone)
            std::erase_if(rest, [&](std::uint32_t shard) { return !far.contains(shard); });
    }
    result.here.insert(result.here.end(), far.begin(), far.end());
    this->shareNear(route, result, now);
    return result;
}

// Returns the zone that has most of the parts. Of several, each host takes another one.
std::string RelayDesk::widest(const std::map<std::string, std::vector<std::uint32_t>> &byZone) const
{
    const auto rank = [this](const auto &item) {
        return std::pair(item.second.size(), stableHash(item.first, this->self.id.value));
    };
    return std::max_element(byZone.begin(), byZone.end(),
                            [&](const auto &a, const auto &b) { return rank(a) < rank(b); })
            ->first;
}

// Splits parts among the owners of a zone. Returns those that this host gathers itself.
std::vector<std::uint32_t> RelayDesk::share(const Route &route,
                                            const std::vector<std::uint32_t> &parts,
                                            const std::string &zone, Millis now, RelaySplit &split)
{
    const bool isOwnZone = zone == this->self.zone;
    const std::optional<RelayPeer> own = isOwnZone ? std::optional(this->self) : std::nullopt;
    const std::size_t groups = (parts.size() + mostPerMessage - 1) / mostPerMessage;
    std::vector<std::uint32_t> left;
    for (std::size_t group = 0; group < groups; ++group) {
        const auto at = [&](std::size_t index) {
            return parts.begin() + static_cast<std::ptrdiff_t>(parts.size() * index / groups);
        };
        const std::uint64_t key = stableHash(route.shardPools[*at(group)]);
        const std::vector<HostId> owners = this->board.owners(zone, key, own, now);
        const bool isOwner = std::find(owners.begin(), owners.end(), this->self.id) != owners.end();
        const std::optional<HostId> host = isOwner ? std::nullopt : this->board.choose(owners, now);
        if (host)
            split.shares.push_back({ *host, zone, { at(group), at(group + 1) } });
        else
            left.insert(left.end(), at(group), at(group + 1));
    }
    return left;
}

// Has the owners of the own zone take what is more than this host gathers quickly.
void RelayDesk::shareNear(const Route &route, RelaySplit &split, Millis now)
{
    const bool isWeak = this->board.hasStronger(this->self, now);
    if (!this->send || !route.repeatable || split.here.size() <= (isWeak ? leastShare : mostHere))
        return;
    const std::vector<std::uint32_t> all = std::move(split.here);
    split.here = this->share(route, all, this->self.zone, now, split);
}

void RelayDesk::ask(HostId host, const RelayQuery &query, Millis due,
                    std::function<void(RelayResult &&)> done)
{
    const QueryId id = { query.number };
    Asked &entry = this->asked[id];
    entry.host = host;
    entry.sentAt = SteadyClock::now();
    entry.done = std::move(done);
    entry.due = due;
    entry.timer = this->loop.schedule(entry.sentAt + this->acknowledgeTime(host),
                                      [this, id] { this->onAskTimer(id); });
    this->board.onSent(host);
    this->send(host, packRelay(RelayKind::Query, query));
}

Millis RelayDesk::acknowledgeTime(HostId host) const
{
    return std::max(shortestAcknowledgeTime, this->roundTrip(host) * acknowledgeRoundTrips);
}

void RelayDesk::onAskTimer(QueryId id)
{
    const auto found = this->asked.find(id);
    if (found == this->asked.end())
        return;
    Asked &entry = found->second;
    const Millis now = SteadyClock::now();
    const bool silent = this->unacknowledged(entry.host) >= this->acknowledgeTime(entry.host);
    if (!silent && now < entry.due) {
        entry.timer = this->loop.schedule(entry.due, [this, id] { this->onAskTimer(id); });
        return;
    }
    this->board.onOverdue(entry.host, now);
    this->giveUp(id, true);
}

void RelayDesk::giveUp(QueryId id, bool mayHaveRun)
{
    auto node = this->asked.extract(id);
    const Asked &entry = node.mapped();
    this->loop.cancel(entry.timer);
    this->board.onWithdrawn(entry.host);
    logEvent(LogEvent::RelayFallBack,
             "relay=" + std::to_string(entry.host.value) + " number=" + std::to_string(id.value)
                     + " ms=" + std::to_string((SteadyClock::now() - entry.sentAt).count()));
    if (mayHaveRun)
        this->send(entry.host, packRelay(RelayKind::Cancel, RelayCancel{ id.value }));
    RelayResult result;
    result.mayHaveRun = mayHaveRun;
    entry.done(std::move(result));
}

void RelayDesk::withdraw(QueryId id)
{
    const auto node = this->asked.extract(id);
    if (node.empty())
        return;
    this->loop.cancel(node.mapped().timer);
    this->board.onWithdrawn(node.mapped().host);
    this->send(node.mapped().host, packRelay(RelayKind::Cancel, RelayCancel{ id.value }));
}

void RelayDesk::onPeerLost(HostId host)
{
    this->board.onOverdue(host, SteadyClock::now());
    std::vector<QueryId> lost;
    for (const auto &[id, entry] : this->asked) {
        if (entry.host == host)
            lost.push_back(id);
    }
    for (const QueryId id : lost) {
        if (this->asked.contains(id))
            this->giveUp(id, true);
    }
}

void RelayDesk::onMessage(HostId from, const std::string &payload)
{
    if (payload.empty())
        return;
    const std::string body = payload.substr(1);
    switch (static_cast<RelayKind>(payload.front())) {
    case RelayKind::Query:
        if (const auto query = decode<RelayQuery>(body))
            this->onQuery(from, *query);
        break;
    case RelayKind::Answer:
        if (auto answer = decode<RelayAnswer>(body))
            this->onAnswer(from, std::move(*answer));
        break;
    case RelayKind::Cancel:
        if (const auto cancel = decode<RelayCancel>(body))
            this->onCancel(from, *cancel);
        break;
    }
}

void RelayDesk::answer(HostId to, const RelayAnswer &answer)
{
    this->send(to, packRelay(RelayKind::Answer, answer));
}

static void logGathered(const std::string &id, HostId asker,
                        const std::vector<std::shared_ptr<ShardPool>> &pools,
                        const ScatterAnswer &answer, Millis span)
{
    std::ostringstream line;
    line << "id=" << id << " asked_by=" << asker.value << " parts=" << pools.size() - answer.missing
         << "/" << pools.size() << " sent=" << answer.sent << " hedges=" << answer.hedges
         << " retries=" << answer.retries
         << " code=" << (answer.lastFailure ? answer.lastFailure.message() : "none")
         << " ms=" << span.count();
    const char *separator = " missing=";
    for (std::size_t i = 0; i < pools.size(); ++i) {
        if (answer.replies[i])
            continue;
        line << separator << pools[i]->name();
        separator = ",";
    }
    logEvent(LogEvent::RelayGathered, line.str());
}

void RelayDesk::onQuery(HostId from, const RelayQuery &query)
{
    RelayAnswer refusal;
    refusal.number = query.number;
    if (this->stopping || !this->view.tables()) {
        refusal.refused = Fault::VersionMissing;
        this->answer(from, refusal);
        return;
    }
    const Millis now = SteadyClock::now();
    ScatterStart start;
    start.plan.id = this->scatters.nextId();
    start.plan.merged = true;
    start.plan.isBatch = true;
    start.plan.mostMissing = query.mostMissing;
    start.plan.target = now + Millis(query.targetMs);
    start.plan.deadline = now + Millis(query.deadlineMs);
    start.plan.maxAttempts = std::max(1U, query.maxAttempts);
    for (const std::string &pool : query.pools)
        start.pools.push_back(this->scatters.pool(pool));
    if (query.allowed.size() == query.pools.size())
        start.allowed = query.allowed;
    const auto request = std::make_shared<OutboundRequest>();
    request->method = query.method;
    request->target = query.target;
    request->requestId = query.requestId;
    request->forwarded = query.forwarded;
    request->body = query.body;
    start.request = request;
    start.pace = &this->pace(query.route);
    const std::pair<HostId, std::uint64_t> key = { from, query.number };
    const std::uint32_t limit = query.resultSize;
    start.done = [this, key, limit, now, id = query.requestId,
                  pools = start.pools](ScatterAnswer &&gathered) {
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
        this->answer(key.first, result);
    };
    this->gathering[key] = start.plan.id;
    this->scatters.start(std::move(start));
}

void RelayDesk::onAnswer(HostId from, RelayAnswer &&answer)
{
    const auto found = this->asked.find({ answer.number });
    if (found == this->asked.end() || found->second.host != from)
        return;
    if (answer.refused != Fault::None) {
        this->giveUp({ answer.number }, false);
        return;
    }
    const auto node = this->asked.extract(found);
    this->loop.cancel(node.mapped().timer);
    this->board.onAnswer(from, SteadyClock::now() - node.mapped().sentAt);
    RelayResult result;
    result.answer = std::move(answer);
    node.mapped().done(std::move(result));
}

void RelayDesk::onCancel(HostId from, const RelayCancel &cancel)
{
    const auto found = this->gathering.find({ from, cancel.number });
    if (found == this->gathering.end())
        return;
    this->scatters.abandon(found->second);
    this->gathering.erase(found);
}

} // namespace quetzal
