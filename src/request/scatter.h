// One caller's request to pools of registered searchers: searcher choice, hedges, retries and
// completion.
#pragma once

#include "connection/httpcodec.h"
#include "quetzal/verdict.h"
#include "request/attempt.h"
#include "request/shardpool.h"

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <vector>

namespace quetzal {

// Keys of the searchers of a pool to which a request may be sent; empty if it may go to all.
using AllowedSearchers = std::vector<std::uint32_t>;

// A caller's request with the settings of its route. Times are points on the host's clock.
struct ScatterPlan
{
    QueryId id;
    // The replies of all pools are merged as parts of one answer; otherwise there is one pool,
    // whose reply is passed on.
    bool merged = false;
    bool repeatable = true;
    // From this time on, a merged answer is returned as soon as it has enough parts.
    Millis target;
    Millis deadline;
    // Share of the pools, from 0 to 1, whose replies a merged answer must hold.
    double minCoverage = 1;
    // Number of records that a merged answer may hold. A part is reduced to that many on arrival,
    // so that a long one does not take memory while others are awaited.
    std::size_t resultSize = std::numeric_limits<std::size_t>::max();
    // Maximum number of searchers of each pool to which the request may be sent. The number of
    // attempts may be higher, as a searcher may be tried again.
    std::uint32_t maxAttempts = 1;
    // Another host may have sent this request to the searchers already, so first attempts count
    // against the retry budgets like extra ones.
    bool isResend = false;
    // The pools are a batch of the parts of a larger request. The answer holds the replies received
    // even if it is a failure. It is returned from the target on if at most maxMissing parts are
    // missing, and immediately once it is certain that more will be.
    bool isBatch = false;
    std::size_t maxMissing = 0;
};

// An attempt to be sent now.
struct ScatterSend
{
    std::uint32_t ordinal = 0;
    std::shared_ptr<TrackedSearcher> searcher;
    // Mean latency of the route's attempts.
    Millis typicalLatency;
    // The attempt is a hedge or a retry.
    bool isExtra = false;
};

// The outcome of a request.
struct ScatterAnswer
{
    Outcome outcome;
    // Replies in the order of the pools; empty for a pool without a reply.
    std::vector<std::optional<SearcherReply>> replies;
    // Number of pools without a successful reply.
    std::size_t missing = 0;
    // Number of attempts, hedges and retries included.
    std::uint32_t sent = 0;
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
    // True if an attempt has run or may have run.
    bool mayHaveRun = false;
    // Error of the attempt that failed last.
    std::error_code lastFailure;
};

// Actions that the owner of a request has to carry out after an event.
struct ScatterActions
{
    std::vector<ScatterSend> send;
    // Ordinals of the attempts whose results are no longer needed.
    std::vector<std::uint32_t> abandon;
    std::optional<ScatterAnswer> answer;
};

// State machine of one request. Driven by events that carry the time; appends the resulting actions
// to out. Uses no clock and no socket.
class Scatter
{
public:
    // routeLatency must outlive the request. allowedSearchers is empty or has an entry for each
    // pool.
    Scatter(const ScatterPlan &plan, std::vector<std::shared_ptr<ShardPool>> pools,
            const RouteLatency &routeLatency, std::vector<AllowedSearchers> allowedSearchers = {});

    // Sends the first attempt to each pool.
    void start(Millis now, ScatterActions &out);

    // Handles the end of an attempt. Ignored if the attempt is no longer open.
    void onEnd(Millis now, std::uint32_t ordinal, const Outcome &outcome, SearcherReply &&reply,
               ScatterActions &out);

    // Sends the hedges and retries that are due, and finishes the request if its target or deadline
    // allows or requires it.
    void onTimer(Millis now, ScatterActions &out);

    // Handles the caller's disconnection: ends the request and abandons its attempts.
    void onCallerGone(ScatterActions &out);

    // Returns the bytes of failures that are kept in case that no further attempt succeeds.
    std::size_t keptBytes() const;

    // Drops these failures. If no further attempt succeeds, the answer has no reply.
    void dropKept();

    // Returns the time at which onTimer must be called.
    Millis nextTimer() const { return this->timer; }
    bool finished() const { return this->done; }

private:
    enum class Phase { Pending, Answered, Missing };

    struct ShardState
    {
        Phase phase = Phase::Pending;
        std::uint32_t openAttempts = 0;
        std::uint32_t sentAttempts = 0;
        // Time of the next hedge or, if no attempt is open, of the next retry.
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

    // Sends an attempt. Returns false if too little time remains.
    bool launch(std::uint32_t shard, std::shared_ptr<TrackedSearcher> searcher, bool isExtra,
                Millis now, ScatterActions &out);
    // Retries now or later, or marks the shard as missing.
    void onFailure(std::uint32_t shard, const Outcome &outcome, SearcherReply &&reply, Millis now,
                   ScatterActions &out);
    void retry(std::uint32_t shard, Millis now, ScatterActions &out);
    void hedge(std::uint32_t shard, Millis now, ScatterActions &out);
    // Marks a shard as missing from the answer.
    void markMissing(std::uint32_t shard);
    // Returns true if the shard may be sent to another searcher that was not tried yet.
    bool hasUntriedSearcher(std::uint32_t shard) const;
    bool isAllowed(std::uint32_t shard, const TrackedSearcher &searcher) const;
    // Chooses among the allowed searchers that were not tried yet, or among those that were.
    // includeFallbacks is passed on to ShardPool::choose.
    std::shared_ptr<TrackedSearcher> choose(std::uint32_t shard, bool untried, Millis now,
                                            bool includeFallbacks);
    // Drops what a merged answer does not take from a reply.
    void reduce(SearcherReply &reply) const;
    // Returns the age of an attempt at which it is hedged.
    Millis hedgeDelay(Millis now) const;
    // Returns the number of pools that must answer for the request to succeed.
    std::size_t requiredAnswers() const;
    // Finishes the request if its outcome is certain, at the deadline, or with enough replies from
    // the target on; otherwise sets the timer.
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
    // True once an attempt has run or may have run.
    bool mayHaveRun = false;
    std::error_code lastFailure;
    Millis timer = Millis::never();
    bool done = false;
};

} // namespace quetzal
