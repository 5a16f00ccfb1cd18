#include "request/entryhost.h"

#include "process/eventlog.h"
#include "quetzal/steadyclock.h"
#include "request/answerwriter.h"

#include <algorithm>

namespace quetzal {

static constexpr int statusUnavailable = 503;
// Time kept back from the deadline for merging and answering.
static constexpr Millis answerReserve = Millis(2);
// A searcher whose latency is over this factor times the median of its peers is named in the log.
static constexpr double outlierFactor = 3;
static constexpr Millis outlierPeriod = Millis(10'000);
static constexpr Millis defaultRetryAfter = Millis(1000);

EntryHost::EntryHost(EntryContext context)
    : context(std::move(context))
    , once(this->context.loop, this->context.self, this->context.index, this->onceHooks())
    , spans(this->context.seed)
    , random(this->context.seed + 1)
    , lastQuery(this->context.firstQuery & queryMask)
{}

std::string EntryHost::newRequestId()
{
    return this->context.hostName + "-" + std::to_string(this->random());
}

void EntryHost::refuse(HttpExchange &exchange, int status, Fault fault, const std::string &text,
                       const std::string &requestId)
{
    const HttpAnswer answer = writeRefusal(status, fault, text, requestId, defaultRetryAfter);
    exchange.respond(answer.status, answer.fields, answer.body, answer.contentType);
}

void EntryHost::onRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    this->context.metrics.add(Counter::Requests);
    const std::shared_ptr<const World> world = this->context.world.read();
    if (this->stopping || !world || !world->tables) {
        this->context.metrics.add(Counter::Refused);
        this->refuse(*exchange, statusUnavailable, Fault::Stopping, "this host takes no requests",
                     "");
        return;
    }
    CheckedRequest checked
            = checkRequest(exchange->request(), *world->tables, this->newRequestId());
    if (checked.problem) {
        this->context.metrics.add(Counter::BadRequests);
        this->refuse(*exchange, checked.problem->status, checked.problem->fault,
                     checked.problem->text, checked.request.forward.requestId);
        return;
    }
    const CallerRequest &request = checked.request;
    // An id of the caller's own may come again through another host.
    if (!request.route->repeatable && request.namedByCaller) {
        this->forwardOnce(exchange, request);
        return;
    }
    const auto reply = [exchange](const HttpAnswer &answer) {
        exchange->respond(answer.status, answer.fields, answer.body, answer.contentType);
    };
    const QueryId id = this->begin(reply, std::move(checked.request), world);
    exchange->onGone([this, id] { this->onCallerGone(id); });
}

void EntryHost::onCallerGone(QueryId id)
{
    const auto found = this->running.find(id);
    if (found == this->running.end())
        return;
    this->context.metrics.add(Counter::CallersGone);
    QueryActions actions;
    found->second.query->onCallerGone(SteadyClock::now(), actions);
    this->perform(id, actions);
}

OnceHooks EntryHost::onceHooks()
{
    OnceHooks hooks;
    hooks.send = [this](HostId to, OnceMessage message) {
        this->context.sendOnce(to, std::move(message));
    };
    hooks.run = [this](const OnceMessage &forward, std::function<void(const HttpAnswer &)> done) {
        this->runOnce(forward, std::move(done));
    };
    return hooks;
}

void EntryHost::forwardOnce(const std::shared_ptr<HttpExchange> &exchange,
                            const CallerRequest &request)
{
    OnceMessage message;
    message.key = request.route->name + " " + request.forward.requestId;
    message.route = request.route->name;
    message.request = request.forward;
    message.budgetMs = request.deadline.count();
    this->once.forward(exchange, std::move(message));
}

void EntryHost::runOnce(const OnceMessage &forward, std::function<void(const HttpAnswer &)> done)
{
    const std::shared_ptr<const World> world = this->context.world.read();
    CallerRequest request;
    for (const Route &route : world->tables->routes) {
        if (route.name == forward.route)
            request.route = &route;
    }
    if (request.route == nullptr) {
        done(writeRefusal(statusUnavailable, Fault::NoRoute, "the route is gone",
                          forward.request.requestId, defaultRetryAfter));
        return;
    }
    request.forward = forward.request;
    request.deadline = Millis(forward.budgetMs);
    this->begin(std::move(done), std::move(request), world);
}

PoolState &EntryHost::poolState(const Pool &pool)
{
    const auto found = this->pools.find(pool.name);
    if (found != this->pools.end())
        return *found->second;
    auto made = std::make_unique<PoolState>(this->random(), PolicyOptions());
    return *this->pools.emplace(pool.name, std::move(made)).first->second;
}

QueryId EntryHost::begin(std::function<void(const HttpAnswer &)> reply, CallerRequest request,
                         const std::shared_ptr<const World> &world)
{
    if (this->syncedGeneration != world->generation)
        this->onWorld();
    const Pool *pool = world->tables->pool(request.route->pool);
    if (pool == nullptr) {
        reply(writeRefusal(statusUnavailable, Fault::PoolEmpty,
                           "pool \"" + request.route->pool + "\" does not exist",
                           request.forward.requestId, defaultRetryAfter));
        return {};
    }
    PoolState &state = this->poolState(*pool);
    if (!state.admission.admit(request.route->priority, SteadyClock::now())) {
        this->context.metrics.add(Counter::Refused);
        reply(writeRefusal(statusUnavailable, Fault::Overloaded,
                           "pool \"" + pool->name + "\" is overloaded", request.forward.requestId,
                           state.admission.retryAfter()));
        return {};
    }
    const Millis now = SteadyClock::now();
    QueryPlan plan;
    plan.id = { this->context.index << loopShift | ++this->lastQuery };
    plan.kind = request.route->kind;
    plan.repeatable = request.route->repeatable;
    plan.deadline = now + std::max(Millis(0), request.deadline - answerReserve);
    plan.target = std::min(plan.deadline, now + request.route->target);
    plan.minCoverage = request.route->minCoverage;
    plan.below = request.route->below;
    plan.pinned = request.pinned;
    plan.resultSize = request.resultSize;
    plan.explain = request.explain;
    Running &entry = this->running[plan.id];
    entry.query = std::make_unique<Query>(plan, state);
    entry.reply = std::move(reply);
    entry.world = world;
    entry.pool = &state;
    entry.trace = request.trace.value_or(TraceContext());
    if (!request.trace && this->context.traces.enabled()) {
        static constexpr double randomRange = 18446744073709551616.0;
        const double draw = static_cast<double>(this->random()) / randomRange;
        entry.trace = { this->random(), this->random() | 1, 0,
                        draw < this->context.traces.sampleRate() };
    }
    entry.callerSpan = entry.trace.span;
    entry.trace.span = this->spans.next();
    entry.request = std::move(request);
    const QueryId id = plan.id;
    QueryActions actions;
    entry.query->start(now, actions);
    this->perform(id, actions);
    return id;
}

void EntryHost::perform(QueryId id, QueryActions &actions)
{
    Running &entry = this->running.at(id);
    this->sendCancels(entry, actions.cancel);
    this->sendAttempts(entry, actions.send);
    if (actions.answer) {
        this->finish(id, *actions.answer);
        return;
    }
    if (entry.query->finished()) {
        // The caller is gone.
        entry.pool->admission.abandon();
        this->context.loop.cancel(entry.timer);
        this->running.erase(id);
        return;
    }
    this->armTimer(id);
}

void EntryHost::sendAttempts(Running &entry, const std::vector<Attempt> &attempts)
{
    if (attempts.empty())
        return;
    const std::shared_ptr<const World> now = this->context.world.read();
    std::map<HostId, std::shared_ptr<SubRequests>> batches;
    std::vector<AttemptId> ownerless;
    for (const Attempt &attempt : attempts) {
        const auto place = now->searchers.find(attempt.searcher);
        const HostId owner = place == now->searchers.end() ? HostId() : place->second.owner;
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
            batch->request = entry.request.forward;
        }
        batch->items.push_back(
                { attempt.id.ordinal, attempt.searcher, attempt.shard, attempt.budget.count() });
    }
    for (auto &[owner, batch] : batches)
        this->context.sendBatch(owner, std::move(batch));
    for (const AttemptId &id : ownerless) {
        // Later, so that the query is not changed while its actions are being done.
        this->context.loop.post([this, id] {
            AttemptResult result;
            result.id = id;
            result.outcome = { Verdict::NotRun, Fault::PoolEmpty, Hop::Entry };
            this->onResult(std::move(result));
        });
    }
}

