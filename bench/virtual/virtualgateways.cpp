#include "bench/virtual/virtualgateways.h"

#include "quetzal/fault.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

// Time to build up the load before requests are counted, and to finish open ones at the end.
static constexpr Millis settlingTime = Millis(3000);
// Time after which the gateway host learns of the end of a cancelled attempt.
static constexpr Millis cancelConfirmTime = Millis(250);
// Time beyond the route's deadline after which the connection of an unanswered request is closed.
static constexpr Millis silenceTimeout = Millis(300);
// Retry budget of all gateway hosts together, reduced by a margin of 20 %: extra attempts as a
// ratio to the requests, and the number allowed regardless of the requests.
static constexpr double retryRatio = 0.2 * 0.8;
static constexpr double retrySlack = 54 * 0.8;
// Added to the cost of a searcher in another zone when one is chosen.
static constexpr Millis zonePenalty = Millis(35);
// This share of the work takes stragglerFactor times as long.
static constexpr double stragglerShare = 0.01;
static constexpr double stragglerFactor = 5;
// How often hosts send the reports on searchers with a limit that are due, and how many are lost.
static constexpr Millis reportCheckPeriod = Millis(50);
static constexpr double reportLoss = 0.02;
// Standard deviation of the logarithm of the service time.
static constexpr double serviceTimeSigma = 0.35;

// An attempt: under way to a searcher, queued or running there.
struct VirtualGateways::Job
{
    std::shared_ptr<Request> request;
    std::uint32_t ordinal = 0;
    std::shared_ptr<TrackedSearcher> tracked;
    Searcher *searcher = nullptr;
    Millis oneWayDelay;
    bool ended = false;
    bool cancelled = false;
};

struct VirtualGateways::Searcher
{
    std::size_t shard = 0;
    // Number among the searchers of its shard.
    std::size_t index = 0;
    std::size_t zone = 0;
    // Arrivals of requests that count towards its limit, and since when each host has known it.
    std::vector<Millis> countedArrivals;
    std::map<const Host *, Millis> limitKnownSince;
    Millis pausePhase;
    bool isSlow = false;
    std::uint32_t running = 0;
    std::deque<std::shared_ptr<Job>> waiting;
};

struct VirtualGateways::Host
{
    std::size_t zone = 0;
    std::vector<std::shared_ptr<ShardPool>> pools;
    // The searchers of all shards, in the order of VirtualGateways::searchers.
    std::vector<std::shared_ptr<TrackedSearcher>> tracked;
    std::map<const TrackedSearcher *, Searcher *> searcherOf;
    std::vector<RouteLatency> routeLatencies;
};

struct VirtualGateways::Request
{
    Host *host = nullptr;
    std::size_t route = 0;
    QueryId id;
    Millis arrivedAt;
    std::unique_ptr<Scatter> scatter;
    std::map<std::uint32_t, std::shared_ptr<Job>> jobs;
    bool isCounted = false;
    bool done = false;
};

VirtualGateways::VirtualGateways(const GatewaySetup &setup)
    : setup(setup)
    , random(setup.seed)
{
    for (std::size_t shard = 0; shard < setup.shards; ++shard) {
        for (std::size_t i = 0; i < setup.searchersPerShard; ++i) {
            auto searcher = std::make_unique<Searcher>();
            searcher->shard = shard;
            searcher->index = i;
            searcher->zone = (shard + i) % setup.zones;
            searcher->pausePhase = setup.pausePeriod * this->randomFraction();
            searcher->isSlow = this->randomFraction() < setup.slowShare;
            this->searchers.push_back(std::move(searcher));
        }
    }
    RetryBudgetOptions budget;
    budget.ratio = retryRatio;
    budget.slack = retrySlack / static_cast<double>(setup.hosts);
    for (std::size_t index = 0; index < setup.hosts; ++index) {
        auto host = std::make_unique<Host>();
        host->zone = index % setup.zones;
        host->routeLatencies.resize(setup.routes.size());
        for (std::size_t shard = 0; shard < setup.shards; ++shard)
            host->pools.push_back(
                    std::make_shared<ShardPool>(std::to_string(shard), budget, this->random()));
        for (const auto &searcher : this->searchers) {
            SearcherRegistration registration;
            registration.id = std::to_string(this->random());
            registration.slots = setup.slots;
            const bool isNear = searcher->zone == host->zone;
            const auto tracked = std::make_shared<TrackedSearcher>(
                    registration, isNear ? Millis() : setup.zoneOneWayDelay * 2, Millis(),
                    isNear ? Millis() : zonePenalty);
            tracked->setMaxConnections(2);
            host->pools[searcher->shard]->add(tracked);
            tracked->rateShare().setInitialTokens(static_cast<double>(index)
                                                  / static_cast<double>(setup.hosts));
            tracked->rateShare().setDefaultPart(1 / static_cast<double>(setup.hosts));
            host->tracked.push_back(tracked);
            host->searcherOf[tracked.get()] = searcher.get();
        }
        this->hosts.push_back(std::move(host));
    }
}

