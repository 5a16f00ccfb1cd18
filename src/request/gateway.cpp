#include "request/gateway.h"

#include "process/eventlog.h"
#include "quetzal/fault.h"
#include "quetzal/steadyclock.h"
#include "request/recordmerge.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace quetzal {

static constexpr int statusOk = 200;
static constexpr int statusNotFound = 404;
static constexpr int statusBadGateway = 502;
static constexpr int statusUnavailable = 503;
static constexpr int statusGatewayTimeout = 504;
static constexpr Millis sweepPeriod = Millis(50);
// Time between the end of a request's work here and the caller's receipt of the answer.
static constexpr Millis answerTransit = Millis(6);
// Margin that keeps the sum of all hosts within the budget.
static constexpr double budgetShare = 0.8;
static constexpr std::uint32_t mostConnections = 2;
static constexpr const char *retryAfterSeconds = "0.1";

Gateway::Gateway(EventLoop &loop, Metrics &metrics, const Dialect &dialect, const ServingView &view,
                 const GatewayOptions &options)
    : loop(loop)
    , metrics(metrics)
    , dialect(dialect)
    , view(view)
    , options(options)
    , hosts(std::max(1U, options.assumedHosts))
{
    this->sweepTimer
            = this->loop.schedule(SteadyClock::now() + sweepPeriod, [this] { this->sweep(); });
}

Gateway::~Gateway()
{
    this->loop.cancel(this->sweepTimer);
}

void Gateway::onRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    const Millis now = SteadyClock::now();
    this->metrics.add(Counter::Requests);
    const CallerFields fields = this->dialect.readCaller(exchange->request());
    const auto &tables = this->view.tables();
    if (!tables) {
        this->refuse(*exchange, statusUnavailable, Fault::NoVersion, fields);
        return;
    }
    const std::string &target = exchange->request().head.getURI();
    const std::string_view path = std::string_view(target).substr(0, target.find('?'));
    const Route *route = tables->match(exchange->request().head.getMethod(), path, fields.host);
    if (route == nullptr) {
        this->refuse(*exchange, statusNotFound, Fault::NoRoute, fields);
        return;
    }
    this->begin(exchange, *route, fields, now);
}

void Gateway::begin(const std::shared_ptr<HttpExchange> &exchange, const Route &route,
                    const CallerFields &fields, Millis now)
{
    const Millis patience = fields.patience.value_or(route.deadline);
    ScatterPlan plan;
    plan.id = { ++this->lastQuery };
    plan.merged = !route.shardPools.empty();
    plan.repeatable = route.repeatable;
    plan.target = now + route.target - answerTransit;
    plan.deadline = now + std::min(patience - answerTransit, route.deadline);
    plan.minCoverage = route.minCoverage;
    plan.maxAttempts = std::max(1U, route.maxAttempts);
    const auto request = std::make_shared<OutboundRequest>();
    request->method = exchange->request().head.getMethod();
    request->target = exchange->request().head.getURI();
    request->requestId = fields.requestId;
    request->forwarded = fields.forwarded;
    request->body = exchange->request().body;
    request->repeatable = route.repeatable;
    std::unique_ptr<RoutePace> &pace = this->paces[route.name];
    if (!pace)
        pace = std::make_unique<RoutePace>();
    Running &entry = this->running[plan.id];
    entry.scatter = std::make_unique<Scatter>(plan, this->poolsOf(route), *pace);
    entry.exchange = exchange;
    entry.request = request;
    entry.tables = this->view.tables();
    entry.route = &route;
    entry.pace = pace.get();
    entry.arrivedAt = now;
    entry.deadline = plan.deadline;
    exchange->onGone([this, id = plan.id] { this->onCallerGone(id); });
    ScatterActions actions;
    entry.scatter->start(now, actions);
    this->perform(plan.id, actions);
}

std::shared_ptr<ShardPool> Gateway::pool(const std::string &name)
{
    std::shared_ptr<ShardPool> &found = this->pools[name];
    if (!found) {
        RetryWindowOptions budget = this->options.retries;
        budget.ratio *= budgetShare;
        budget.slack = budget.slack * budgetShare / this->hosts;
        found = std::make_shared<ShardPool>(name, budget, stableHash(name, this->options.seed));
    }
    return found;
}

std::vector<std::shared_ptr<ShardPool>> Gateway::poolsOf(const Route &route)
{
    std::vector<std::shared_ptr<ShardPool>> result;
    for (const std::string &name : route.shardPools)
        result.push_back(this->pool(name));
    if (!result.empty())
        return result;
    result.push_back(this->pool(route.split.empty() ? route.pool : this->pickShare(route)));
    return result;
}

