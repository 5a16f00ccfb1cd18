#include "request/scatterexecutor.h"

#include "process/eventlog.h"
#include "quetzal/fault.h"
#include "quetzal/steadyclock.h"

#include <algorithm>
#include <sstream>

namespace quetzal {

static constexpr Millis sweepPeriod = Millis(50);
// Fraction of its part of the budget that a host uses, so that the sum over all hosts stays
// within the budget.
static constexpr double budgetMargin = 0.8;
// Maximum number of connections from this host to one searcher.
static constexpr std::uint32_t maxConnectionsPerSearcher = 2;
// Time for which it is remembered that an incarnation of a searcher is leaving. Without a start
// time its next incarnation looks the same, so it is tried again sooner.
static constexpr Millis leavingRetention = Millis(600'000);
static constexpr Millis unknownStartLeavingTime = Millis(30'000);
// An attempt that has less than this fraction of the route's typical latency left is not started,
// as its answer would be too late.
static constexpr double minServiceShare = 0.7;

ScatterExecutor::ScatterExecutor(EventLoop &loop, Metrics &metrics, const HttpCodec &codec,
                                 const ServingView &view, const ScatterExecutorOptions &options)
    : loop(loop)
    , metrics(metrics)
    , codec(codec)
    , view(view)
    , options(options)
    , fleetCapacity(std::max(1U, options.initialFleetCapacity))
{
    // The seed differs between incarnations of the process. Ids start at a multiple of it, so that
    // ids of different incarnations do not match.
    static constexpr int incarnationShift = 24;
    this->lastQuery = options.seed << incarnationShift;
    this->sweepTimer
            = this->loop.schedule(SteadyClock::now() + sweepPeriod, [this] { this->sweep(); });
}

ScatterExecutor::~ScatterExecutor()
{
    this->loop.cancel(this->sweepTimer);
}

RetryBudgetOptions ScatterExecutor::localRetryBudget() const
{
    RetryBudgetOptions budget = this->options.retries;
    budget.ratio *= budgetMargin;
    budget.slack = budget.slack * budgetMargin / this->fleetCapacity;
    return budget;
}

std::shared_ptr<ShardPool> ScatterExecutor::pool(const std::string &name)
{
    std::shared_ptr<ShardPool> &found = this->pools[name];
    if (!found)
        found = std::make_shared<ShardPool>(name, this->localRetryBudget(),
                                            stableHash(name, this->options.seed));
    return found;
}

void ScatterExecutor::start(ScatterRequest &&request)
{
    const QueryId id = request.plan.id;
    RunningRequest &entry = this->requests[id];
    entry.scatter
            = std::make_unique<Scatter>(request.plan, std::move(request.pools),
                                        *request.routeLatency, std::move(request.allowedSearchers));
    entry.request = std::move(request.request);
    entry.routeLatency = request.routeLatency;
    entry.target = request.plan.merged ? request.plan.target : request.plan.deadline;
    entry.deadline = request.plan.deadline;
    entry.done = std::move(request.done);
    ScatterActions actions;
    entry.scatter->start(SteadyClock::now(), actions);
    this->applyActions(id, actions);
}

void ScatterExecutor::abandon(QueryId id)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    ScatterActions actions;
    found->second.scatter->onCallerGone(actions);
    this->applyActions(id, actions);
    this->loop.cancel(found->second.timer);
    this->requests.erase(id);
}

ScatterExecutor::TargetPtr ScatterExecutor::targetOf(const TrackedSearcher &searcher) const
{
    const auto found = this->targets.find(searcher.registration().id);
    if (found != this->targets.end() && found->second->searcher.get() == &searcher)
        return found->second;
    const auto retiredTarget
            = std::find_if(this->retired.begin(), this->retired.end(), [&](const TargetPtr &item) {
                  return item->searcher.get() == &searcher;
              });
    return retiredTarget != this->retired.end() ? *retiredTarget : nullptr;
}

void ScatterExecutor::recordSend(QueryId id, const ScatterSend &send, const TargetPtr &target,
                                 Millis now)
{
    // Retries are counted as hedges.
    this->metrics.add(send.isExtra ? Counter::Hedges : Counter::SubRequests);
    if (!target)
        return;
    target->searcher->onSent({ id, send.ordinal }, send.typicalLatency, now);
    if (send.isExtra)
        logEvent(LogEvent::AttemptExtra,
                 "id=" + this->requests.at(id).request->requestId + " pool=" + target->pool->name()
                         + " searcher=" + send.searcher->registration().id
                         + " budget_left=" + std::to_string(target->pool->budget().remaining(now)));
}

void ScatterExecutor::applyActions(QueryId id, ScatterActions &actions)
{
    const Millis now = SteadyClock::now();
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    RunningRequest &entry = found->second;
    // An attempt that is started and abandoned by the same event is not sent.
    std::vector<std::pair<TargetPtr, std::uint32_t>> submits;
    for (const ScatterSend &send : actions.send) {
        const TargetPtr target = this->targetOf(*send.searcher);
        entry.sent.emplace_back(target, now);
        if (std::erase(actions.abandon, send.ordinal) > 0)
            continue;
        submits.emplace_back(target, send.ordinal);
        this->recordSend(id, send, target, now);
    }
    for (const std::uint32_t ordinal : actions.abandon) {
        if (entry.sent[ordinal].first)
            entry.sent[ordinal].first->link->abandon({ id, ordinal });
    }
    const auto request = entry.request;
    const Millis deadline = entry.deadline;
    // After the target time an answer is late in any case, and useful until the deadline.
    const Millis usefulUntil = now < entry.target ? entry.target : deadline;
    const Millis startBy = usefulUntil - entry.routeLatency->typical(now) * minServiceShare;
    if (actions.answer)
        this->finish(id, std::move(*actions.answer));
    else
        this->armTimer(id);
    // Comes last: submit may end attempts synchronously, which calls back into this request.
    for (const auto &[target, ordinal] : submits) {
        if (target)
            target->link->submit({ id, ordinal }, request, deadline,
                                 std::min(startBy, target->searcher->sendableUntil()));
        else
            this->onAttemptEnd(nullptr, { id, ordinal },
                               { Verdict::NotRun, Fault::ConnectFailed, Hop::Entry }, {});
    }
}

void ScatterExecutor::onAttemptEnd(const TargetPtr &target, const AttemptId &id,
                                   const Outcome &outcome, SearcherReply &&reply)
{
    const Millis now = SteadyClock::now();
    if (target)
        target->searcher->onEnd(id, outcome, now);
    const auto found = this->requests.find(id.query);
    if (found == this->requests.end())
        return;
    RunningRequest &entry = found->second;
    // The time of an attempt over a pause of this process is not the searcher's.
    if (outcome.succeeded() && id.ordinal < entry.sent.size()
        && entry.sent[id.ordinal].second >= this->pausedUntil)
        entry.routeLatency->add(now, now - entry.sent[id.ordinal].second);
    if (outcome.code == Fault::DeadlineTooShort)
        entry.routeLatency->addGivenUp();
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
    this->updateAccount(id.query, entry);
    this->applyActions(id.query, actions);
}

void ScatterExecutor::updateAccount(QueryId id, RunningRequest &entry)
{
    const std::size_t bytes = entry.scatter->keptBytes();
    if (!this->memoryBudget || (bytes == 0 && !entry.account))
        return;
    if (!entry.account)
        entry.account = std::make_unique<MemoryAccount>(this->memoryBudget, [this, id] {
            const auto found = this->requests.find(id);
            if (found == this->requests.end())
                return;
            found->second.scatter->dropKept();
            found->second.account.reset();
        });
    entry.account->set(bytes, SteadyClock::now());
}

void ScatterExecutor::armTimer(QueryId id)
{
    RunningRequest &entry = this->requests.at(id);
    const Millis next = entry.scatter->nextTimer();
    if (next == entry.timerAt)
        return;
    this->loop.cancel(entry.timer);
    entry.timerAt = next;
    entry.timer = this->loop.schedule(next, [this, id] { this->onTimer(id); });
}

void ScatterExecutor::onTimer(QueryId id)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    found->second.timerAt = Millis::never();
    ScatterActions actions;
    found->second.scatter->onTimer(SteadyClock::now(), actions);
    this->applyActions(id, actions);
}

void ScatterExecutor::finish(QueryId id, ScatterAnswer &&answer)
{
    // Functions further up the call stack may still use the request, so it is destroyed by a posted
    // task.
    auto node = this->requests.extract(id);
    this->loop.cancel(node.mapped().timer);
    const auto done = std::move(node.mapped().done);
    this->loop.post([kept = std::make_shared<decltype(node)>(std::move(node))] {});
    done(std::move(answer));
}

ScatterExecutor::TargetPtr ScatterExecutor::makeTarget(const DirectoryRecord &record, Millis now)
{
    const SearcherRegistration &registration = record.registration;
    auto target = std::make_shared<Target>();
    const bool isNear = registration.zone == this->options.zone;
    target->searcher = std::make_shared<TrackedSearcher>(
            registration, isNear ? Millis() : this->options.zoneRoundTrip, now,
            isNear ? Millis() : this->options.zonePenalty);
    this->applyLeaving(*target->searcher);
    target->pool = this->pool(registration.pool);
    SearcherLinkCallbacks callbacks;
    const std::weak_ptr<Target> weak = target;
    callbacks.onEnd
            = [this, weak](const AttemptId &id, const Outcome &outcome, SearcherReply &&reply) {
                  this->onAttemptEnd(weak.lock(), id, outcome, std::move(reply));
              };
    callbacks.onLoad = [weak](const LoadReport &report) {
        if (const auto locked = weak.lock())
            locked->searcher->onLoad(report, SteadyClock::now());
    };
    callbacks.onStatement
            = [this, weak](const SearcherStatement &statement, const std::string &requestId) {
                  if (const auto locked = weak.lock())
                      this->onStatement(*locked, statement, requestId);
              };
    static constexpr std::uint64_t tokenSteps = 1000;
    const std::uint64_t hash = stableHash(registration.id, this->options.seed);
    target->searcher->rateShare().setInitialTokens(static_cast<double>(hash % tokenSteps)
                                                   / tokenSteps);
    target->link = std::make_shared<SearcherLink>(this->loop, this->metrics, this->codec,
                                                  registration.id, registration.address,
                                                  std::move(callbacks));
    target->link->setMemoryBudget(this->memoryBudget);
    this->applyMaxConnections(*target);
    target->pool->add(target->searcher);
    return target;
}

void ScatterExecutor::onStatement(const Target &target, const SearcherStatement &statement,
                                  const std::string &requestId)
{
    const Millis now = SteadyClock::now();
    const bool isChanged = target.searcher->onStatement(statement, now);
    if (isChanged) {
        std::ostringstream line;
        line << "searcher=" << target.searcher->registration().id << " pool=" << target.pool->name()
             << " request_limit=";
        if (statement.requestLimit)
            line << *statement.requestLimit;
        else
            line << "none";
        line << " leaving=" << target.searcher->isKnownToLeave()
             << " pause_ms=" << statement.pause.value_or(Millis()).count() << " id=" << requestId;
        logEvent(LogEvent::SearcherStatementChanged, line.str());
    }
    const auto current = this->targets.find(target.searcher->registration().id);
    const bool isReplaced = current != this->targets.end() && current->second.get() != &target;
    if (statement.leaving && !isReplaced && this->markLeaving(target.searcher->registration())
        && this->leavingReporter)
        this->leavingReporter(*target.searcher);
    // Attempts that have not been sent yet go to other searchers.
    if (statement.leaving || statement.pause)
        target.link->failWaiting(statement.leaving ? Fault::Draining : Fault::Shed);
}

bool ScatterExecutor::markLeaving(const SearcherRegistration &registration)
{
    const Millis now = SteadyClock::now();
    std::erase_if(this->leavingSearchers,
                  [now](const auto &item) { return now >= item.second.until; });
    const bool hasStartTime = registration.startTimeUnixMs != 0;
    LeavingSearcher &entry = this->leavingSearchers[registration.id];
    // A late report of an earlier incarnation.
    if (registration.startTimeUnixMs < entry.startTimeUnixMs)
        return false;
    const bool isNew = entry.startTimeUnixMs != registration.startTimeUnixMs || now >= entry.until;
    entry.startTimeUnixMs = registration.startTimeUnixMs;
    if (isNew)
        entry.until = now + (hasStartTime ? leavingRetention : unknownStartLeavingTime);
    const auto found = this->targets.find(registration.id);
    if (found != this->targets.end())
        this->applyLeaving(*found->second->searcher);
    return isNew;
}

void ScatterExecutor::applyLeaving(TrackedSearcher &searcher) const
{
    const auto found = this->leavingSearchers.find(searcher.registration().id);
    if (found != this->leavingSearchers.end()
        && found->second.startTimeUnixMs == searcher.registration().startTimeUnixMs)
        searcher.setLeaving(found->second.until);
}

void ScatterExecutor::onLeavingReport(HostId host, const std::string &searcher,
                                      std::uint64_t startTimeUnixMs)
{
    SearcherRegistration registration;
    registration.id = searcher;
    registration.startTimeUnixMs = startTimeUnixMs;
    if (!this->markLeaving(registration))
        return;
    logEvent(LogEvent::SearcherStatementChanged,
             "searcher=" + searcher + " leaving=1 host=" + std::to_string(host.value));
    const auto found = this->targets.find(searcher);
    if (found != this->targets.end()
        && found->second->searcher->registration().startTimeUnixMs == startTimeUnixMs)
        TargetPtr(found->second)->link->failWaiting(Fault::Draining);
}

void ScatterExecutor::applyMaxConnections(Target &target) const
{
    std::uint32_t maxConnections = maxConnectionsPerSearcher;
    if (this->view.tables()) {
        const Pool *pool = this->view.tables()->pool(target.pool->name());
        if (pool != nullptr)
            maxConnections = std::max(
                    1U, static_cast<std::uint32_t>(pool->connectionCap / this->fleetCapacity));
    }
    maxConnections = std::min(maxConnections, maxConnectionsPerSearcher);
    target.searcher->rateShare().setDefaultPart(1 / this->fleetCapacity);
    target.searcher->setMaxConnections(maxConnections);
    target.link->setMaxConnections(maxConnections);
}

void ScatterExecutor::retire(const TargetPtr &target)
{
    target->pool->remove(*target->searcher);
    target->link->retire();
    this->retired.push_back(target);
}

void ScatterExecutor::applyRecord(const DirectoryRecord &record, Millis now)
{
    const SearcherRegistration &registration = record.registration;
    const auto found = this->targets.find(registration.id);
    const bool isGone = registration.state == SearcherState::Gone;
    if (found == this->targets.end()) {
        if (isGone || now >= this->view.lastResortUntil(record))
            return;
        this->targets[registration.id] = this->makeTarget(record, now);
        logEvent(LogEvent::SearcherRegistered,
                 "searcher=" + registration.id + " address=" + registration.address
                         + " pool=" + registration.pool
                         + " revision=" + std::to_string(registration.revision));
        return;
    }
    TargetPtr &target = found->second;
    const SearcherState previousState = target->searcher->registration().state;
    if (!isGone && !target->searcher->registration().isSameIncarnation(registration)) {
        // Made first, so that the former one stays in use if this fails.
        const TargetPtr next = this->makeTarget(record, now);
        this->retire(target);
        target = next;
    }
    if (previousState != registration.state)
        logEvent(LogEvent::SearcherState,
                 "searcher=" + registration.id + " state="
                         + std::string(
                                 searcherStateNames[static_cast<std::size_t>(registration.state)])
                         + " revision=" + std::to_string(registration.revision));
    target->searcher->update(registration, this->view.lastResortUntil(record), now);
}

void ScatterExecutor::onViewChanged()
{
    const Millis now = SteadyClock::now();
    for (const auto &[id, record] : this->view.directory().records()) {
        try {
            this->applyRecord(record, now);
        } catch (const std::exception &failure) {
            // The other searchers must not depend on this one.
            logEvent(LogEvent::RegistrationDropped,
                     "key=" + quotable(id) + " reason=\"" + describe(failure) + "\"");
        }
    }
    for (const auto &[id, target] : this->targets)
        this->applyTables(*target, now);
    this->failWaitingForLeaving();
}

void ScatterExecutor::applyTables(Target &target, Millis now) const
{
    this->applyMaxConnections(target);
    TrackedSearcher &searcher = *target.searcher;
    searcher.setEvacuated(this->view.isEvacuated(searcher.registration().zone));
    const Pool *pool
            = this->view.tables() ? this->view.tables()->pool(target.pool->name()) : nullptr;
    searcher.setWarmupRate(pool != nullptr ? pool->warmupRate : 0);
    searcher.refreshWarmupLimit(now);
}

void ScatterExecutor::failWaitingForLeaving()
{
    std::vector<TargetPtr> leaving = this->retired;
    for (const auto &[id, target] : this->targets) {
        if (target->searcher->registration().state != SearcherState::Ready
            || target->searcher->isEvacuated())
            leaving.push_back(target);
    }
    for (const TargetPtr &target : leaving)
        target->link->failWaiting(Fault::Draining);
}

void ScatterExecutor::setFleetCapacity(double capacity)
{
    if (capacity == this->fleetCapacity || capacity < 1)
        return;
    this->fleetCapacity = capacity;
    for (const auto &[name, pool] : this->pools)
        pool->budget().setOptions(this->localRetryBudget());
    for (const auto &[id, target] : this->targets)
        this->applyMaxConnections(*target);
}

void ScatterExecutor::sweep()
{
    const Millis now = SteadyClock::now();
    this->sweepTimer = this->loop.schedule(now + sweepPeriod, [this] { this->sweep(); });
    for (auto item = this->targets.begin(); item != this->targets.end();) {
        const TargetPtr target = item->second;
        target->searcher->refreshWarmupLimit(now);
        target->link->sweep(now);
        // A searcher that is registered as ready stays, even if another one answers at its address:
        // if it were removed, the next change of the view would create it again.
        const bool isLeaving = target->searcher->registration().state != SearcherState::Ready;
        if (isLeaving && target->searcher->availability(now) == Availability::Unavailable) {
            this->retire(target);
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
    this->reportRates(now);
}

void ScatterExecutor::reportRates(Millis now)
{
    for (const auto &[id, target] : this->targets) {
        const std::optional<RateReport> report = target->searcher->rateShare().takeReport(now);
        if (report && this->rateReporter)
            this->rateReporter(*target->searcher, *report);
    }
}

void ScatterExecutor::onRateReport(HostId host, const std::string &searcher,
                                   const RateReport &report)
{
    const auto found = this->targets.find(searcher);
    if (found == this->targets.end())
        return;
    const Millis now = SteadyClock::now();
    RateShare &share = found->second->searcher->rateShare();
    const bool wasLimited = share.limit(now).has_value();
    share.onReport(host, report, now);
    found->second->searcher->refreshWarmupLimit(now);
    if (wasLimited == share.limit(now).has_value())
        return;
    std::ostringstream line;
    line << "searcher=" << searcher << " pool=" << found->second->pool->name() << " request_limit=";
    if (report.limit)
        line << *report.limit;
    else
        line << "none";
    line << " host=" << host.value << " age_ms=" << static_cast<int>(report.age.count());
    logEvent(LogEvent::SearcherStatementChanged, line.str());
}

std::size_t ScatterExecutor::coldSearchers() const
{
    const Millis now = SteadyClock::now();
    return static_cast<std::size_t>(
            std::count_if(this->targets.begin(), this->targets.end(),
                          [&](const auto &item) { return item.second->searcher->isCold(now); }));
}

void ScatterExecutor::onPaused()
{
    this->pausedUntil = SteadyClock::now();
    for (const auto &[id, target] : std::map<std::string, TargetPtr, std::less<>>(this->targets)) {
        target->searcher->clearPause();
        target->link->failWaiting(Fault::ProcessPaused);
    }
}

} // namespace quetzal