void EntryHost::sendCancels(const Running &entry, const std::vector<Attempt> &attempts)
{
    std::map<HostId, Cancels> byOwner;
    for (const Attempt &attempt : attempts) {
        const HostId owner = entry.owners.at(attempt.id.ordinal);
        if (owner != HostId())
            byOwner[owner].items.push_back({ attempt.id, attempt.searcher });
    }
    for (auto &[owner, cancels] : byOwner)
        this->context.sendCancels(owner, std::move(cancels));
}

void EntryHost::armTimer(QueryId id)
{
    Running &entry = this->running.at(id);
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
        found->second.eventAt = SteadyClock::now();
        found->second.query->onTimer(found->second.eventAt, actions);
        this->perform(id, actions);
    });
}

void EntryHost::onResult(AttemptResult &&result)
{
    const auto found = this->running.find(result.id.query);
    if (found == this->running.end())
        return;
    QueryActions actions;
    found->second.eventAt = SteadyClock::now();
    found->second.query->onResult(found->second.eventAt, result, actions);
    this->perform(result.id.query, actions);
}

void EntryHost::finish(QueryId id, const Answer &answer)
{
    Running &entry = this->running.at(id);
    const Millis now = SteadyClock::now();
    const Millis took = now - entry.query->startedAt();
    this->checkOutliers();
    Metrics &metrics = this->context.metrics;
    metrics.add(Timing::Query, took);
    metrics.add(answer.outcome.succeeded() ? Counter::Answered : Counter::Failed);
    metrics.add(Counter::Restarts, answer.restarts);
    if (!answer.coverage.complete())
        metrics.add(Counter::Incomplete);
    const bool late = now > entry.query->queryPlan().target && !answer.coverage.complete();
    entry.pool->admission.onEnd(now, took, entry.query->sawRefusal(), late);
    const std::shared_ptr<const World> world = entry.world;
    const AddressOf addressOf = [world](SearcherId searcher) {
        const auto place = world->searchers.find(searcher);
        return place == world->searchers.end() ? std::string("unknown")
                                               : place->second.searcher->address;
    };
    HttpAnswer written
            = writeAnswer(answer, entry.request.route->kind, entry.request.forward.requestId,
                          entry.pool->admission.retryAfter(), entry.request.explain, addressOf);
    if (entry.trace.sampled) {
        written.fields.push_back({ "traceparent", formatTraceparent(entry.trace) });
        this->traceQuery(entry, answer, entry.eventAt);
    }
    const auto reply = std::move(entry.reply);
    this->context.loop.cancel(entry.timer);
    this->running.erase(id);
    reply(written);
}