VirtualGateways::~VirtualGateways() = default;

double VirtualGateways::randomFraction()
{
    static constexpr std::uint64_t steps = 1'000'000;
    return static_cast<double>(this->random() % steps) / steps;
}

bool VirtualGateways::isFaultActive() const
{
    const Millis since = this->time.now() - this->setup.faultStart;
    return since >= Millis(0) && since < this->setup.faultDuration;
}

bool VirtualGateways::isLimited(const Searcher &searcher) const
{
    return this->isFaultActive() && searcher.index < this->setup.limitedSearchersPerShard;
}

void VirtualGateways::exchangeRateReports()
{
    const Millis now = this->time.now();
    for (std::size_t sender = 0; sender < this->hosts.size(); ++sender) {
        for (std::size_t number = 0; number < this->searchers.size(); ++number) {
            const auto report = this->hosts[sender]->tracked[number]->rateShare().takeReport(now);
            if (!report)
                continue;
            for (std::size_t receiver = 0; receiver < this->hosts.size(); ++receiver) {
                if (receiver == sender || this->randomFraction() < reportLoss)
                    continue;
                this->time.after(this->setup.zoneOneWayDelay,
                                 [this, sender, number, receiver, report] {
                                     this->hosts[receiver]->tracked[number]->rateShare().onReport(
                                             { sender }, *report, this->time.now());
                                 });
            }
        }
    }
    this->time.after(reportCheckPeriod, [this] { this->exchangeRateReports(); });
}

void VirtualGateways::evaluateLimitUse()
{
    static constexpr double millisPerSecond = 1000;
    const double allowed
            = limitTolerance * this->setup.requestLimit * (limitWindow.count() / millisPerSecond)
              + limitSlack;
    std::size_t total = 0;
    std::size_t limitedCount = 0;
    for (const auto &searcher : this->searchers) {
        limitedCount += searcher->index < this->setup.limitedSearchersPerShard;
        const std::vector<Millis> &arrivals = searcher->countedArrivals;
        total += arrivals.size();
        std::size_t first = 0;
        for (std::size_t last = 0; last < arrivals.size(); ++last) {
            while (arrivals[last] - arrivals[first] > limitWindow)
                ++first;
            this->statistics.peakLimitUse = std::max(
                    this->statistics.peakLimitUse, static_cast<double>(last - first + 1) / allowed);
        }
    }
    const double seconds = (this->setup.faultDuration - limitWindow).count() / millisPerSecond;
    if (limitedCount > 0)
        this->statistics.meanLimitUse = static_cast<double>(total) / seconds
                                        / this->setup.requestLimit
                                        / static_cast<double>(limitedCount);
}

GatewayStatistics VirtualGateways::run()
{
    for (std::size_t route = 0; route < this->setup.routes.size(); ++route)
        this->scheduleArrival(route);
    if (this->setup.limitedSearchersPerShard > 0)
        this->exchangeRateReports();
    this->time.runUntil(this->setup.duration + settlingTime);
    this->evaluateLimitUse();
    this->statistics.extraShare = static_cast<double>(this->extraAttemptCount)
                                  / static_cast<double>(std::max(1UL, this->partRequestCount));
    this->statistics.partialShare = static_cast<double>(this->partialAnswerCount)
                                    / static_cast<double>(std::max(1UL, this->answerCount));
    return this->statistics;
}

void VirtualGateways::scheduleArrival(std::size_t route)
{
    if (this->time.now() >= this->setup.duration)
        return;
    static constexpr double millisPerSecond = 1000;
    const double rate = this->setup.routes[route].requestsPerSecond
                        * (this->isFaultActive() ? this->setup.loadFactor : 1);
    const double gap = -std::log(1 - this->randomFraction()) * millisPerSecond / rate;
    this->time.after(Millis(gap), [this, route] {
        this->startRequest(route);
        this->scheduleArrival(route);
    });
}

