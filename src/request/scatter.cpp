#include "request/scatter.h"

#include "quetzal/fault.h"
#include "request/recordmerge.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

// With less time remaining, a further attempt could not be answered.
static constexpr Millis minUsefulBudget = Millis(3);
// Quantile of the route's latencies after which an attempt is hedged.
static constexpr double hedgeQuantile = 0.9;
static constexpr Millis minHedgeDelay = Millis(8);
// Share of the retry budget that hedges must leave for retries.
static constexpr double hedgeReserve = 0.25;
// Delay before a searcher that refused is tried again, per attempt already sent for the shard; also
// the delay before a hedge is reconsidered.
static constexpr Millis retryDelay = Millis(15);
// Maximum number of repeated attempts on searchers that were already tried, for each shard.
static constexpr std::uint32_t maxRepeatedAttempts = 2;

Scatter::Scatter(const ScatterPlan &plan, std::vector<std::shared_ptr<ShardPool>> pools,
                 const RouteLatency &routeLatency, std::vector<AllowedSearchers> allowedSearchers)
    : plan(plan)
    , pools(std::move(pools))
    , routeLatency(routeLatency)
    , allowedSearchers(std::move(allowedSearchers))
    , shards(this->pools.size())
{
    this->attempts.reserve(this->pools.size() + this->pools.size() / 4);
}

Millis Scatter::hedgeDelay(Millis now) const
{
    return std::max(minHedgeDelay, this->routeLatency.quantile(hedgeQuantile, now));
}

std::size_t Scatter::requiredAnswers() const
{
    if (this->plan.isBatch)
        return this->shards.size() - std::min(this->shards.size(), this->plan.maxMissing);
    if (!this->plan.merged)
        return this->shards.size();
    // Tolerance for rounding errors, so that an exact product is not rounded up.
    static constexpr double tolerance = 1e-9;
    const double exact = this->plan.minCoverage * static_cast<double>(this->shards.size());
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(exact - tolerance)));
}

void Scatter::start(Millis now, ScatterActions &out)
{
    for (std::uint32_t shard = 0; shard < this->shards.size(); ++shard) {
        ShardPool &pool = *this->pools[shard];
        if (!this->plan.isResend)
            pool.budget().onRequest(now);
        for (const auto &member : pool.searchers()) {
            if (member->rateShare().limit(now) && this->isAllowed(shard, *member))
                member->rateShare().onDemand(now);
        }
        auto searcher = this->choose(shard, true, now, true);
        if (this->plan.isResend && !pool.budget().trySpend(now))
            searcher.reset();
        if (!searcher || !this->launch(shard, searcher, false, now, out)) {
            this->lastFailure = Fault::PoolEmpty;
            this->markMissing(shard);
        }
    }
    this->finishIfDue(now, out);
}

bool Scatter::launch(std::uint32_t shard, std::shared_ptr<TrackedSearcher> searcher, bool isExtra,
                     Millis now, ScatterActions &out)
{
    if (this->plan.deadline - now < minUsefulBudget)
        return false;
    ShardState &state = this->shards[shard];
    const auto ordinal = static_cast<std::uint32_t>(this->attempts.size());
    this->attempts.push_back({ shard, true, now });
    if (std::find(state.tried.begin(), state.tried.end(), searcher.get()) == state.tried.end())
        state.tried.push_back(searcher.get());
    state.openAttempts += 1;
    state.sentAttempts += 1;
    const bool canHedge = this->plan.repeatable && state.tried.size() < this->plan.maxAttempts;
    state.nextAttemptAt = canHedge ? now + this->hedgeDelay(now) : Millis::never();
    out.send.push_back({ ordinal, std::move(searcher), this->routeLatency.typical(now), isExtra });
    return true;
}

void Scatter::onEnd(Millis now, std::uint32_t ordinal, const Outcome &outcome,
                    SearcherReply &&reply, ScatterActions &out)
{
    if (this->done || ordinal >= this->attempts.size() || !this->attempts[ordinal].open)
        return;
    AttemptState &attempt = this->attempts[ordinal];
    attempt.open = false;
    ShardState &state = this->shards[attempt.shard];
    state.openAttempts -= 1;
    if (outcome.verdict != Verdict::NotRun)
        this->mayHaveRun = true;
    if (outcome.succeeded() && state.phase == Phase::Pending) {
        state.phase = Phase::Answered;
        if (this->plan.merged)
            this->reduce(reply);
        state.reply = std::move(reply);
        state.nextAttemptAt = Millis::never();
        this->answered += 1;
        for (std::uint32_t other = 0; other < this->attempts.size(); ++other) {
            if (this->attempts[other].shard != attempt.shard || !this->attempts[other].open)
                continue;
            this->attempts[other].open = false;
            out.abandon.push_back(other);
        }
        state.openAttempts = 0;
    } else if (!outcome.succeeded()) {
        this->onFailure(attempt.shard, outcome, std::move(reply), now, out);
    }
    this->finishIfDue(now, out);
}