// Smooth weighted round robin: every run of requests keeps the shares.
const std::string &Gateway::pickShare(const Route &route)
{
    SplitState &state = this->splits[route.name];
    if (state.shares != route.split) {
        state.shares = route.split;
        state.credit.assign(route.split.size(), 0);
    }
    double total = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < state.shares.size(); ++i) {
        state.credit[i] += state.shares[i].weight;
        total += state.shares[i].weight;
        if (state.credit[i] > state.credit[best])
            best = i;
    }
    state.credit[best] -= total;
    return route.split[best].pool;
}

Gateway::TargetPtr Gateway::targetOf(const TrackedSearcher &searcher) const
{
    const auto found = this->targets.find(searcher.registration().id);
    if (found != this->targets.end() && found->second->searcher.get() == &searcher)
        return found->second;
    const auto old
            = std::find_if(this->retired.begin(), this->retired.end(), [&](const TargetPtr &item) {
                  return item->searcher.get() == &searcher;
              });
    return old != this->retired.end() ? *old : nullptr;
}

void Gateway::perform(QueryId id, ScatterActions &actions)
{
    const Millis now = SteadyClock::now();
    const auto found = this->running.find(id);
    if (found == this->running.end())
        return;
    Running &entry = found->second;
    // An attempt that is given up in the same event is never sent.
    std::vector<std::pair<TargetPtr, std::uint32_t>> submits;
    for (const ScatterSend &send : actions.send) {
        const TargetPtr target = this->targetOf(*send.searcher);
        entry.sent.emplace_back(target, now);
        if (std::erase(actions.abandon, send.ordinal) > 0)
            continue;
        submits.emplace_back(target, send.ordinal);
        this->metrics.add(send.extra ? Counter::Hedges : Counter::SubRequests);
        if (target)
            target->searcher->onSent({ id, send.ordinal }, send.typical, now);
        if (send.extra && target)
            logEvent(LogEvent::AttemptExtra,
                     "id=" + entry.request->requestId + " pool=" + target->pool->name()
                             + " searcher=" + send.searcher->registration().id
                             + " budget_left=" + std::to_string(target->pool->budget().left(now)));
    }
    for (const std::uint32_t ordinal : actions.abandon) {
        if (entry.sent[ordinal].first)
            entry.sent[ordinal].first->link->abandon({ id, ordinal });
    }
    const auto request = entry.request;
    const Millis deadline = entry.deadline;
    if (actions.answer)
        this->finish(id, std::move(*actions.answer));
    else
        this->armTimer(id);
    // Submitting may end attempts at once, which comes back to this request.
    for (const auto &[target, ordinal] : submits) {
        if (target)
            target->link->submit({ id, ordinal }, request, deadline);
        else
            this->onAttemptEnd(nullptr, { id, ordinal },
                               { Verdict::NotRun, Fault::ConnectFailed, Hop::Entry }, {});
    }
}

void Gateway::onAttemptEnd(const TargetPtr &target, const AttemptId &id, const Outcome &outcome,
                           SearcherReply &&reply)
{
    const Millis now = SteadyClock::now();
    if (target)
        target->searcher->onEnd(id, outcome, now);
    const auto found = this->running.find(id.query);
    if (found == this->running.end())
        return;
    Running &entry = found->second;
    if (outcome.succeeded() && id.ordinal < entry.sent.size())
        entry.pace->add(now, now - entry.sent[id.ordinal].second);
    if (outcome.code) {
        std::ostringstream line;
        line << "id=" << entry.request->requestId
             << " searcher=" << (target ? target->searcher->registration().id : "none")
             << " verdict=" << nameOf(outcome.verdict) << " code=" << outcome.code.message()
             << " status=" << reply.status
             << " ms=" << (now - entry.sent[id.ordinal].second).count();
        logEvent(LogEvent::AttemptFailed, line.str());
    }
    ScatterActions actions;
    entry.scatter->onEnd(now, id.ordinal, outcome, std::move(reply), actions);
    this->perform(id.query, actions);
}

void Gateway::armTimer(QueryId id)
{
    Running &entry = this->running.at(id);
    const Millis next = entry.scatter->nextTimer();
    if (next == entry.timerAt)
        return;
    this->loop.cancel(entry.timer);
    entry.timerAt = next;
    entry.timer = this->loop.schedule(next, [this, id] { this->onTimer(id); });
}

void Gateway::onTimer(QueryId id)
{
    const auto found = this->running.find(id);
    if (found == this->running.end())
        return;
    found->second.timerAt = Millis::never();
    ScatterActions actions;
    found->second.scatter->onTimer(SteadyClock::now(), actions);
    this->perform(id, actions);
}

