// Property tests with fixed seeds: queries under random events, and decoders on altered input.
#include "connection/frame.h"
#include "connection/httpreader.h"
#include "connection/messages.h"
#include "process/membership.h"
#include "process/settings.h"
#include "request/poolstate.h"
#include "request/query.h"
#include "version/tablechunks.h"
#include "version/tablesyaml.h"

#include <map>
#include <random>
#include <set>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace quetzal;

namespace {

constexpr std::uint32_t shardCount = 3;
constexpr std::uint64_t searcherCount = 6;
constexpr std::uint64_t documents = 10;

// One query against searchers whose replies are late, duplicated, wrong or missing, as a list of
// random numbers decides. Asserts the invariants of every query. If isOrder is set, the query is an
// order: a request to one searcher that must not be repeated.
class RandomRun
{
public:
    explicit RandomRun(const std::vector<std::uint8_t> &choices, bool isOrder)
        : choices(choices)
        , pool(1, PolicyOptions())
    {
        std::vector<SearcherId> members;
        for (std::uint64_t id = 1; id <= searcherCount; ++id)
            members.push_back({ id });
        this->pool.versions.setMembers(members);
        for (std::uint64_t id = 1; id <= searcherCount; ++id)
            this->reportHolding({ id }, { 1 });
        this->plan.id = { 7 };
        this->plan.deadline = Millis(100);
        this->plan.target = Millis(60);
        this->plan.minCoverage = 0.5;
        this->plan.repeatable = !isOrder;
        this->plan.kind = isOrder ? RouteKind::OneSearcher : RouteKind::AllShards;
    }

    void run()
    {
        Query query(this->plan, this->pool);
        Millis now(0);
        QueryActions actions;
        query.start(now, actions);
        this->record(actions);
        for (const std::uint8_t choice : this->choices) {
            now += Millis(choice % 8);
            QueryActions next;
            if (choice % 11 == 0)
                this->reportHolding({ 1 + choice % searcherCount }, { 1 + choice % 3U });
            if (choice % 5 == 0 || this->sent.empty())
                query.onTimer(now, next);
            else
                query.onResult(now, this->resultFor(choice), next);
            this->record(next);
        }
        QueryActions last;
        query.onTimer(Millis(200), last);
        this->record(last);
        this->check();
    }

private:
    // Reports that a searcher holds its shard at that version.
    void reportHolding(SearcherId searcher, VersionId version)
    {
        const auto shard = static_cast<std::uint32_t>((searcher.value - 1) / 2);
        this->pool.versions.report(searcher, { { version, shardCount, shard, documents } });
    }

    // Records the attempts and the answer that the query produced.
    void record(QueryActions &actions)
    {
        for (const Attempt &attempt : actions.send)
            this->sent.push_back(attempt);
        RC_ASSERT(!(actions.answer && this->answer));
        if (actions.answer)
            this->answer = std::move(actions.answer);
        // No attempts are sent after the answer.
        RC_ASSERT(!this->answer || actions.send.empty());
    }

    // Returns the result of one of the attempts, chosen at random.
    AttemptResult resultFor(std::uint8_t choice)
    {
        const Attempt attempt = this->sent[choice % this->sent.size()];
        // Further replies to an attempt repeat the first one.
        const auto known = this->results.find(attempt.id.ordinal);
        if (known != this->results.end())
            return known->second;
        AttemptResult result = this->randomResult(attempt, choice);
        this->results[attempt.id.ordinal] = result;
        return result;
    }

    // Returns a random result: not run, may have run, or a reply.
    AttemptResult randomResult(const Attempt &attempt, std::uint8_t choice)
    {
        AttemptResult result;
        result.id = attempt.id;
        switch (choice % 7) {
        case 0:
            result.outcome = { Verdict::NotRun, Fault::QueueFull, Hop::Relay };
            return result;
        case 1:
            result.outcome = { Verdict::NotRun, Fault::VersionMissing, Hop::Searcher };
            return result;
        case 2:
            this->possiblyRan.insert(attempt.id.ordinal);
            result.outcome = { Verdict::MayHaveRun, Fault::ConnectionReset, Hop::Relay };
            return result;
        default:
            break;
        }
        this->possiblyRan.insert(attempt.id.ordinal);
        result.outcome = { Verdict::Ran, {}, Hop::Searcher };
        result.answer.version = attempt.version;
        result.answer.shard = attempt.shard;
        result.answer.documents = documents;
        result.answer.hits = { { "v" + std::to_string(attempt.version.value) + "-"
                                         + std::to_string(attempt.shard),
                                 1.0 } };
        // Some replies are of another version or shard.
        if (choice % 13 == 0)
            result.answer.version.value += 1;
        if (choice % 17 == 0)
            result.answer.shard += 1;
        return result;
    }