void EntryHost::traceQuery(const Running &entry, const Answer &answer, Millis mergedAt)
{
    Span span;
    span.parent = entry.trace;
    span.parent.span = entry.callerSpan;
    span.id = entry.trace.span;
    span.name = "entry";
    span.start = entry.query->startedAt();
    span.end = SteadyClock::now();
    span.attributes = { { "route", entry.request.route->name },
                        { "request_id", entry.request.forward.requestId },
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

void EntryHost::applyReport(const SearcherReport &report, PoolState &state)
{
    state.book.report(report.searcher, report.holdings);
    const std::shared_ptr<const World> world = this->context.world.read();
    state.book.setDraining(report.searcher,
                           report.draining || world->leaving.contains(report.searcher));
}

void EntryHost::onReports(const std::vector<SearcherReport> &news)
{
    for (const SearcherReport &report : news)
        this->reports[report.searcher] = report;
    const std::shared_ptr<const World> world = this->context.world.read();
    if (!world || !world->tables)
        return;
    for (const SearcherReport &report : news) {
        const auto place = world->searchers.find(report.searcher);
        if (place == world->searchers.end())
            continue;
        const auto pool = this->pools.find(place->second.searcher->pool);
        if (pool != this->pools.end())
            this->applyReport(report, *pool->second);
    }
    for (const auto &[name, state] : this->pools)
        this->checkVersionConflicts(name, *state);
}

void EntryHost::checkOutliers()
{
    const Millis now = SteadyClock::now();
    if (now < this->nextOutlierCheck)
        return;
    this->nextOutlierCheck = now + outlierPeriod;
    for (const auto &[name, state] : this->pools) {
        for (const SearcherId outlier : state->chooser.outliers(outlierFactor)) {
            const auto world = this->context.world.read();
            const auto place = world->searchers.find(outlier);
            if (place != world->searchers.end())
                logEvent(LogEvent::Outlier,
                         "searcher=" + place->second.searcher->address + " pool=" + name);
        }
    }
}

void EntryHost::checkVersionConflicts(const std::string &pool, PoolState &state)
{
    for (const VersionId version : state.book.conflicts())
        logEvent(LogEvent::VersionConflict,
                 "pool=" + pool + " version=" + std::to_string(version.value));
}

void EntryHost::syncPool(const World &world, const Pool &pool, PoolState &state)
{
    std::vector<SearcherId> ids;
    ids.reserve(pool.searchers.size());
    for (const Searcher &searcher : pool.searchers)
        ids.push_back(searcher.id());
    state.book.setMembers(ids);
    state.chooser.keepOnly(ids);
    const Millis now = SteadyClock::now();
    for (const Searcher &searcher : pool.searchers) {
        // There and back.
        const bool near = searcher.zone == this->context.zone;
        const Millis zoneCost = near ? Millis(0) : this->context.zoneCost * 2;
        state.chooser.setSearcher(searcher.id(), searcher.slots, zoneCost, now);
        const auto report = this->reports.find(searcher.id());
        if (report != this->reports.end())
            this->applyReport(report->second, state);
        else
            state.book.setDraining(searcher.id(), world.leaving.contains(searcher.id()));
    }
}

void EntryHost::onWorld()
{
    const std::shared_ptr<const World> world = this->context.world.read();
    if (!world || !world->tables || world->generation == this->syncedGeneration)
        return;
    this->syncedGeneration = world->generation;
    this->once.onOwnership(world->ownership);
    for (const Pool &pool : world->tables->pools)
        this->syncPool(*world, pool, this->poolState(pool));
}

void EntryHost::onRelayLost(HostId host)
{
    this->once.onHostLost(host);
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
