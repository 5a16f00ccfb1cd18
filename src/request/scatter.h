// One caller's request on pools of registered searchers: choice, hedges, retries, completion.
#pragma once

#include "connection/httpcodec.h"
#include "quetzal/verdict.h"
#include "request/attempt.h"
#include "request/shardpool.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace quetzal {

// Keys of the searchers of a pool that may get a request; empty if all may.
using AllowedSearchers = std::vector<std::uint32_t>;

// What a caller asked for. Times are points on the host's clock.
struct ScatterPlan
{
    QueryId id;
    // One part of every pool is merged; otherwise the reply of the one pool is passed on.
    bool merged = false;
    bool repeatable = true;
    Millis target;
    Millis deadline;
    // Share of the pools that a merged answer must hold.
    double minCoverage = 1;
    // Searchers that the request may be sent to, for each pool.
    std::uint32_t maxAttempts = 1;
    // The searchers may have got this request from another host already: the first attempts take
    // from the budgets too.
    bool isResend = false;
    // These are some of a request's parts. The answer holds what is in, also when it fails; it
    // comes at the target if no more than maxMissing parts lack, and at once if more must.
    bool isBatch = false;
    std::size_t maxMissing = 0;
};

// An attempt to send now.
struct ScatterSend
{
    std::uint32_t ordinal = 0;
    std::shared_ptr<TrackedSearcher> searcher;
    Millis typicalLatency;
    bool isExtra = false;
};

// What a caller gets.
struct ScatterAnswer
{
    Outcome outcome;
    // Replies in the order of the pools; of those not answered, nothing.
    std::vector<std::optional<SearcherReply>> replies;
    std::size_t missing = 0;
    std::uint32_t sent = 0;
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
    // True if some attempt ran or may have run.
    bool mayHaveRun = false;
    // Why the latest part is missing.
    std::error_code lastFailure;
};

// What a request wants done after an event.
struct ScatterActions
{
    std::vector<ScatterSend> send;
    std::vector<std::uint32_t> abandon;
    std::optional<ScatterAnswer> answer;
};

// Runs one request. Takes events with a time and appends actions; keeps no clock and no socket.
class Scatter
{
public:
    // allowed is empty or has an entry for each pool.
    Scatter(const ScatterPlan &plan, std::vector<std::shared_ptr<ShardPool>> pools,
            const RouteLatency &routeLatency, std::vector<AllowedSearchers> allowed = {});

    void start(Millis now, ScatterActions &out);

    // Takes the end of an attempt. Ends of attempts that are not open are ignored.
    void onEnd(Millis now, std::uint32_t ordinal, const Outcome &outcome, SearcherReply &&reply,
               ScatterActions &out);

    // Hedges, retries, answers early or gives up, as far as these are due.
    void onTimer(Millis now, ScatterActions &out);

    // The caller went away.
    void onCallerGone(ScatterActions &out);

    // Returns the time at which onTimer is wanted.
    Millis nextTimer() const { return this->timer; }
    bool finished() const { return this->done; }

private:
    enum class Phase { Pending, Answered, Missing };

    struct ShardState
    {
        Phase phase = Phase::Pending;
        std::uint32_t openAttempts = 0;
        std::uint32_t sentAttempts = 0;
        // When the next hedge, or if nothing is open the next retry, is due.
        Millis nextAttemptAt = Millis::never();
        std::vector<const TrackedSearcher *> tried;
        std::optional<SearcherReply> reply;
    };

    struct AttemptState
    {
        std::uint32_t shard = 0;
        bool open = true;
        Millis sentAt;
    };

    bool launch(std::uint32_t shard, std::shared_ptr<TrackedSearcher> searcher, bool extra,
                Millis now, ScatterActions &out);
    void onFailure(std::uint32_t shard, const Outcome &outcome, SearcherReply &&reply, Millis now,
                   ScatterActions &out);
    void retry(std::uint32_t shard, Millis now, ScatterActions &out);
    void hedge(std::uint32_t shard, Millis now, ScatterActions &out);
    void markMissing(std::uint32_t shard);
    bool hasUntriedSearcher(std::uint32_t shard) const;
    bool isAllowed(std::uint32_t shard, const TrackedSearcher &searcher) const;
    std::shared_ptr<TrackedSearcher> choose(std::uint32_t shard, bool untried, Millis now,
                                            bool anyOf);
    Millis hedgeDelay() const;
    std::size_t requiredAnswers() const;
    void finishIfDue(Millis now, ScatterActions &out);
    void finish(const Outcome &outcome, ScatterActions &out);
    void armTimer(Millis now);

    ScatterPlan plan;
    std::vector<std::shared_ptr<ShardPool>> pools;
    const RouteLatency &routeLatency;
    std::vector<AllowedSearchers> allowedSearchers;
    std::vector<ShardState> shards;
    std::vector<AttemptState> attempts;
    std::size_t answered = 0;
    std::size_t missing = 0;
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
    // True once some attempt ran or may have run.
    bool mayHaveRun = false;
    std::error_code lastFailure;
    Millis timer = Millis::never();
    bool done = false;
};

} // namespace quetzal