void VirtualGateways::startRequest(std::size_t route)
{
    const VirtualRoute &kind = this->setup.routes[route];
    const Millis now = this->time.now();
    const auto request = std::make_shared<Request>();
    request->host = this->hosts[this->random() % this->hosts.size()].get();
    request->route = route;
    request->id = { ++this->lastId };
    request->arrivedAt = now;
    request->isCounted = now >= settlingTime;
    ScatterPlan plan;
    plan.id = request->id;
    plan.merged = true;
    plan.deadline = now + kind.deadline;
    plan.target = this->setup.policy.answerAtTarget ? now + kind.target : plan.deadline;
    plan.minCoverage = kind.minCoverage;
    plan.maxAttempts = this->setup.policy.extraAttempts ? 2 : 1;
    request->scatter = std::make_unique<Scatter>(plan, request->host->pools,
                                                 request->host->routeLatencies[route]);
    if (request->isCounted) {
        this->statistics.requests += 1;
        this->statistics.maxValue += kind.value;
        this->partRequestCount += this->setup.shards;
    }
    ScatterActions actions;
    request->scatter->start(now, actions);
    this->applyActions(request, actions);
}

void VirtualGateways::applyActions(const std::shared_ptr<Request> &request, ScatterActions &actions)
{
    for (const ScatterSend &attempt : actions.send) {
        // An attempt that is abandoned in the same step is not sent at all.
        if (std::erase(actions.abandon, attempt.ordinal) == 0)
            this->send(request, attempt);
    }
    for (const std::uint32_t ordinal : actions.abandon) {
        const std::shared_ptr<Job> job = request->jobs.at(ordinal);
        if (!this->setup.policy.cancelAbandoned)
            continue;
        this->time.after(job->oneWayDelay, [job] {
            job->cancelled = true;
            std::erase(job->searcher->waiting, job);
        });
        this->time.after(cancelConfirmTime, [this, job] {
            this->deliverOutcome(job, { Verdict::MayHaveRun, Fault::Cancelled, Hop::Searcher });
        });
    }
    if (actions.answer) {
        request->done = true;
        this->recordAnswer(*request, *actions.answer);
        // Jobs that are still under way own the request.
        request->jobs.clear();
        return;
    }
    if (request->scatter->nextTimer() < Millis::never())
        this->armTimer(request);
}

void VirtualGateways::armTimer(const std::shared_ptr<Request> &request)
{
    const Millis due = request->scatter->nextTimer();
    this->time.at(due, [this, request, due] {
        if (request->done || request->scatter->nextTimer() != due)
            return;
        ScatterActions actions;
        request->scatter->onTimer(this->time.now(), actions);
        this->applyActions(request, actions);
    });
}

void VirtualGateways::send(const std::shared_ptr<Request> &request, const ScatterSend &attempt)
{
    const auto job = std::make_shared<Job>();
    job->request = request;
    job->ordinal = attempt.ordinal;
    job->tracked = attempt.searcher;
    job->searcher = request->host->searcherOf.at(attempt.searcher.get());
    const bool isNear = job->searcher->zone == request->host->zone;
    job->oneWayDelay = isNear ? Millis(0.2) : this->setup.zoneOneWayDelay;
    request->jobs[attempt.ordinal] = job;
    if (attempt.isExtra && request->isCounted)
        this->extraAttemptCount += 1;
    if (this->setup.policy.observations)
        attempt.searcher->onSent({ request->id, attempt.ordinal }, attempt.typicalLatency,
                                 this->time.now());
    this->time.after(job->oneWayDelay, [this, job] { this->onArrivedAtSearcher(job); });
}

void VirtualGateways::onArrivedAtSearcher(const std::shared_ptr<Job> &job)
{
    Searcher &searcher = *job->searcher;
    if (job->cancelled)
        return;
    const Millis now = this->time.now();
    const auto known = searcher.limitKnownSince.find(job->request->host);
    const bool isCounted = this->isLimited(searcher) && now >= this->setup.faultStart + limitWindow
                           && known != searcher.limitKnownSince.end()
                           && now - known->second >= limitNoticeTime;
    if (isCounted)
        searcher.countedArrivals.push_back(now);
    if (searcher.running < this->setup.slots)
        this->runJob(searcher, job);
    else if (searcher.waiting.size() < this->setup.queueCapacity)
        searcher.waiting.push_back(job);
    else
        this->time.after(job->oneWayDelay, [this, job] {
            this->deliverOutcome(job, { Verdict::NotRun, Fault::Shed, Hop::Searcher });
        });
}