void Scatter::reduce(SearcherReply &reply) const
{
    if (reply.body.size() / recordBytes > this->plan.resultSize)
        reply.body = mergeRecords({ reply.body }, this->plan.resultSize);
    reply.fields = {};
}

void Scatter::onFailure(std::uint32_t shard, const Outcome &outcome, SearcherReply &&reply,
                        Millis now, ScatterActions &out)
{
    ShardState &state = this->shards[shard];
    this->lastFailure = outcome.code;
    if (state.phase != Phase::Pending)
        return;
    // Keep the searcher's error reply, which is passed on to the caller if no attempt succeeds.
    if (!this->plan.merged && outcome.verdict == Verdict::Ran && reply.status != 0)
        state.reply = std::move(reply);
    if (state.openAttempts > 0)
        return;
    const bool mayRepeat = outcome.verdict == Verdict::NotRun || this->plan.repeatable;
    if (!mayRepeat) {
        this->markMissing(shard);
        return;
    }
    if (this->hasUntriedSearcher(shard))
        this->retry(shard, now, out);
    else if (state.sentAttempts < this->plan.maxAttempts + maxRepeatedAttempts
             && (outcome.verdict == Verdict::NotRun || this->plan.repeatable))
        state.nextAttemptAt = now + retryDelay * state.sentAttempts;
    else
        this->markMissing(shard);
}

std::size_t Scatter::keptBytes() const
{
    std::size_t bytes = 0;
    for (const ShardState &state : this->shards)
        bytes += state.phase == Phase::Pending && state.reply ? state.reply->body.size() : 0;
    return bytes;
}

void Scatter::dropKept()
{
    for (ShardState &state : this->shards) {
        if (state.phase == Phase::Pending)
            state.reply.reset();
    }
}

bool Scatter::isAllowed(std::uint32_t shard, const TrackedSearcher &searcher) const
{
    if (shard >= this->allowedSearchers.size() || this->allowedSearchers[shard].empty())
        return true;
    const AllowedSearchers &keys = this->allowedSearchers[shard];
    return std::find(keys.begin(), keys.end(), searcher.key()) != keys.end();
}

bool Scatter::hasUntriedSearcher(std::uint32_t shard) const
{
    const ShardState &state = this->shards[shard];
    if (state.tried.size() >= this->plan.maxAttempts)
        return false;
    const auto &searchers = this->pools[shard]->searchers();
    return std::any_of(searchers.begin(), searchers.end(), [&](const auto &searcher) {
        return this->isAllowed(shard, *searcher)
               && std::find(state.tried.begin(), state.tried.end(), searcher.get())
                          == state.tried.end();
    });
}

std::shared_ptr<TrackedSearcher> Scatter::choose(std::uint32_t shard, bool untried, Millis now,
                                                 bool includeFallbacks)
{
    const ShardState &state = this->shards[shard];
    std::vector<const TrackedSearcher *> excluded;
    for (const auto &searcher : this->pools[shard]->searchers()) {
        const bool tried = std::find(state.tried.begin(), state.tried.end(), searcher.get())
                           != state.tried.end();
        if (tried == untried || !this->isAllowed(shard, *searcher))
            excluded.push_back(searcher.get());
    }
    return this->pools[shard]->choose(excluded, this->routeLatency.typical(now), now,
                                      includeFallbacks);
}

void Scatter::retry(std::uint32_t shard, Millis now, ScatterActions &out)
{
    ShardState &state = this->shards[shard];
    ShardPool &pool = *this->pools[shard];
    state.nextAttemptAt = Millis::never();
    std::shared_ptr<TrackedSearcher> searcher;
    if (state.tried.size() < this->plan.maxAttempts)
        searcher = this->choose(shard, true, now, true);
    // Otherwise send it again to one of the searchers already tried.
    if (!searcher)
        searcher = this->choose(shard, false, now, true);
    const bool sent = searcher && this->plan.deadline - now >= minUsefulBudget
                      && pool.budget().trySpend(now)
                      && this->launch(shard, searcher, true, now, out);
    if (sent)
        this->retries += 1;
    else
        this->markMissing(shard);
}

