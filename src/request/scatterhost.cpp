#include "request/scatterhost.h"

#include "process/eventlog.h"
#include "quetzal/fault.h"
#include "quetzal/steadyclock.h"

#include <algorithm>
#include <sstream>

namespace quetzal {

static constexpr Millis sweepPeriod = Millis(50);
// Margin that keeps the sum of all hosts within the budget.
static constexpr double budgetShare = 0.8;
static constexpr std::uint32_t mostConnections = 2;
// Part of the typical latency below which an attempt cannot be answered in time.
static constexpr double leastServiceShare = 0.7;

ScatterHost::ScatterHost(EventLoop &loop, Metrics &metrics, const Dialect &dialect,
                         const ServingView &view, const ScatterHostOptions &options)
    : loop(loop)
    , metrics(metrics)
    , dialect(dialect)
    , view(view)
    , options(options)
    , hosts(std::max(1U, options.assumedHosts))
{
    // Numbers of one life must not be taken for those of another.
    static constexpr int lifeShift = 24;
    this->lastQuery = options.seed << lifeShift;
    this->sweepTimer
            = this->loop.schedule(SteadyClock::now() + sweepPeriod, [this] { this->sweep(); });
}

ScatterHost::~ScatterHost()
{
    this->loop.cancel(this->sweepTimer);
}

RetryWindowOptions ScatterHost::ownBudget() const
{
    RetryWindowOptions budget = this->options.retries;
    budget.ratio *= budgetShare;
    budget.slack = budget.slack * budgetShare / this->hosts;
    return budget;
}

std::shared_ptr<ShardPool> ScatterHost::pool(const std::string &name)
{
    std::shared_ptr<ShardPool> &found = this->pools[name];
    if (!found)
        found = std::make_shared<ShardPool>(name, this->ownBudget(),
                                            stableHash(name, this->options.seed));
    return found;
}

void ScatterHost::start(ScatterStart &&request)
{
    const QueryId id = request.plan.id;
    Running &entry = this->requests[id];
    entry.scatter = std::make_unique<Scatter>(request.plan, std::move(request.pools), *request.pace,
                                              std::move(request.allowed));
    entry.request = std::move(request.request);
    entry.pace = request.pace;
    entry.target = request.plan.merged ? request.plan.target : request.plan.deadline;
    entry.deadline = request.plan.deadline;
    entry.done = std::move(request.done);
    ScatterActions actions;
    entry.scatter->start(SteadyClock::now(), actions);
    this->perform(id, actions);
}

void ScatterHost::abandon(QueryId id)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    ScatterActions actions;
    found->second.scatter->onCallerGone(actions);
    this->perform(id, actions);
    this->loop.cancel(found->second.timer);
    this->requests.erase(id);
}

ScatterHost::TargetPtr ScatterHost::targetOf(const TrackedSearcher &searcher) const
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

void ScatterHost::recordSend(QueryId id, const ScatterSend &send, const TargetPtr &target,
                             Millis now)
{
    this->metrics.add(send.extra ? Counter::Hedges : Counter::SubRequests);
    if (!target)
        return;
    target->searcher->onSent({ id, send.ordinal }, send.typical, now);
    if (send.extra)
        logEvent(LogEvent::AttemptExtra,
                 "id=" + this->requests.at(id).request->requestId + " pool=" + target->pool->name()
                         + " searcher=" + send.searcher->registration().id
                         + " budget_left=" + std::to_string(target->pool->budget().left(now)));
}

void ScatterHost::perform(QueryId id, ScatterActions &actions)
{
    const Millis now = SteadyClock::now();
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
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
        this->recordSend(id, send, target, now);
    }
    for (const std::uint32_t ordinal : actions.abandon) {
        if (entry.sent[ordinal].first)
            entry.sent[ordinal].first->link->abandon({ id, ordinal });
    }
    const auto request = entry.request;
    const Millis deadline = entry.deadline;
    // After the target any answer is late, and as good as another.
    const Millis usefulUntil = now < entry.target ? entry.target : deadline;
    const Millis startBy = usefulUntil - entry.pace->typical() * leastServiceShare;
    if (actions.answer)
        this->finish(id, std::move(*actions.answer));
    else
        this->armTimer(id);
    // Submitting may end attempts at once, which comes back to this request.
    for (const auto &[target, ordinal] : submits) {
        if (target)
            target->link->submit({ id, ordinal }, request, deadline, startBy);
        else
            this->onAttemptEnd(nullptr, { id, ordinal },
                               { Verdict::NotRun, Fault::ConnectFailed, Hop::Entry }, {});
    }
}

