// One caller's request at its entry host: fan-out, replica choice, hedges, retries and merging.
#pragma once

#include "quetzal/fault.h"
#include "request/attempt.h"
#include "request/coverage.h"
#include "version/routingtables.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace quetzal {

struct PoolState;

// A caller's request with the settings of its route. Times are points on the entry host's clock.
struct QueryPlan
{
    QueryId id;
    RouteKind kind = RouteKind::AllShards;
    bool repeatable = true;
    // From this time on, an answer is returned as soon as it has minCoverage.
    Millis target;
    Millis deadline;
    // Covered fraction that an answer should have, from 0 to 1.
    double minCoverage = 1;
    // Whether an answer below minCoverage at the deadline is returned or replaced by an error.
    BelowMinimum belowMinimum = BelowMinimum::Partial;
    // Index version that the caller requires; otherwise the newest covered one is used.
    std::optional<VersionId> pinnedVersion;
    // Maximum number of hits in the answer.
    std::size_t resultSize = 10;
    // Include a record of each attempt in the answer.
    bool explain = false;
};

// One attempt, as reported to a caller that requested an explanation. sentAt and endedAt are
// counted from the start of the query.
struct AttemptRecord
{
    std::uint32_t shard = 0;
    SearcherId searcher;
    Outcome outcome;
    Millis sentAt;
    Millis endedAt;
    Millis serviceTime;
    bool hedge = false;
    bool ended = false;
};

// The answer to a caller.
struct Answer
{
    Outcome outcome;
    VersionId version;
    Coverage coverage;
    std::vector<Hit> hits;
    // HTTP status and body, for a request to a single searcher.
    std::uint32_t status = 0;
    std::string body;
    std::vector<AttemptRecord> attempts;
    // Number of times the query was restarted on another index version.
    std::uint32_t restarts = 0;
};

// Actions that the owner of a query has to carry out after an event.
struct QueryActions
{
    std::vector<Attempt> send;
    std::vector<Attempt> cancel;
    std::optional<Answer> answer;
};

// State machine of one query. Driven by events that carry the time; appends the resulting actions
// to out. Uses no clock and no socket.
class Query
{
public:
    Query(const QueryPlan &plan, PoolState &pool);

    // Chooses the index version and sends the first attempt to each shard.
    void start(Millis now, QueryActions &out);

    // Handles the result of an attempt. Results of attempts that have already ended are ignored.
    void onResult(Millis now, const AttemptResult &result, QueryActions &out);

    // Sends the hedges that are due, and finishes the query if its target or deadline allows or
    // requires it.
    void onTimer(Millis now, QueryActions &out);

    // Handles the caller's disconnection: ends the query and cancels its attempts if it is
    // repeatable.
    void onCallerGone(Millis now, QueryActions &out);

    // Returns the time at which onTimer must be called.
    Millis nextTimer() const { return this->timer; }

    bool finished() const { return this->done; }

    // Returns true if the pool is overloaded: a shard is missing because its last attempt was
    // refused for lack of capacity, or such refusals are widespread in the pool.
    bool sawCapacityRefusal() const { return this->capacityRefused; }

    Millis startedAt() const { return this->startTime; }
    const QueryPlan &queryPlan() const { return this->plan; }

private:
    enum class ShardPhase { Pending, Answered, Missing };

    struct ShardState
    {
        ShardPhase phase = ShardPhase::Pending;
        ShardAnswer answer;
        std::error_code reason;
        std::uint32_t openAttempts = 0;
        std::uint32_t sentAttempts = 0;
        Millis lastSentAt;
        bool hedged = false;
        std::vector<SearcherId> tried;
    };

    struct AttemptState
    {
        std::uint32_t shard = 0;
        SearcherId searcher;
        Millis sentAt;
        bool open = true;
        bool hedge = false;
    };

    // Returns the layout of the index version to query, or null if there is none.
    std::shared_ptr<const VersionLayout> pickLayout();
    // Sends the first attempt to each shard of the layout.
    void launchFirstAttempts(Millis now, QueryActions &out);
    // Sends an attempt for a shard. Returns false if no searcher is available for it.
    bool launch(std::uint32_t shard, bool hedge, Millis now, QueryActions &out);
    // Updates the pool's statistics with the result of an attempt.
    void observe(const AttemptState &attempt, const AttemptResult &result, Millis now);
    void onSuccess(std::uint32_t shard, const AttemptResult &result, Millis now, QueryActions &out);
    void onFailure(std::uint32_t shard, const Outcome &outcome, Millis now, QueryActions &out);
    // Returns true if retrying is safe and useful, regardless of the budget.
    bool mayRetry(const ShardState &shard, const Outcome &outcome, Millis now) const;
    bool retry(std::uint32_t shard, const Outcome &outcome, Millis now, QueryActions &out);
    // Restarts the query on another index version. Returns false if this is impossible or not
    // allowed.
    bool restart(Millis now, QueryActions &out);
    // Marks a shard as missing from the answer.
    void markMissing(std::uint32_t shard, const std::error_code &reason);
    // Closes the open attempts of one shard.
    void closeShardAttempts(std::uint32_t shard, Millis now, QueryActions &out);
    void closeAllAttempts(Millis now, QueryActions &out);
    // Stops waiting for an attempt and, if the query is repeatable, cancels it.
    void closeAttempt(std::uint32_t ordinal, Millis now, QueryActions &out);
    // Hedges the shards whose only open attempt has taken longer than hedgeDelay().
    void sendDueHedges(Millis now, QueryActions &out);
    // Finishes the query if all shards are answered or missing, at the deadline, or with enough
    // coverage from the target on.
    void finishIfDue(Millis now, QueryActions &out);
    void finish(Millis now, QueryActions &out);
    // Finishes the query before any attempt was sent.
    void finishWithFault(Fault fault, Millis now, QueryActions &out);
    Coverage coverage() const;
    Outcome overallOutcome(const Coverage &coverage) const;
    // Moves the hits of all answered shards, or the single searcher's answer, into the answer.
    void mergeInto(Answer &answer);
    // Returns the age of an attempt at which it is hedged.
    Millis hedgeDelay() const;
    // Completes the explanation of an attempt, if the caller requested one.
    void recordAttempt(std::uint32_t ordinal, const AttemptResult &result, Millis now);

    QueryPlan plan;
    PoolState &pool;
    std::shared_ptr<const VersionLayout> layout;
    std::vector<ShardState> shards;
    std::vector<AttemptState> attempts;
    std::vector<AttemptRecord> attemptRecords;
    // Attempts with a smaller ordinal belong to an index version used before a restart.
    std::uint32_t firstOrdinal = 0;
    // Number of shards that are neither answered nor missing.
    std::uint32_t pending = 0;
    std::uint32_t restarts = 0;
    Millis startTime;
    Millis timer = Millis::never();
    // True once an attempt has run or may have run.
    bool mayHaveRun = false;
    bool capacityRefused = false;
    bool done = false;
    std::error_code lastFailure;
    Hop lastHop = Hop::Entry;
};

} // namespace quetzal
