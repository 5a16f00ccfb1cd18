#include "request/entryservice.h"

#include "process/eventlog.h"
#include "quetzal/steadyclock.h"
#include "request/answerwriter.h"

#include <algorithm>

namespace quetzal {

static constexpr int statusUnavailable = 503;
// Part of a request's time that is reserved for merging and writing the answer.
static constexpr Millis answerReserve = Millis(2);
// A searcher is logged as an outlier if its latency exceeds the median of its pool by this factor.
static constexpr double outlierFactor = 3;
// Minimum time between two searches for outliers.
static constexpr Millis outlierPeriod = Millis(10'000);
static constexpr Millis defaultRetryAfter = Millis(1000);

EntryService::EntryService(EntryContext context)
    : context(std::move(context))
    , onceService(this->context.loop, this->context.self, this->context.loopIndex,
                  this->onceHooks())
    , spans(this->context.seed)
    , random(this->context.seed + 1)
    , lastQueryNumber(this->context.firstQueryNumber & queryMask)
{}

std::string EntryService::newRequestId()
{
    return this->context.hostName + "-" + std::to_string(this->random());
}

void EntryService::refuse(HttpExchange &exchange, int status, Fault fault, const std::string &text,
                          const std::string &requestId)
{
    const HttpAnswer answer = writeRefusal(status, fault, text, requestId, defaultRetryAfter);
    exchange.respond(answer.status, answer.fields, answer.body, answer.contentType);
}

void EntryService::onRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    this->context.metrics.add(Counter::Requests);
    const std::shared_ptr<const RoutingSnapshot> snapshot = this->context.snapshot.read();
    if (this->stopping || !snapshot || !snapshot->tables) {
        this->context.metrics.add(Counter::Refused);
        this->refuse(*exchange, statusUnavailable, Fault::Stopping, "this host takes no requests",
                     "");
        return;
    }
    CheckedRequest checked
            = checkRequest(exchange->request(), *snapshot->tables, this->newRequestId());
    if (checked.problem) {
        this->context.metrics.add(Counter::BadRequests);
        this->refuse(*exchange, checked.problem->status, checked.problem->fault,
                     checked.problem->text, checked.request.forwarded.requestId);
        return;
    }
    const CallerRequest &request = checked.request;
    // The caller may resend a request that has its own id, and through another host: the owner of
    // the id has to see all of them.
    if (!request.route->repeatable && request.hasCallerRequestId) {
        this->forwardToOwner(exchange, request);
        return;
    }
    const auto reply = [exchange](const HttpAnswer &answer) {
        exchange->respond(answer.status, answer.fields, answer.body, answer.contentType);
    };
    const QueryId id = this->startQuery(reply, std::move(checked.request), snapshot);
    exchange->setDisconnectHandler([this, id] { this->onCallerGone(id); });
}

void EntryService::onCallerGone(QueryId id)
{
    const auto found = this->running.find(id);
    if (found == this->running.end())
        return;
    this->context.metrics.add(Counter::CallersGone);
    QueryActions actions;
    found->second.query->onCallerGone(SteadyClock::now(), actions);
    this->applyActions(id, actions);
}

OnceHooks EntryService::onceHooks()
{
    OnceHooks hooks;
    hooks.send = [this](HostId to, OnceMessage message) {
        this->context.sendOnceMessage(to, std::move(message));
    };
    hooks.run = [this](const OnceMessage &forward, std::function<void(const HttpAnswer &)> done) {
        this->runForwarded(forward, std::move(done));
    };
    return hooks;
}

void EntryService::forwardToOwner(const std::shared_ptr<HttpExchange> &exchange,
                                  const CallerRequest &request)
{
    OnceMessage message;
    message.key = request.route->name + " " + request.forwarded.requestId;
    message.route = request.route->name;
    message.request = request.forwarded;
    message.budgetMs = request.deadline.count();
    this->onceService.forward(exchange, std::move(message));
}

void EntryService::runForwarded(const OnceMessage &forward,
                                std::function<void(const HttpAnswer &)> done)
{
    const std::shared_ptr<const RoutingSnapshot> snapshot = this->context.snapshot.read();
    CallerRequest request;
    for (const Route &route : snapshot->tables->routes) {
        if (route.name == forward.route)
            request.route = &route;
    }
    if (request.route == nullptr) {
        done(writeRefusal(statusUnavailable, Fault::NoRoute, "the route is gone",
                          forward.request.requestId, defaultRetryAfter));
        return;
    }
    request.forwarded = forward.request;
    request.deadline = Millis(forward.budgetMs);
    this->startQuery(std::move(done), std::move(request), snapshot);
}

PoolState &EntryService::poolState(const Pool &pool)
{
    const auto found = this->pools.find(pool.name);
    if (found != this->pools.end())
        return *found->second;
    auto state = std::make_unique<PoolState>(this->random(), PolicyOptions());
    return *this->pools.emplace(pool.name, std::move(state)).first->second;
}

QueryId EntryService::startQuery(std::function<void(const HttpAnswer &)> reply,
                                 CallerRequest request,
                                 const std::shared_ptr<const RoutingSnapshot> &snapshot)
{
    if (this->syncedGeneration != snapshot->generation)
        this->onSnapshotChanged();
    const Pool *pool = snapshot->tables->pool(request.route->pool);
    if (pool == nullptr) {
        reply(writeRefusal(statusUnavailable, Fault::PoolEmpty,
                           "pool \"" + request.route->pool + "\" does not exist",
                           request.forwarded.requestId, defaultRetryAfter));
        return {};
    }
    PoolState &state = this->poolState(*pool);
    if (!state.admission.admit(request.route->priority, SteadyClock::now())) {
        this->context.metrics.add(Counter::Refused);
        reply(writeRefusal(statusUnavailable, Fault::Overloaded,
                           "pool \"" + pool->name + "\" is overloaded", request.forwarded.requestId,
                           state.admission.retryAfter()));
        return {};
    }
    const Millis now = SteadyClock::now();
    QueryPlan plan;
    plan.id = { this->context.loopIndex << loopShift | ++this->lastQueryNumber };
    plan.kind = request.route->kind;
    plan.repeatable = request.route->repeatable;
    plan.deadline = now + std::max(Millis(0), request.deadline - answerReserve);
    plan.target = std::min(plan.deadline, now + request.route->targetLatency);
    plan.minCoverage = request.route->minCoverage;
    plan.belowMinimum = request.route->belowMinimum;
    plan.pinnedVersion = request.pinnedVersion;
    plan.resultSize = request.resultSize;
    plan.explain = request.explain;
    RunningQuery &entry = this->running[plan.id];
    entry.query = std::make_unique<Query>(plan, state);
    entry.reply = std::move(reply);
    entry.snapshot = snapshot;
    entry.pool = &state;
    entry.trace = request.trace.value_or(TraceContext());
    if (!request.trace && this->context.traces.enabled()) {
        // 2^64, which scales a random number to the range from 0 to 1.
        static constexpr double randomRange = 18446744073709551616.0;
        const double draw = static_cast<double>(this->random()) / randomRange;
        // A trace id must not be zero.
        entry.trace = { this->random(), this->random() | 1, 0,
                        draw < this->context.traces.sampleRate() };
    }
    entry.callerSpan = entry.trace.span;
    entry.trace.span = this->spans.next();
    entry.request = std::move(request);
    const QueryId id = plan.id;
    QueryActions actions;
    entry.query->start(now, actions);
    this->applyActions(id, actions);
    return id;
}

void EntryService::applyActions(QueryId id, QueryActions &actions)
{
    RunningQuery &entry = this->running.at(id);
    this->sendCancels(entry, actions.cancel);
    this->sendAttempts(entry, actions.send);
    if (actions.answer) {
        this->finish(id, *actions.answer);
        return;
    }
    if (entry.query->finished()) {
        // Finished without an answer: the caller has disconnected.
        entry.pool->admission.release();
        this->context.loop.cancel(entry.timer);
        this->running.erase(id);
        return;
    }
    this->armTimer(id);
}

void EntryService::sendAttempts(RunningQuery &entry, const std::vector<Attempt> &attempts)
{
    if (attempts.empty())
        return;
    const std::shared_ptr<const RoutingSnapshot> snapshot = this->context.snapshot.read();
    std::map<HostId, std::shared_ptr<SubRequests>> batches;
    std::vector<AttemptId> ownerless;
    for (const Attempt &attempt : attempts) {
        const auto location = snapshot->searchers.find(attempt.searcher);
        const HostId owner
                = location == snapshot->searchers.end() ? HostId() : location->second.owner;
        entry.owners.push_back(owner);
        this->context.metrics.add(attempt.hedge ? Counter::Hedges : Counter::SubRequests);
        if (owner == HostId()) {
            ownerless.push_back(attempt.id);
            continue;
        }
        std::shared_ptr<SubRequests> &batch = batches[owner];
        if (!batch) {
            batch = std::make_shared<SubRequests>();
            batch->query = attempt.id.query;
            batch->trace = entry.trace;
            batch->version = attempt.version;
            batch->repeatable = attempt.repeatable;
            batch->request = entry.request.forwarded;
        }
        batch->items.push_back(
                { attempt.id.ordinal, attempt.searcher, attempt.shard, attempt.budget.count() });
    }
    for (auto &[owner, batch] : batches)
        this->context.sendBatch(owner, std::move(batch));
    for (const AttemptId &id : ownerless) {
        // Posted, so that the result does not change the query while its actions are applied.
        this->context.loop.post([this, id] {
            AttemptResult result;
            result.id = id;
            result.outcome = { Verdict::NotRun, Fault::PoolEmpty, Hop::Entry };
            this->onResult(std::move(result));
        });
    }
}

void EntryService::sendCancels(const RunningQuery &entry, const std::vector<Attempt> &attempts)
{
    std::map<HostId, Cancels> cancelsByOwner;
    for (const Attempt &attempt : attempts) {
        const HostId owner = entry.owners.at(attempt.id.ordinal);
        if (owner != HostId())
            cancelsByOwner[owner].items.push_back({ attempt.id, attempt.searcher });
    }
    for (auto &[owner, cancels] : cancelsByOwner)
        this->context.sendCancels(owner, std::move(cancels));
}

void EntryService::armTimer(QueryId id)
{
    RunningQuery &entry = this->running.at(id);
    const Millis next = entry.query->nextTimer();
    if (next == entry.timerAt)
        return;
    this->context.loop.cancel(entry.timer);
    entry.timerAt = next;
    entry.timer = this->context.loop.schedule(next, [this, id] {
        const auto found = this->running.find(id);
        if (found == this->running.end())
            return;
        found->second.timerAt = Millis::never();
        QueryActions actions;
        found->second.lastEventAt = SteadyClock::now();
        found->second.query->onTimer(found->second.lastEventAt, actions);
        this->applyActions(id, actions);
    });
}

void EntryService::onResult(AttemptResult &&result)
{
    const auto found = this->running.find(result.id.query);
    if (found == this->running.end())
        return;
    QueryActions actions;
    found->second.lastEventAt = SteadyClock::now();
    found->second.query->onResult(found->second.lastEventAt, result, actions);
    this->applyActions(result.id.query, actions);
}

void EntryService::finish(QueryId id, const Answer &answer)
{
    RunningQuery &entry = this->running.at(id);
    const Millis now = SteadyClock::now();
    const Millis duration = now - entry.query->startedAt();
    this->logOutliers();
    Metrics &metrics = this->context.metrics;
    metrics.add(Timing::Query, duration);
    metrics.add(answer.outcome.succeeded() ? Counter::Answered : Counter::Failed);
    metrics.add(Counter::Restarts, answer.restarts);
    if (!answer.coverage.complete())
        metrics.add(Counter::Incomplete);
    const bool isLate = now > entry.query->queryPlan().target && !answer.coverage.complete();
    entry.pool->admission.onEnd(now, duration, entry.query->sawCapacityRefusal(), isLate);
    const std::shared_ptr<const RoutingSnapshot> snapshot = entry.snapshot;
    const SearcherAddressLookup addressOf = [snapshot](SearcherId searcher) {
        const auto location = snapshot->searchers.find(searcher);
        return location == snapshot->searchers.end() ? std::string("unknown")
                                                     : location->second.searcher->address;
    };
    HttpAnswer response
            = writeAnswer(answer, entry.request.route->kind, entry.request.forwarded.requestId,
                          entry.pool->admission.retryAfter(), entry.request.explain, addressOf);
    if (entry.trace.sampled) {
        response.fields.push_back({ "traceparent", formatTraceparent(entry.trace) });
        this->traceQuery(entry, answer, entry.lastEventAt);
    }
    const auto reply = std::move(entry.reply);
    this->context.loop.cancel(entry.timer);
    this->running.erase(id);
    reply(response);
}

void EntryService::traceQuery(const RunningQuery &entry, const Answer &answer, Millis mergedAt)
{
    Span span;
    span.parent = entry.trace;
    span.parent.span = entry.callerSpan;
    span.id = entry.trace.span;
    span.name = "entry";
    span.start = entry.query->startedAt();
    span.end = SteadyClock::now();
    span.attributes = { { "route", entry.request.route->name },
                        { "request_id", entry.request.forwarded.requestId },
                        { "verdict", std::string(nameOf(answer.outcome.verdict)) },
                        { "shards", std::to_string(answer.coverage.shardsAnswered) + "/"
                                            + std::to_string(answer.coverage.shardsTotal) } };
    Span merge;
    merge.parent = entry.trace;
    merge.id = this->spans.next();
    merge.name = "merge";
    merge.start = mergedAt;
    merge.end = span.end;
    this->context.traces.write(std::move(span));
    this->context.traces.write(std::move(merge));
}

void EntryService::applyReport(const SearcherReport &report, PoolState &state)
{
    state.versions.report(report.searcher, report.holdings);
    const std::shared_ptr<const RoutingSnapshot> snapshot = this->context.snapshot.read();
    state.versions.setDraining(report.searcher,
                               report.draining || snapshot->leaving.contains(report.searcher));
}

void EntryService::onReports(const std::vector<SearcherReport> &newReports)
{
    for (const SearcherReport &report : newReports)
        this->reports[report.searcher] = report;
    const std::shared_ptr<const RoutingSnapshot> snapshot = this->context.snapshot.read();
    if (!snapshot || !snapshot->tables)
        return;
    for (const SearcherReport &report : newReports) {
        const auto location = snapshot->searchers.find(report.searcher);
        if (location == snapshot->searchers.end())
            continue;
        const auto pool = this->pools.find(location->second.searcher->pool);
        if (pool != this->pools.end())
            this->applyReport(report, *pool->second);
    }
    for (const auto &[name, state] : this->pools)
        this->logVersionConflicts(name, *state);
}

void EntryService::logOutliers()
{
    const Millis now = SteadyClock::now();
    if (now < this->nextOutlierCheck)
        return;
    this->nextOutlierCheck = now + outlierPeriod;
    for (const auto &[name, state] : this->pools) {
        for (const SearcherId outlier : state->chooser.outliers(outlierFactor)) {
            const auto snapshot = this->context.snapshot.read();
            const auto location = snapshot->searchers.find(outlier);
            if (location != snapshot->searchers.end())
                logEvent(LogEvent::Outlier,
                         "searcher=" + location->second.searcher->address + " pool=" + name);
        }
    }
}

void EntryService::logVersionConflicts(const std::string &pool, PoolState &state)
{
    for (const VersionId version : state.versions.conflictingVersions())
        logEvent(LogEvent::VersionConflict,
                 "pool=" + pool + " version=" + std::to_string(version.value));
}

void EntryService::syncPool(const RoutingSnapshot &snapshot, const Pool &pool, PoolState &state)
{
    std::vector<SearcherId> ids;
    ids.reserve(pool.searchers.size());
    for (const Searcher &searcher : pool.searchers)
        ids.push_back(searcher.id());
    state.versions.setMembers(ids);
    state.chooser.keepOnly(ids);
    const Millis now = SteadyClock::now();
    for (const Searcher &searcher : pool.searchers) {
        // A sub-request crosses the zone boundary twice.
        const bool isNear = searcher.zone == this->context.zone;
        const Millis roundTrip = isNear ? Millis(0) : this->context.zoneOneWayDelay * 2;
        state.chooser.setSearcher(searcher.id(), searcher.slots, roundTrip, now);
        const auto report = this->reports.find(searcher.id());
        if (report != this->reports.end())
            this->applyReport(report->second, state);
        else
            state.versions.setDraining(searcher.id(), snapshot.leaving.contains(searcher.id()));
    }
}

void EntryService::onSnapshotChanged()
{
    const std::shared_ptr<const RoutingSnapshot> snapshot = this->context.snapshot.read();
    if (!snapshot || !snapshot->tables || snapshot->generation == this->syncedGeneration)
        return;
    this->syncedGeneration = snapshot->generation;
    this->onceService.onOwnershipChanged(snapshot->ownership);
    for (const Pool &pool : snapshot->tables->pools)
        this->syncPool(*snapshot, pool, this->poolState(pool));
}

void EntryService::onRelayLost(HostId host)
{
    this->onceService.onHostLost(host);
    struct Lost
    {
        QueryId query;
        std::vector<std::uint32_t> ordinals;
    };
    std::vector<Lost> lost;
    for (const auto &[id, entry] : this->running) {
        Lost found = { id, {} };
        for (std::uint32_t ordinal = 0; ordinal < entry.owners.size(); ++ordinal) {
            if (entry.owners[ordinal] == host)
                found.ordinals.push_back(ordinal);
        }
        if (!found.ordinals.empty())
            lost.push_back(std::move(found));
    }
    for (const Lost &entry : lost) {
        for (const std::uint32_t ordinal : entry.ordinals) {
            AttemptResult result;
            result.id = { entry.query, ordinal };
            result.outcome = { Verdict::MayHaveRun, Fault::RelayLost, Hop::Entry };
            this->onResult(std::move(result));
        }
    }
}

} // namespace quetzal