void Gateway::onCallerGone(QueryId id)
{
    const auto found = this->running.find(id);
    if (found == this->running.end())
        return;
    this->metrics.add(Counter::CallersGone);
    ScatterActions actions;
    found->second.scatter->onCallerGone(actions);
    this->perform(id, actions);
    this->loop.cancel(found->second.timer);
    logEvent(LogEvent::CallerGone, "id=" + found->second.request->requestId);
    this->running.erase(id);
}

void Gateway::finish(QueryId id, ScatterAnswer &&answer)
{
    // The entry stays until the caller of this function is done with it.
    auto node = this->running.extract(id);
    Running &entry = node.mapped();
    this->loop.cancel(entry.timer);
    this->metrics.add(Timing::Query, SteadyClock::now() - entry.arrivedAt);
    bool answered = false;
    if (answer.outcome.succeeded() && !entry.route->shardPools.empty()) {
        answered = this->respondMerged(entry, answer);
    } else if (answer.replies.size() == 1 && answer.replies.front()) {
        const SearcherReply &reply = *answer.replies.front();
        entry.exchange->respond(reply.status, reply.fields, reply.body, "");
        this->logRequest(entry, reply.status, answer);
        answered = true;
    }
    this->metrics.add(answered ? Counter::Answered : Counter::Failed);
    if (answer.missing > 0 && answered)
        this->metrics.add(Counter::Incomplete);
    if (!answered)
        this->respondFailure(entry, answer);
    this->loop.post([kept = std::make_shared<decltype(node)>(std::move(node))] {});
}

bool Gateway::respondMerged(const Running &entry, const ScatterAnswer &answer)
{
    std::vector<std::string_view> seals;
    std::vector<std::string_view> bodies;
    std::set<std::string_view> seen;
    for (const auto &reply : answer.replies) {
        if (!reply || !seen.insert(reply->seal).second)
            continue;
        seals.push_back(reply->seal);
        bodies.push_back(reply->body);
    }
    const std::size_t total = answer.replies.size();
    static constexpr double rounding = 1e-9;
    if (static_cast<double>(seals.size()) + rounding
        < entry.route->minCoverage * static_cast<double>(total))
        return false;
    entry.exchange->respond(statusOk, this->dialect.partFields(seals, total - seals.size()),
                            mergeRecords(bodies, entry.route->resultSize),
                            "application/octet-stream");
    this->logRequest(entry, statusOk, answer);
    return true;
}

static std::string failureBody(const std::error_code &code, Verdict verdict)
{
    return "{\"error\":\"" + code.message() + "\",\"verdict\":\"" + std::string(nameOf(verdict))
           + "\"}";
}

void Gateway::respondFailure(const Running &entry, const ScatterAnswer &answer)
{
    const std::error_code code
            = answer.outcome.code ? answer.outcome.code : make_error_code(Fault::BelowCoverage);
    const std::string body = failureBody(code, answer.outcome.verdict);
    if (answer.outcome.verdict == Verdict::NotRun) {
        entry.exchange->respond(statusUnavailable, { { "Retry-After", retryAfterSeconds } }, body);
        this->logRequest(entry, statusUnavailable, answer);
        return;
    }
    const int status = code == Fault::DeadlinePassed ? statusGatewayTimeout : statusBadGateway;
    entry.exchange->respond(status, {}, body);
    this->logRequest(entry, status, answer);
}

void Gateway::refuse(HttpExchange &exchange, int status, Fault fault, const CallerFields &fields)
{
    this->metrics.add(Counter::Refused);
    std::vector<HttpField> extra;
    if (status == statusUnavailable)
        extra.push_back({ "Retry-After", retryAfterSeconds });
    exchange.respond(status, extra, failureBody(fault, Verdict::NotRun));
    logEvent(LogEvent::RequestRefused,
             "id=" + fields.requestId + " status=" + std::to_string(status)
                     + " code=" + make_error_code(fault).message() + " host=" + fields.host
                     + " tables=" + std::to_string(this->view.tablesRevision().value));
}

void Gateway::logRequest(const Running &entry, int status, const ScatterAnswer &answer) const
{
    std::ostringstream line;
    line << "id=" << entry.request->requestId << " route=" << entry.route->name
         << " status=" << status << " verdict=" << nameOf(answer.outcome.verdict);
    if (answer.outcome.code)
        line << " code=" << answer.outcome.code.message();
    line << " parts=" << answer.replies.size() - answer.missing << "/" << answer.replies.size()
         << " sent=" << answer.sent << " hedges=" << answer.hedges << " retries=" << answer.retries
         << " ms=" << (SteadyClock::now() - entry.arrivedAt).count()
         << " tables=" << entry.tables->revision.value << " directory=" << this->view.revision();
    logEvent(LogEvent::RequestEnded, line.str());
}

