// Tests of the state machine of one query, driven in virtual time.
#include "request/query.h"
#include "request/poolstate.h"

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

constexpr std::uint32_t shardCount = 4;
constexpr std::uint64_t documentsPerShard = 100;

// Returns the id of one of the two searchers of a shard; index is 0 or 1.
SearcherId replica(std::uint32_t shard, std::uint32_t index)
{
    return { 1 + shard * 2ULL + index };
}

// A pool of four shards with two searchers each, all of which hold index version 7.
struct Fixture
{
    Fixture()
    {
        std::vector<SearcherId> members;
        for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
            members.push_back(replica(shard, 0));
            members.push_back(replica(shard, 1));
        }
        this->pool.versions.setMembers(members);
        for (std::uint32_t shard = 0; shard < shardCount; ++shard)
            for (std::uint32_t index = 0; index < 2; ++index)
                this->reportHolding(replica(shard, index), { 7 }, shardCount, shard);
        this->plan.id = { 1 };
        this->plan.deadline = Millis(100);
        this->plan.target = Millis(100);
    }

    // Reports that a searcher holds one shard of an index version with that number of partitions.
    void reportHolding(SearcherId searcher, VersionId version, std::uint32_t partitions,
                       std::uint32_t shard)
    {
        this->pool.versions.report(searcher, { { version, partitions, shard, documentsPerShard } });
    }

    static AttemptResult success(const Attempt &attempt)
    {
        AttemptResult result;
        result.id = attempt.id;
        result.outcome = { Verdict::Ran, {}, Hop::Searcher };
        result.answer.version = attempt.version;
        result.answer.shard = attempt.shard;
        result.answer.documents = documentsPerShard;
        result.answer.hits = { { "item-" + std::to_string(attempt.shard), 1.0 + attempt.shard } };
        return result;
    }

    static AttemptResult failure(const Attempt &attempt, Verdict verdict, Fault fault)
    {
        AttemptResult result;
        result.id = attempt.id;
        result.outcome = { verdict, fault, Hop::Relay };
        return result;
    }

    PoolState pool{ 1, PolicyOptions() };
    QueryPlan plan;
};

} // namespace

TEST_CASE("a query sends one sub-request to each shard and merges the hits by score")
{
    Fixture f;
    Query query(f.plan, f.pool);
    QueryActions actions;
    query.start(Millis(0), actions);
    REQUIRE(actions.send.size() == shardCount);
    const std::vector<Attempt> sent = actions.send;
    for (const Attempt &attempt : sent)
        query.onResult(Millis(5), Fixture::success(attempt), actions);
    REQUIRE(actions.answer);
    CHECK(actions.answer->coverage.complete());
    CHECK(actions.answer->coverage.documentsTotal == shardCount * documentsPerShard);
    REQUIRE(actions.answer->hits.size() == shardCount);
    CHECK(actions.answer->hits.front().id == "item-3");
}

TEST_CASE(
        "an answer at the deadline reports the missing shard and counts its documents in the total")
{
    Fixture f;
    Query query(f.plan, f.pool);
    QueryActions actions;
    query.start(Millis(0), actions);
    const std::vector<Attempt> sent = actions.send;
    for (std::size_t i = 1; i < sent.size(); ++i)
        query.onResult(Millis(5), Fixture::success(sent[i]), actions);
    query.onTimer(Millis(100), actions);
    REQUIRE(actions.answer);
    CHECK(actions.answer->coverage.shardsAnswered == shardCount - 1);
    REQUIRE(actions.answer->coverage.missing.size() == 1);
    CHECK(actions.answer->coverage.missing[0].shard == sent[0].shard);
    CHECK(actions.answer->coverage.documentsTotal == shardCount * documentsPerShard);
    // A reply after the answer has no effect.
    QueryActions late;
    query.onResult(Millis(101), Fixture::success(sent[0]), late);
    CHECK_FALSE(late.answer);
}

TEST_CASE("a refused sub-request is retried on the other replica, and a duplicate reply is ignored")
{
    Fixture f;
    Query query(f.plan, f.pool);
    QueryActions actions;
    query.start(Millis(0), actions);
    const std::vector<Attempt> sent = actions.send;
    actions.send.clear();
    query.onResult(Millis(1), Fixture::failure(sent[0], Verdict::NotRun, Fault::Draining), actions);
    REQUIRE(actions.send.size() == 1);
    CHECK(actions.send[0].shard == sent[0].shard);
    CHECK(actions.send[0].searcher != sent[0].searcher);
    const Attempt retried = actions.send[0];
    query.onResult(Millis(2), Fixture::success(retried), actions);
    query.onResult(Millis(2), Fixture::success(retried), actions);
    for (std::size_t i = 1; i < sent.size(); ++i)
        query.onResult(Millis(5), Fixture::success(sent[i]), actions);
    REQUIRE(actions.answer);
    CHECK(actions.answer->hits.size() == shardCount);
}