Millis VirtualGateways::completionTime(const Searcher &searcher, Millis from,
                                       Millis serviceTime) const
{
    // Tolerance at both ends of a pause; without it, a rounding error could repeat a step without
    // progress.
    static constexpr Millis rounding = Millis(1e-6);
    Millis at = from;
    Millis remaining = serviceTime;
    for (;;) {
        const double period = this->setup.pausePeriod.count();
        const double phase = std::fmod(at.count() + searcher.pausePhase.count(), period);
        const Millis toPause(period - this->setup.pauseDuration.count() - phase);
        if (toPause <= rounding) {
            at += Millis(period - phase) + rounding;
            continue;
        }
        if (remaining <= toPause)
            return at + remaining;
        remaining = remaining - toPause;
        at += toPause;
    }
}

void VirtualGateways::runJob(Searcher &searcher, const std::shared_ptr<Job> &job)
{
    searcher.running += 1;
    const VirtualRoute &kind = this->setup.routes[job->request->route];
    if (this->isFaultActive() && searcher.shard < this->setup.silentShards) {
        // The gateway closes the connection when the reply is overdue, which ends the work.
        this->time.after(kind.deadline + silenceTimeout, [this, &searcher, job] {
            searcher.running -= 1;
            this->startNext(searcher);
            this->deliverOutcome(job, { Verdict::MayHaveRun, Fault::SilentConnection, Hop::Entry });
        });
        return;
    }
    // A factor with a mean of 1.
    std::lognormal_distribution<double> spread(-serviceTimeSigma * serviceTimeSigma / 2,
                                               serviceTimeSigma);
    double factor = spread(this->random);
    if (this->randomFraction() < stragglerShare)
        factor *= stragglerFactor;
    if (searcher.isSlow && this->isFaultActive())
        factor *= this->setup.slowFactor;
    const Millis end = this->completionTime(searcher, this->time.now(), kind.serviceTime * factor);
    this->time.at(end, [this, &searcher, job] { this->finishJob(searcher, job); });
}

void VirtualGateways::startNext(Searcher &searcher)
{
    while (searcher.running < this->setup.slots && !searcher.waiting.empty()) {
        const std::shared_ptr<Job> next = searcher.waiting.front();
        searcher.waiting.pop_front();
        this->runJob(searcher, next);
    }
}

void VirtualGateways::finishJob(Searcher &searcher, const std::shared_ptr<Job> &job)
{
    searcher.running -= 1;
    this->startNext(searcher);
    LoadReport load;
    load.running = searcher.running;
    load.waiting = static_cast<std::uint32_t>(searcher.waiting.size());
    SearcherStatement statement;
    if (this->isLimited(searcher))
        statement.requestLimit = this->setup.requestLimit;
    this->time.after(job->oneWayDelay, [this, job, load, statement] {
        job->tracked->onStatement(statement, this->time.now());
        if (statement.requestLimit)
            job->searcher->limitKnownSince.try_emplace(job->request->host, this->time.now());
        if (this->setup.policy.observations)
            job->tracked->onLoad(load, this->time.now());
        this->deliverOutcome(job, { Verdict::Ran, {}, Hop::Searcher });
    });
}

void VirtualGateways::deliverOutcome(const std::shared_ptr<Job> &job, const Outcome &outcome)
{
    if (job->ended)
        return;
    job->ended = true;
    const Millis now = this->time.now();
    const std::shared_ptr<Request> request = job->request;
    if (this->setup.policy.observations)
        job->tracked->onEnd({ request->id, job->ordinal }, outcome, now);
    if (outcome.succeeded())
        request->host->routeLatencies[request->route].add(now, now - request->arrivedAt);
    if (request->done)
        return;
    SearcherReply reply;
    reply.status = outcome.succeeded() ? 200 : 503;
    ScatterActions actions;
    request->scatter->onEnd(now, job->ordinal, outcome, std::move(reply), actions);
    this->applyActions(request, actions);
}

void VirtualGateways::recordAnswer(Request &request, const ScatterAnswer &answer)
{
    if (!request.isCounted)
        return;
    const VirtualRoute &kind = this->setup.routes[request.route];
    if (!answer.outcome.succeeded()) {
        this->statistics.failed += 1;
        return;
    }
    const double share
            = 1 - static_cast<double>(answer.missing) / static_cast<double>(this->setup.shards);
    const bool inTarget = this->time.now() - request.arrivedAt <= kind.target;
    // An answer with a share of the parts earns the square of that share of its value.
    this->answerCount += 1;
    this->partialAnswerCount += answer.missing > 0 ? 1 : 0;
    this->statistics.inTarget += inTarget ? 1 : 0;
    this->statistics.earnedValue += (inTarget ? kind.value : kind.lateValue) * share * share;
}

} // namespace quetzal
