#include "request/query.h"

#include "request/merge.h"
#include "request/poolstate.h"

#include <algorithm>
#include <cassert>

namespace quetzal {

static constexpr std::uint32_t maxAttemptsPerShard = 4;
static constexpr std::uint32_t maxRestarts = 3;
// With less time remaining, a further attempt could not be answered.
static constexpr Millis minUsefulBudget = Millis(2);
// Quantile of the pool's sub-request latencies after which a sub-request is hedged.
static constexpr double hedgeQuantile = 0.95;
static constexpr Millis minHedgeDelay = Millis(2);
// Weight of a new sample in the average share of attempts refused for lack of capacity.
static constexpr double refusalGain = 0.01;
// Above this share, refusals indicate an overload of the pool.
static constexpr double overloadRefusalShare = 0.015;
// Above this share, hedging is paused.
static constexpr double hedgePauseShare = 0.05;

static bool isCapacityRefusal(const std::error_code &code)
{
    return code == Fault::QueueFull || code == Fault::DeadlineTooShort || code == Fault::Shed;
}

Query::Query(const QueryPlan &plan, PoolState &pool)
    : plan(plan)
    , pool(pool)
{}

std::shared_ptr<const VersionLayout> Query::pickLayout()
{
    if (this->plan.kind == RouteKind::OneSearcher)
        return this->pool.versions.singleShardLayout();
    if (this->plan.pinnedVersion)
        return this->pool.versions.layout(*this->plan.pinnedVersion);
    return this->pool.versions.chooseLayout();
}

void Query::start(Millis now, QueryActions &out)
{
    this->startTime = now;
    this->layout = this->pickLayout();
    if (!this->layout) {
        this->finishWithFault(this->plan.pinnedVersion ? Fault::VersionGone : Fault::NoVersion, now,
                              out);
        return;
    }
    if (this->layout->coveredShards() == 0) {
        this->finishWithFault(Fault::PoolEmpty, now, out);
        return;
    }
    this->launchFirstAttempts(now, out);
    this->finishIfDue(now, out);
}

void Query::launchFirstAttempts(Millis now, QueryActions &out)
{
    const auto count = static_cast<std::uint32_t>(this->layout->shards.size());
    this->shards.assign(count, ShardState());
    this->pending = count;
    this->firstOrdinal = static_cast<std::uint32_t>(this->attempts.size());
    this->attempts.reserve(this->attempts.size() + count + count / 8);
    for (std::uint32_t shard = 0; shard < count; ++shard) {
        this->pool.hedgeBudget.earn();
        this->pool.retryBudget.earn();
        if (!this->launch(shard, false, now, out))
            this->markMissing(shard, Fault::PoolEmpty);
    }
    const bool canHedge = this->pool.options.useHedging && this->plan.repeatable;
    const Millis firstHedge = canHedge ? now + this->hedgeDelay() : Millis::never();
    this->timer = std::min({ firstHedge, this->plan.deadline, std::max(now, this->plan.target) });
}

bool Query::launch(std::uint32_t shard, bool hedge, Millis now, QueryActions &out)
{
    ShardState &state = this->shards[shard];
    const std::vector<SearcherId> &holders = this->layout->shards[shard].searchers;
    std::optional<SearcherId> searcher = this->pool.chooser.choose(holders, state.tried, now);
    // If every searcher was tried, a retry may go to one that failed; a hedge must not.
    if (!searcher && !hedge && state.openAttempts == 0)
        searcher = this->pool.chooser.choose(holders, {}, now);
    if (!searcher || this->pool.versions.isDraining(*searcher))
        return false;
    Attempt attempt;
    attempt.id = { this->plan.id, static_cast<std::uint32_t>(this->attempts.size()) };
    attempt.searcher = *searcher;
    attempt.shard = shard;
    attempt.version = this->layout->version;
    attempt.budget = this->plan.deadline - now;
    attempt.repeatable = this->plan.repeatable;
    attempt.hedge = hedge;
    this->attempts.push_back({ shard, *searcher, now, true, hedge });
    if (this->plan.explain)
        this->attemptRecords.push_back(
                { shard, *searcher, {}, now - this->startTime, {}, {}, hedge, false });
    state.tried.push_back(*searcher);
    state.openAttempts += 1;
    state.sentAttempts += 1;
    state.lastSentAt = now;
    this->pool.chooser.onSent(*searcher);
    out.send.push_back(attempt);
    return true;
}

void Query::observe(const AttemptState &attempt, const AttemptResult &result, Millis now)
{
    const Millis latency = now - attempt.sentAt;
    if (result.holdings)
        this->pool.versions.report(attempt.searcher, *result.holdings);
    this->pool.chooser.onEnd(attempt.searcher, now, latency, result.outcome);
    if (result.outcome.succeeded())
        this->pool.latencies.add(now, latency);
    const double refusal = isCapacityRefusal(result.outcome.code) ? 1 : 0;
    this->pool.refusedShare += (refusal - this->pool.refusedShare) * refusalGain;
    // Occasional refusals come from single slow searchers; a high share indicates an overload.
    if (refusal > 0 && this->pool.refusedShare > overloadRefusalShare)
        this->capacityRefused = true;
}

void Query::recordAttempt(std::uint32_t ordinal, const AttemptResult &result, Millis now)
{
    if (!this->plan.explain)
        return;
    AttemptRecord &record = this->attemptRecords[ordinal];
    record.outcome = result.outcome;
    record.endedAt = now - this->startTime;
    record.serviceTime = result.serviceTime;
    record.ended = true;
}

void Query::onResult(Millis now, const AttemptResult &result, QueryActions &out)
{
    const std::uint32_t ordinal = result.id.ordinal;
    if (this->done || result.id.query != this->plan.id || ordinal >= this->attempts.size())
        return;
    AttemptState &attempt = this->attempts[ordinal];
    if (!attempt.open)
        return;
    attempt.open = false;
    this->observe(attempt, result, now);
    this->recordAttempt(ordinal, result, now);
    if (result.outcome.verdict != Verdict::NotRun)
        this->mayHaveRun = true;
    const std::uint32_t shard = attempt.shard;
    this->shards[shard].openAttempts -= 1;
    if (result.outcome.succeeded())
        this->onSuccess(shard, result, now, out);
    else
        this->onFailure(shard, result.outcome, now, out);
    this->finishIfDue(now, out);
}

void Query::onSuccess(std::uint32_t shard, const AttemptResult &result, Millis now,
                      QueryActions &out)
{
    ShardState &state = this->shards[shard];
    if (state.phase != ShardPhase::Pending)
        return;
    const bool matches
            = this->plan.kind == RouteKind::OneSearcher
              || (result.answer.version == this->layout->version && result.answer.shard == shard);
    if (!matches) {
        this->onFailure(shard, { Verdict::Ran, Fault::ReplyMismatch, Hop::Entry }, now, out);
        return;
    }
    state.phase = ShardPhase::Answered;
    state.answer = result.answer;
    this->pending -= 1;
    this->closeShardAttempts(shard, now, out);
}

bool Query::mayRetry(const ShardState &shard, const Outcome &outcome, Millis now) const
{
    const bool safe = outcome.verdict == Verdict::NotRun || this->plan.repeatable;
    const bool final = outcome.code == Fault::Cancelled || outcome.code == Fault::DeadlinePassed
                       || outcome.code == Fault::Stopping;
    return safe && !final && shard.sentAttempts < maxAttemptsPerShard
           && now + minUsefulBudget < this->plan.deadline;
}

bool Query::retry(std::uint32_t shard, const Outcome &outcome, Millis now, QueryActions &out)
{
    if (!this->mayRetry(this->shards[shard], outcome, now))
        return false;
    if (this->pool.options.useRetryBudget && !this->pool.retryBudget.trySpend())
        return false;
    return this->launch(shard, false, now, out);
}

void Query::onFailure(std::uint32_t shard, const Outcome &outcome, Millis now, QueryActions &out)
{
    ShardState &state = this->shards[shard];
    this->lastFailure = outcome.code;
    this->lastHop = outcome.hop;
    if (state.phase != ShardPhase::Pending || state.openAttempts > 0)
        return;
    if (outcome.code == Fault::VersionMissing) {
        // The refusal carried the searcher's current holdings, which observe() has recorded, so the
        // layout is up to date.
        const auto currentLayout = this->pool.versions.layout(this->layout->version);
        const bool stillHeld = currentLayout && shard < currentLayout->shards.size()
                               && !currentLayout->shards[shard].searchers.empty();
        if (stillHeld)
            this->layout = currentLayout;
        else if (this->restart(now, out))
            return;
    }
    if (!this->retry(shard, outcome, now, out))
        this->markMissing(shard, outcome.code);
}

bool Query::restart(Millis now, QueryActions &out)
{
    const bool allowed = !this->plan.pinnedVersion && this->plan.repeatable
                         && this->restarts < maxRestarts
                         && now + minUsefulBudget < this->plan.deadline;
    if (!allowed)
        return false;
    const auto next = this->pool.versions.chooseLayout();
    if (!next || next->version == this->layout->version)
        return false;
    this->closeAllAttempts(now, out);
    this->layout = next;
    this->restarts += 1;
    this->launchFirstAttempts(now, out);
    return true;
}

void Query::markMissing(std::uint32_t shard, const std::error_code &reason)
{
    ShardState &state = this->shards[shard];
    assert(state.phase == ShardPhase::Pending);
    state.phase = ShardPhase::Missing;
    state.reason = reason;
    // Only a refusal that leaves a shard missing counts as overload: one that another replica makes
    // up for may come from a single slow searcher.
    this->capacityRefused = this->capacityRefused || isCapacityRefusal(reason);
    this->pending -= 1;
}

void Query::closeAttempt(std::uint32_t ordinal, Millis now, QueryActions &out)
{
    AttemptState &attempt = this->attempts[ordinal];
    attempt.open = false;
    this->shards[attempt.shard].openAttempts -= 1;
    const Outcome outcome = { Verdict::MayHaveRun, Fault::Cancelled, Hop::Entry };
    this->mayHaveRun = true;
    this->pool.chooser.onEnd(attempt.searcher, now, now - attempt.sentAt, outcome);
    AttemptResult result;
    result.outcome = outcome;
    this->recordAttempt(ordinal, result, now);
    // A non-repeatable request is never cancelled once it has been sent.
    if (!this->plan.repeatable)
        return;
    Attempt cancelled;
    cancelled.id = { this->plan.id, ordinal };
    cancelled.searcher = attempt.searcher;
    cancelled.shard = attempt.shard;
    out.cancel.push_back(cancelled);
}

void Query::closeShardAttempts(std::uint32_t shard, Millis now, QueryActions &out)
{
    if (this->shards[shard].openAttempts == 0)
        return;
    const auto count = static_cast<std::uint32_t>(this->attempts.size());
    for (std::uint32_t ordinal = this->firstOrdinal; ordinal < count; ++ordinal) {
        if (this->attempts[ordinal].open && this->attempts[ordinal].shard == shard)
            this->closeAttempt(ordinal, now, out);
    }
}

void Query::closeAllAttempts(Millis now, QueryActions &out)
{
    const auto count = static_cast<std::uint32_t>(this->attempts.size());
    for (std::uint32_t ordinal = this->firstOrdinal; ordinal < count; ++ordinal) {
        if (this->attempts[ordinal].open)
            this->closeAttempt(ordinal, now, out);
    }
}

Millis Query::hedgeDelay() const
{
    const Millis fallback = (this->plan.deadline - this->startTime) / 2;
    const Millis delay = this->pool.latencies.quantile(hedgeQuantile, fallback);
    return std::max(minHedgeDelay, delay);
}

void Query::sendDueHedges(Millis now, QueryActions &out)
{
    const bool paused = this->pool.refusedShare > hedgePauseShare
                        || this->pool.admission.refusedRecently(now);
    if (!this->pool.options.useHedging || !this->plan.repeatable || paused)
        return;
    const Millis delay = this->hedgeDelay();
    Millis next = Millis::never();
    const auto count = static_cast<std::uint32_t>(this->shards.size());
    for (std::uint32_t shard = 0; shard < count; ++shard) {
        ShardState &state = this->shards[shard];
        const bool candidate
                = state.phase == ShardPhase::Pending && !state.hedged && state.openAttempts == 1;
        if (!candidate)
            continue;
        const Millis due = state.lastSentAt + delay;
        if (due > now) {
            next = std::min(next, due);
            continue;
        }
        // No token is spent if no other searcher holds the shard.
        const bool hasOther = this->layout->shards[shard].searchers.size() > state.tried.size();
        state.hedged = true;
        if (hasOther && this->pool.hedgeBudget.trySpend())
            this->launch(shard, true, now, out);
    }
    this->timer = std::min(this->timer, next);
}

void Query::onTimer(Millis now, QueryActions &out)
{
    if (this->done)
        return;
    const Millis target = this->plan.target > now ? this->plan.target : Millis::never();
    this->timer = std::min(this->plan.deadline, target);
    if (now < this->plan.deadline)
        this->sendDueHedges(now, out);
    this->finishIfDue(now, out);
}

void Query::onCallerGone(Millis now, QueryActions &out)
{
    if (this->done)
        return;
    this->done = true;
    this->closeAllAttempts(now, out);
}

Coverage Query::coverage() const
{
    Coverage coverage;
    coverage.shardsTotal = static_cast<std::uint32_t>(this->shards.size());
    std::uint64_t missingDocuments = 0;
    bool allKnown = true;
    for (std::uint32_t shard = 0; shard < coverage.shardsTotal; ++shard) {
        const ShardState &state = this->shards[shard];
        if (state.phase == ShardPhase::Answered) {
            coverage.shardsAnswered += 1;
            coverage.documentsAnswered += state.answer.documents;
            continue;
        }
        const std::optional<std::uint64_t> &known = this->layout->shards[shard].documents;
        allKnown = allKnown && known.has_value();
        missingDocuments += known.value_or(0);
        const bool waiting = state.phase == ShardPhase::Pending;
        coverage.missing.push_back(
                { shard, waiting ? make_error_code(Fault::DeadlinePassed) : state.reason });
    }
    if (allKnown)
        coverage.documentsTotal = coverage.documentsAnswered + missingDocuments;
    return coverage;
}

void Query::finishIfDue(Millis now, QueryActions &out)
{
    if (this->done)
        return;
    if (this->pending == 0 || now >= this->plan.deadline) {
        this->finish(now, out);
        return;
    }
    if (now >= this->plan.target && this->coverage().fraction() >= this->plan.minCoverage)
        this->finish(now, out);
}

Outcome Query::overallOutcome(const Coverage &coverage) const
{
    const std::error_code failure
            = this->lastFailure ? this->lastFailure : make_error_code(Fault::DeadlinePassed);
    const bool anyOpen = std::any_of(this->attempts.begin(), this->attempts.end(),
                                     [](const AttemptState &a) { return a.open; });
    if (coverage.shardsAnswered == 0) {
        // An attempt without a result may have run.
        const bool certain = !this->mayHaveRun && !anyOpen;
        return { certain ? Verdict::NotRun : Verdict::MayHaveRun, failure, this->lastHop };
    }
    const bool enough = coverage.fraction() >= this->plan.minCoverage;
    if (enough || this->plan.belowMinimum == BelowMinimum::Partial)
        return { Verdict::Ran, {}, Hop::Searcher };
    return { Verdict::Ran, Fault::BelowCoverage, Hop::Entry };
}

void Query::mergeInto(Answer &answer)
{
    if (this->plan.kind == RouteKind::OneSearcher) {
        answer.status = this->shards[0].answer.status;
        answer.body = std::move(this->shards[0].answer.body);
        return;
    }
    std::vector<std::vector<Hit>> lists;
    lists.reserve(this->shards.size());
    for (ShardState &state : this->shards) {
        if (state.phase == ShardPhase::Answered)
            lists.push_back(std::move(state.answer.hits));
    }
    answer.hits = mergeHits(std::move(lists), this->plan.resultSize);
}

void Query::finish(Millis now, QueryActions &out)
{
    this->done = true;
    this->timer = Millis::never();
    Answer answer;
    answer.coverage = this->coverage();
    answer.outcome = this->overallOutcome(answer.coverage);
    answer.version = this->layout->version;
    answer.restarts = this->restarts;
    // Attempts started by this event are not sent: the query is already answered.
    out.send.clear();
    this->closeAllAttempts(now, out);
    this->mergeInto(answer);
    answer.attempts = std::move(this->attemptRecords);
    out.answer = std::move(answer);
}

void Query::finishWithFault(Fault fault, Millis, QueryActions &out)
{
    this->done = true;
    Answer answer;
    answer.outcome = { Verdict::NotRun, fault, Hop::Entry };
    out.answer = std::move(answer);
}

} // namespace quetzal