TEST_CASE("a missing version restarts the whole query without mixing versions")
{
    Fixture f;
    Query query(f.plan, f.pool);
    QueryActions actions;
    query.start(Millis(0), actions);
    const std::vector<Attempt> sent = actions.send;
    query.onResult(Millis(3), Fixture::success(sent[1]), actions);
    for (std::uint32_t shard = 0; shard < shardCount; ++shard)
        for (std::uint32_t index = 0; index < 2; ++index)
            f.reportHolding(replica(shard, index), { 8 }, shardCount, shard);
    actions.send.clear();
    query.onResult(Millis(4), Fixture::failure(sent[0], Verdict::NotRun, Fault::VersionMissing),
                   actions);
    REQUIRE(actions.send.size() == shardCount);
    const std::vector<Attempt> restarted = actions.send;
    for (const Attempt &attempt : restarted) {
        CHECK(attempt.version == VersionId{ 8 });
        query.onResult(Millis(9), Fixture::success(attempt), actions);
    }
    REQUIRE(actions.answer);
    CHECK(actions.answer->version == VersionId{ 8 });
    CHECK(actions.answer->restarts == 1);
    CHECK(actions.answer->hits.size() == shardCount);
}

TEST_CASE("a reply for another version or shard is never merged")
{
    Fixture f;
    Query query(f.plan, f.pool);
    QueryActions actions;
    query.start(Millis(0), actions);
    const std::vector<Attempt> sent = actions.send;
    AttemptResult wrong = Fixture::success(sent[0]);
    wrong.answer.version = { 6 };
    query.onResult(Millis(3), wrong, actions);
    for (std::size_t i = 1; i < sent.size(); ++i)
        query.onResult(Millis(5), Fixture::success(sent[i]), actions);
    query.onTimer(Millis(100), actions);
    REQUIRE(actions.answer);
    CHECK(actions.answer->coverage.shardsAnswered == shardCount - 1);
}

TEST_CASE("a non-repeatable request is retried only after NotRun")
{
    Fixture f;
    f.plan.kind = RouteKind::OneSearcher;
    f.plan.repeatable = false;
    SUBCASE("MayHaveRun ends it")
    {
        Query query(f.plan, f.pool);
        QueryActions actions;
        query.start(Millis(0), actions);
        REQUIRE(actions.send.size() == 1);
        const Attempt sent = actions.send[0];
        actions.send.clear();
        query.onResult(Millis(1),
                       Fixture::failure(sent, Verdict::MayHaveRun, Fault::ConnectionReset),
                       actions);
        CHECK(actions.send.empty());
        REQUIRE(actions.answer);
        CHECK(actions.answer->outcome.verdict == Verdict::MayHaveRun);
    }
    SUBCASE("NotRun tries another searcher")
    {
        Query query(f.plan, f.pool);
        QueryActions actions;
        query.start(Millis(0), actions);
        const Attempt sent = actions.send[0];
        actions.send.clear();
        query.onResult(Millis(1), Fixture::failure(sent, Verdict::NotRun, Fault::QueueFull),
                       actions);
        CHECK(actions.send.size() == 1);
    }
    SUBCASE("no reply until the deadline gives MayHaveRun")
    {
        Query query(f.plan, f.pool);
        QueryActions actions;
        query.start(Millis(0), actions);
        query.onTimer(Millis(100), actions);
        REQUIRE(actions.answer);
        CHECK(actions.answer->outcome.verdict == Verdict::MayHaveRun);
        CHECK(actions.cancel.empty());
    }
}

TEST_CASE("the total document count is empty if the count of a shard was never reported")
{
    Fixture f;
    f.pool.versions.setMembers({ replica(0, 0), replica(1, 0), replica(2, 0) });
    for (std::uint32_t shard = 0; shard < 3; ++shard)
        f.reportHolding(replica(shard, 0), { 9 }, shardCount, shard);
    Query query(f.plan, f.pool);
    QueryActions actions;
    query.start(Millis(0), actions);
    const std::vector<Attempt> sent = actions.send;
    REQUIRE(sent.size() == 3);
    for (const Attempt &attempt : sent)
        query.onResult(Millis(5), Fixture::success(attempt), actions);
    REQUIRE(actions.answer);
    CHECK_FALSE(actions.answer->coverage.documentsTotal);
    CHECK(actions.answer->coverage.shardsTotal == shardCount);
}

TEST_CASE("a query whose cancelled attempts may have run does not report NotRun")
{
    Fixture f;
    Query query(f.plan, f.pool);
    QueryActions actions;
    query.start(Millis(0), actions);
    const std::vector<Attempt> sent = actions.send;
    for (std::uint32_t shard = 0; shard < shardCount; ++shard)
        for (std::uint32_t index = 0; index < 2; ++index)
            f.reportHolding(replica(shard, index), { 8 }, shardCount, shard);
    actions.send.clear();
    // The version is gone, so the query restarts on version 8, where every attempt is refused. The
    // attempts that the restart cancelled may still have run.
    query.onResult(Millis(4), Fixture::failure(sent[0], Verdict::NotRun, Fault::VersionMissing),
                   actions);
    for (std::size_t i = 0; i < actions.send.size() && !actions.answer; ++i) {
        const Attempt attempt = actions.send[i];
        query.onResult(Millis(6), Fixture::failure(attempt, Verdict::NotRun, Fault::ConnectFailed),
                       actions);
    }
    REQUIRE(actions.answer);
    CHECK(actions.answer->coverage.shardsAnswered == 0);
    CHECK(actions.answer->outcome.verdict == Verdict::MayHaveRun);
}