void Scatter::hedge(std::uint32_t shard, Millis now, ScatterActions &out)
{
    ShardState &state = this->shards[shard];
    ShardPool &pool = *this->pools[shard];
    state.nextAttemptAt = Millis::never();
    const auto searcher = this->choose(shard, true, now, false);
    if (!searcher)
        return;
    if (searcher->isStalled(now)) {
        // Check again later: the stalled searcher may resume before the open attempt ends.
        state.nextAttemptAt = now + retryDelay;
        return;
    }
    if (!pool.budget().trySpend(now, hedgeReserve))
        return;
    if (this->launch(shard, searcher, true, now, out))
        this->hedges += 1;
}

void Scatter::markMissing(std::uint32_t shard)
{
    ShardState &state = this->shards[shard];
    state.phase = Phase::Missing;
    state.nextAttemptAt = Millis::never();
    this->missing += 1;
}

void Scatter::onTimer(Millis now, ScatterActions &out)
{
    if (this->done)
        return;
    for (std::uint32_t shard = 0; shard < this->shards.size(); ++shard) {
        ShardState &state = this->shards[shard];
        if (state.phase != Phase::Pending || now < state.nextAttemptAt)
            continue;
        if (state.openAttempts == 0)
            this->retry(shard, now, out);
        else
            this->hedge(shard, now, out);
    }
    this->finishIfDue(now, out);
}

void Scatter::onCallerGone(ScatterActions &out)
{
    if (this->done)
        return;
    this->done = true;
    for (std::uint32_t ordinal = 0; ordinal < this->attempts.size(); ++ordinal) {
        if (this->attempts[ordinal].open)
            out.abandon.push_back(ordinal);
    }
}

void Scatter::finishIfDue(Millis now, ScatterActions &out)
{
    if (this->done)
        return;
    const std::size_t total = this->shards.size();
    const std::size_t required = this->requiredAnswers();
    const bool complete = this->answered == total;
    const bool allEnded = this->answered + this->missing == total && this->answered >= required;
    const bool early = now >= this->plan.target && this->answered >= required;
    if (complete || allEnded || (this->plan.merged && early)) {
        this->finish({ Verdict::Ran, {}, Hop::Searcher }, out);
        return;
    }
    if (total - this->missing < required || total == 0) {
        const bool anyOpen = std::any_of(this->attempts.begin(), this->attempts.end(),
                                         [](const AttemptState &attempt) { return attempt.open; });
        const bool ran = this->mayHaveRun || anyOpen;
        this->finish({ ran ? Verdict::MayHaveRun : Verdict::NotRun, this->lastFailure, Hop::Entry },
                     out);
        return;
    }
    if (now >= this->plan.deadline) {
        this->finish({ Verdict::MayHaveRun, Fault::DeadlinePassed, Hop::Entry }, out);
        return;
    }
    this->armTimer(now);
}

void Scatter::finish(const Outcome &outcome, ScatterActions &out)
{
    this->done = true;
    this->timer = Millis::never();
    ScatterAnswer answer;
    answer.outcome = outcome;
    answer.sent = static_cast<std::uint32_t>(this->attempts.size());
    answer.hedges = this->hedges;
    answer.retries = this->retries;
    answer.mayHaveRun = this->mayHaveRun
                        || std::any_of(this->attempts.begin(), this->attempts.end(),
                                       [](const AttemptState &attempt) { return attempt.open; });
    answer.lastFailure = this->lastFailure;
    for (ShardState &state : this->shards)
        answer.replies.push_back(std::move(state.reply));
    answer.missing = this->shards.size() - this->answered;
    for (std::uint32_t ordinal = 0; ordinal < this->attempts.size(); ++ordinal) {
        if (this->attempts[ordinal].open)
            out.abandon.push_back(ordinal);
    }
    out.answer = std::move(answer);
}

void Scatter::armTimer(Millis now)
{
    this->timer = this->plan.deadline;
    if (this->plan.merged && now < this->plan.target)
        this->timer = std::min(this->timer, this->plan.target);
    for (const ShardState &state : this->shards) {
        if (state.phase == Phase::Pending)
            this->timer = std::min(this->timer, state.nextAttemptAt);
    }
}

} // namespace quetzal