void ScatterHost::onAttemptEnd(const TargetPtr &target, const AttemptId &id, const Outcome &outcome,
                               SearcherReply &&reply)
{
    const Millis now = SteadyClock::now();
    if (target)
        target->searcher->onEnd(id, outcome, now);
    const auto found = this->requests.find(id.query);
    if (found == this->requests.end())
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

void ScatterHost::armTimer(QueryId id)
{
    Running &entry = this->requests.at(id);
    const Millis next = entry.scatter->nextTimer();
    if (next == entry.timerAt)
        return;
    this->loop.cancel(entry.timer);
    entry.timerAt = next;
    entry.timer = this->loop.schedule(next, [this, id] { this->onTimer(id); });
}

void ScatterHost::onTimer(QueryId id)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    found->second.timerAt = Millis::never();
    ScatterActions actions;
    found->second.scatter->onTimer(SteadyClock::now(), actions);
    this->perform(id, actions);
}

void ScatterHost::finish(QueryId id, ScatterAnswer &&answer)
{
    // The request stays until the caller of this function is done with it.
    auto node = this->requests.extract(id);
    this->loop.cancel(node.mapped().timer);
    const auto done = std::move(node.mapped().done);
    this->loop.post([kept = std::make_shared<decltype(node)>(std::move(node))] {});
    done(std::move(answer));
}

ScatterHost::TargetPtr ScatterHost::makeTarget(const DirectoryRecord &record, Millis now)
{
    const DirectoryEntry &entry = record.entry;
    auto target = std::make_shared<Target>();
    const bool isNear = entry.zone == this->options.zone;
    target->searcher = std::make_shared<TrackedSearcher>(
            entry, isNear ? Millis() : this->options.zoneDistance, now,
            isNear ? Millis() : this->options.zoneReluctance);
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

void ScatterHost::applyLimits(Target &target) const
{
    std::uint32_t cap = mostConnections;
    if (this->view.tables()) {
        const Pool *pool = this->view.tables()->pool(target.pool->name());
        if (pool != nullptr)
            cap = std::max(1U, static_cast<std::uint32_t>(pool->connectionCap / this->hosts));
    }
    cap = std::min(cap, mostConnections);
    target.searcher->setConnectionLimit(cap);
    target.link->setConnectionLimit(cap);
}

void ScatterHost::retire(const TargetPtr &target)
{
    target->pool->remove(*target->searcher);
    target->link->retire();
    this->retired.push_back(target);
}

void ScatterHost::takeRecord(const DirectoryRecord &record, Millis now)
{
    const DirectoryEntry &entry = record.entry;
    const auto found = this->targets.find(entry.id);
    const bool ended = entry.state == SearcherState::Gone;
    if (found == this->targets.end()) {
        if (ended || now >= this->view.lastUse(record))
            return;
        this->targets[entry.id] = this->makeTarget(record, now);
        logEvent(LogEvent::SearcherRegistered,
                 "searcher=" + entry.id + " address=" + entry.address + " pool=" + entry.pool
                         + " revision=" + std::to_string(entry.revision));
        return;
    }
    TargetPtr &target = found->second;
    const SearcherState before = target->searcher->registration().state;
    if (!ended && !target->searcher->registration().isSameLife(entry)) {
        this->retire(target);
        target = this->makeTarget(record, now);
    }
    if (before != entry.state)
        logEvent(LogEvent::SearcherState,
                 "searcher=" + entry.id + " state="
                         + std::string(searcherStateNames[static_cast<std::size_t>(entry.state)])
                         + " revision=" + std::to_string(entry.revision));
    target->searcher->update(entry, this->view.lastUse(record));
}

void ScatterHost::onView()
{
    const Millis now = SteadyClock::now();
    for (const auto &[id, record] : this->view.directory().records())
        this->takeRecord(record, now);
    for (const auto &[id, target] : this->targets)
        this->applyLimits(*target);
}

void ScatterHost::setHosts(double equals)
{
    if (equals == this->hosts || equals < 1)
        return;
    this->hosts = equals;
    for (const auto &[name, pool] : this->pools)
        pool->budget().setOptions(this->ownBudget());
    for (const auto &[id, target] : this->targets)
        this->applyLimits(*target);
}

void ScatterHost::sweep()
{
    const Millis now = SteadyClock::now();
    for (auto item = this->targets.begin(); item != this->targets.end();) {
        const TargetPtr target = item->second;
        target->link->sweep(now);
        // One whose address was taken over stays known, so that it is not begun anew.
        const bool left = target->searcher->registration().state != SearcherState::Ready;
        if (left && target->searcher->availability(now) == Availability::Closed) {
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
    this->sweepTimer = this->loop.schedule(now + sweepPeriod, [this] { this->sweep(); });
}

void ScatterHost::onPaused()
{
    for (const auto &[id, target] : std::map<std::string, TargetPtr, std::less<>>(this->targets))
        target->link->expireWaiting();
}

} // namespace quetzal