Gateway::TargetPtr Gateway::makeTarget(const DirectoryRecord &record, Millis now)
{
    const DirectoryEntry &entry = record.entry;
    const auto target = std::make_shared<Target>();
    const Millis distance
            = entry.zone == this->options.zone ? Millis(0) : this->options.zoneDistance;
    target->searcher = std::make_shared<TrackedSearcher>(entry, distance, now);
    target->pool = this->pool(entry.pool);
    SearcherLinkCallbacks callbacks;
    const std::weak_ptr<Target> weak = target;
    callbacks.onEnd
            = [this, weak](const AttemptId &id, const Outcome &outcome, SearcherReply &&reply) {
                  this->onAttemptEnd(weak.lock(), id, outcome, std::move(reply));
              };
    callbacks.onLoad = [weak](const LoadReport &report) {
        if (const auto held = weak.lock())
            held->searcher->onLoad(report, SteadyClock::now());
    };
    target->link = std::make_shared<SearcherLink>(this->loop, this->metrics, this->dialect,
                                                  entry.id, entry.address, std::move(callbacks));
    this->applyLimits(*target);
    target->pool->add(target->searcher);
    return target;
}

void Gateway::applyLimits(Target &target) const
{
    std::uint32_t cap = mostConnections;
    if (this->view.tables()) {
        const Pool *pool = this->view.tables()->pool(target.pool->name());
        if (pool != nullptr)
            cap = std::max(1U, pool->connectionCap / this->hosts);
    }
    cap = std::min(cap, mostConnections);
    target.searcher->setConnectionLimit(cap);
    target.link->setConnectionLimit(cap);
}

void Gateway::onView()
{
    const Millis now = SteadyClock::now();
    for (const auto &[id, record] : this->view.directory().records()) {
        const auto found = this->targets.find(id);
        const bool ended = record.entry.state == SearcherState::Gone;
        if (found == this->targets.end()) {
            if (ended || now >= this->view.lastUse(record))
                continue;
            this->targets[id] = this->makeTarget(record, now);
            logEvent(LogEvent::SearcherRegistered,
                     "searcher=" + id + " address=" + record.entry.address
                             + " pool=" + record.entry.pool
                             + " revision=" + std::to_string(record.entry.revision));
            continue;
        }
        TargetPtr &target = found->second;
        const DirectoryEntry &known = target->searcher->registration();
        if (!known.isSameLife(record.entry) && !ended) {
            target->pool->remove(*target->searcher);
            target->link->retire();
            this->retired.push_back(target);
            target = this->makeTarget(record, now);
        }
        if (known.state != record.entry.state)
            logEvent(LogEvent::SearcherState,
                     "searcher=" + id + " state="
                             + std::string(searcherStateNames[static_cast<std::size_t>(
                                     record.entry.state)])
                             + " revision=" + std::to_string(record.entry.revision));
        target->searcher->update(record.entry, this->view.lastUse(record));
    }
    for (const auto &[id, target] : this->targets)
        this->applyLimits(*target);
}

void Gateway::setHosts(std::uint32_t count)
{
    if (count == this->hosts || count == 0)
        return;
    this->hosts = count;
    RetryWindowOptions budget = this->options.retries;
    budget.ratio *= budgetShare;
    budget.slack = budget.slack * budgetShare / this->hosts;
    for (const auto &[name, pool] : this->pools)
        pool->budget().setOptions(budget);
    for (const auto &[id, target] : this->targets)
        this->applyLimits(*target);
}

void Gateway::sweep()
{
    const Millis now = SteadyClock::now();
    for (auto item = this->targets.begin(); item != this->targets.end();) {
        const TargetPtr target = item->second;
        target->link->sweep(now);
        // One whose address was taken over stays known, so that it is not begun anew.
        const bool left = target->searcher->registration().state != SearcherState::Ready;
        if (left && target->searcher->availability(now) == Availability::Closed) {
            target->link->retire();
            target->pool->remove(*target->searcher);
            this->retired.push_back(target);
            item = this->targets.erase(item);
        } else {
            ++item;
        }
    }
    for (const TargetPtr &target : std::vector<TargetPtr>(this->retired))
        target->link->sweep(now);
    std::erase_if(this->retired, [](const TargetPtr &target) {
        return target->link->isIdle() && target->searcher->openAttempts() == 0;
    });
    this->sweepTimer = this->loop.schedule(now + sweepPeriod, [this] { this->sweep(); });
}

void Gateway::onPaused()
{
    for (const auto &[id, target] : std::map<std::string, TargetPtr, std::less<>>(this->targets))
        target->link->expireWaiting();
}

} // namespace quetzal