    // Asserts that the answer agrees with what was sent and received.
    void check() const
    {
        RC_ASSERT(this->answer.has_value());
        const Coverage &coverage = this->answer->coverage;
        RC_ASSERT(coverage.shardsAnswered + coverage.missing.size() == coverage.shardsTotal);
        if (this->answer->outcome.verdict == Verdict::NotRun)
            RC_ASSERT(this->possiblyRan.empty());
        if (this->plan.kind == RouteKind::OneSearcher) {
            RC_ASSERT(this->possiblyRan.size() <= 1U);
            return;
        }
        RC_ASSERT(coverage.documentsAnswered == coverage.shardsAnswered * documents);
        const std::string versionPrefix = "v" + std::to_string(this->answer->version.value) + "-";
        std::set<std::string> seen;
        for (const Hit &hit : this->answer->hits) {
            RC_ASSERT(hit.id.starts_with(versionPrefix));
            RC_ASSERT(seen.insert(hit.id).second);
        }
        RC_ASSERT(seen.size() == coverage.shardsAnswered);
    }

    std::vector<std::uint8_t> choices;
    PoolState pool;
    QueryPlan plan;
    std::vector<Attempt> sent;
    // Ordinals of the attempts that ran or may have run.
    std::set<std::uint32_t> possiblyRan;
    std::map<std::uint32_t, AttemptResult> results;
    std::optional<Answer> answer;
};

// Returns true if the invariants hold in all runs.
bool invariantsHold(const std::string &name, bool isOrder)
{
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    rc::detail::TestParams params;
    // Fixed, so that the test is deterministic.
    params.seed = 20'261'204;
    params.maxSuccess = 3000;
    const auto result = rc::detail::checkTestable(
            [isOrder](const std::vector<std::uint8_t> &choices) {
                RandomRun(choices, isOrder).run();
            },
            metadata, params);
    rc::detail::printResultMessage(result, std::cerr);
    return result.template is<rc::detail::SuccessResult>();
}

} // namespace

TEST_CASE("queries keep their invariants under any order of replies, refusals, resets and version "
          "changes")
{
    CHECK(invariantsHold("search", false));
    CHECK(invariantsHold("order", true));
}

TEST_CASE("decoders of untrusted bytes do not crash on random or altered input")
{
    std::mt19937_64 random(20'261'204);
    const KeyRing keys({ { 1, "a-secret-of-the-fleet" } });
    Heartbeat heartbeat;
    heartbeat.sender.name = "host";
    heartbeat.updates.resize(3);
    SubRequests batch;
    batch.items.resize(4);
    const std::vector<std::string> valid
            = { encode(heartbeat),         encode(batch),
                encode(Manifest()),        "GET /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
                "routes: [ { name: a } ]", "host: { name: a }\nkeys: [ { number: 1 } ]\n" };
    for (int round = 0; round < 20'000; ++round) {
        std::string bytes = valid[random() % valid.size()];
        for (std::uint64_t edits = random() % 6; edits > 0 && !bytes.empty(); --edits) {
            const std::size_t at = random() % bytes.size();
            if (random() % 3 == 0)
                bytes.erase(at, random() % 8);
            else
                bytes[at] = static_cast<char>(random());
        }
        static_cast<void>(decode<Heartbeat>(bytes));
        static_cast<void>(decode<SubRequests>(bytes));
        static_cast<void>(decode<Manifest>(bytes));
        CHECK_FALSE(keys.verify(bytes));
        HttpReader<Poco::Net::HTTPRequest> reader({ 1000, 1000 });
        reader.feed(bytes);
        static_cast<void>(reader.next());
        if (round % 10 != 0)
            continue;
        static_cast<void>(parseTables("r", bytes, "p", bytes));
        static_cast<void>(parseSettings("s", bytes));
    }
}
