// One caller's request at its entry host: fan-out, replica choice, hedges, retries and merge.
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

// What a caller asked for, resolved against its route. Times are points on the entry's clock.
struct QueryPlan
{
    QueryId id;
    RouteKind kind = RouteKind::AllShards;
    bool repeatable = true;
    Millis target;
    Millis deadline;
    double minCoverage = 1;
    BelowMinimum belowMinimum = BelowMinimum::Partial;
    std::optional<VersionId> pinnedVersion;
    std::size_t resultSize = 10;
    // Keep a record of each attempt for the answer.
    bool explain = false;
};

// One attempt as told to a caller who asked for an explanation. Times are since the query began.
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

// What a caller gets.
struct Answer
{
    Outcome outcome;
    VersionId version;
    Coverage coverage;
    std::vector<Hit> hits;
    // Status and body of a single searcher's answer.
    std::uint32_t status = 0;
    std::string body;
    std::vector<AttemptRecord> attempts;
    std::uint32_t restarts = 0;
};

// What a query wants done after an event.
struct QueryActions
{
    std::vector<Attempt> send;
    std::vector<Attempt> cancel;
    std::optional<Answer> answer;
};

// Runs one query. Takes events with a time and appends actions; keeps no clock and no socket.
class Query
{
public:
    Query(const QueryPlan &plan, PoolState &pool);

    // Pins the version and sends the first attempts.
    void start(Millis now, QueryActions &out);

    // Takes the end of an attempt. Results for ended attempts are ignored.
    void onResult(Millis now, const AttemptResult &result, QueryActions &out);

    // Hedges, answers early or gives up, as far as these are due.
    void onTimer(Millis now, QueryActions &out);

    // The caller went away. Cancels what may be cancelled.
    void onCallerGone(Millis now, QueryActions &out);

    // Returns the time at which onTimer is wanted.
    Millis nextTimer() const { return this->timer; }

    bool finished() const { return this->done; }

    // True if capacity was refused to some part of the query.
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

    std::shared_ptr<const VersionLayout> pickLayout();
    void launchFirstAttempts(Millis now, QueryActions &out);
    bool launch(std::uint32_t shard, bool hedge, Millis now, QueryActions &out);
    void observe(const AttemptState &attempt, const AttemptResult &result, Millis now);
    void onSuccess(std::uint32_t shard, const AttemptResult &result, Millis now, QueryActions &out);
    void onFailure(std::uint32_t shard, const Outcome &outcome, Millis now, QueryActions &out);
    bool mayRetry(const ShardState &shard, const Outcome &outcome, Millis now) const;
    bool retry(std::uint32_t shard, const Outcome &outcome, Millis now, QueryActions &out);
    bool restart(Millis now, QueryActions &out);
    void markMissing(std::uint32_t shard, const std::error_code &reason);
    void closeShardAttempts(std::uint32_t shard, Millis now, QueryActions &out);
    void closeAllAttempts(Millis now, QueryActions &out);
    void closeAttempt(std::uint32_t ordinal, Millis now, QueryActions &out);
    void sendDueHedges(Millis now, QueryActions &out);
    void finishIfDue(Millis now, QueryActions &out);
    void finish(Millis now, QueryActions &out);
    void finishWithFault(Fault fault, Millis now, QueryActions &out);
    Coverage coverage() const;
    Outcome overallOutcome(const Coverage &coverage) const;
    void mergeInto(Answer &answer);
    Millis hedgeDelay() const;
    void recordAttempt(std::uint32_t ordinal, const AttemptResult &result, Millis now);

    QueryPlan plan;
    PoolState &pool;
    std::shared_ptr<const VersionLayout> layout;
    std::vector<ShardState> shards;
    std::vector<AttemptState> attempts;
    std::vector<AttemptRecord> attemptRecords;
    // Attempts with a smaller ordinal belong to an abandoned version.
    std::uint32_t firstOrdinal = 0;
    std::uint32_t pending = 0;
    std::uint32_t restarts = 0;
    Millis startTime;
    Millis timer = Millis::never();
    // True once some attempt ran or may have run.
    bool mayHaveRun = false;
    bool capacityRefused = false;
    bool done = false;
    std::error_code lastFailure;
    Hop lastHop = Hop::Entry;
};

} // namespace quetzal
