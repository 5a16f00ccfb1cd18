// Nanoseconds and allocations per sub-request on the request path, each next to a simple baseline.
#include "bench/report.h"
#include "bench/timing.h"
#include "request/callerrequest.h"
#include "request/hitjson.h"
#include "request/merge.h"
#include "request/poolstate.h"
#include "request/query.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <map>
#include <new>

#include <Poco/JSON/Parser.h>
#include <absl/flags/parse.h>

// Counts calls of the replaced operator new.
static std::atomic<std::uint64_t> allocationCount = 0;

void *operator new(std::size_t size)
{
    allocationCount.fetch_add(1, std::memory_order_relaxed);
    void *memory = std::malloc(size);
    if (memory == nullptr)
        throw std::bad_alloc();
    return memory;
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace quetzal {

namespace {

constexpr std::array<std::uint32_t, 3> shardCounts = { 20, 200, 1800 };
// Upper bound that leaves an entry host enough processor time for socket I/O at 1,800 shards.
constexpr double maxNanosPerSubRequest = 5000;

// Returns the mean number of allocations of one call.
template <typename Action>
double allocationsPer(std::size_t count, Action &&action)
{
    const std::uint64_t before = allocationCount;
    for (std::size_t i = 0; i < count; ++i)
        action();
    return static_cast<double>(allocationCount - before) / static_cast<double>(count);
}

// Adds the time and allocations of one action, each divided by the number of its parts. Returns the
// nanoseconds per part.
template <typename Action>
double addCost(Report &report, const std::string &name, std::size_t count, double parts,
               Action &&action)
{
    const double nanos = nanosPer(count, action) / parts;
    report.addFigure(name + "/time", nanos, "ns");
    report.addFigure(name + "/allocations", allocationsPer(count, action) / parts, "allocations");
    return nanos;
}

// Returns a sorted list of ten hits for each shard.
std::vector<std::vector<Hit>> makeHits(std::uint32_t shards)
{
    std::mt19937_64 random(1);
    std::vector<std::vector<Hit>> lists(shards);
    for (std::vector<Hit> &list : lists) {
        for (int i = 0; i < 10; ++i)
            list.push_back({ "item-" + std::to_string(random() % 1'000'000),
                             static_cast<double>(random() % 1000) });
        std::sort(list.begin(), list.end(), ranksBefore);
    }
    return lists;
}

// Merging the hits of all shards, against sorting all of them.
void measureMerge(Report &report)
{
    for (const std::uint32_t shards : shardCounts) {
        const auto lists = makeHits(shards);
        const std::string prefix = "merge/" + std::to_string(shards);
        const double ours = addCost(report, prefix + "/ours", 40'000 / shards, shards, [&] {
            auto copy = lists;
            doNotOptimize(mergeHits(std::move(copy), 10));
        });
        const double baseline = addCost(report, prefix + "/sort-all", 40'000 / shards, shards, [&] {
            std::vector<Hit> all;
            for (const std::vector<Hit> &list : lists)
                all.insert(all.end(), list.begin(), list.end());
            std::sort(all.begin(), all.end(), ranksBefore);
            all.resize(10);
            doNotOptimize(all);
        });
        report.checkAtMost(prefix + "/ratio", ours / baseline, "ratio", 1);
    }
}

// A whole query with one attempt for each shard.
void measureQuery(Report &report)
{
    for (const std::uint32_t shards : shardCounts) {
        PoolState pool(1, PolicyOptions());
        std::vector<SearcherId> ids;
        for (std::uint32_t i = 0; i < shards * 2; ++i)
            ids.push_back({ i + 1 });
        pool.versions.setMembers(ids);
        for (std::uint32_t i = 0; i < shards * 2; ++i)
            pool.versions.report(ids[i], { { { 1 }, shards, i / 2, 100 } });
        Millis now(0);
        std::uint64_t number = 0;
        const auto run = [&] {
            now += Millis(50);
            QueryPlan plan;
            plan.id = { ++number };
            plan.deadline = now + Millis(300);
            plan.target = plan.deadline;
            Query query(plan, pool);
            QueryActions actions;
            query.start(now, actions);
            const std::vector<Attempt> sent = std::move(actions.send);
            actions.send.clear();
            for (const Attempt &attempt : sent) {
                AttemptResult result;
                result.id = attempt.id;
                result.outcome = { Verdict::Ran, {}, Hop::Searcher };
                result.answer.version = attempt.version;
                result.answer.shard = attempt.shard;
                result.answer.documents = 100;
                query.onResult(now + Millis(10), result, actions);
            }
            doNotOptimize(actions);
        };
        const std::string prefix = "query/" + std::to_string(shards);
        const double ours = addCost(report, prefix + "/ours", 20'000 / shards, shards, run);
        std::mt19937_64 random(1);
        addCost(report, prefix + "/random-replica", 20'000 / shards, shards, [&] {
            // Baseline without a policy: a random replica for each shard and a map of open
            // attempts.
            std::map<std::uint32_t, SearcherId> open;
            for (std::uint32_t shard = 0; shard < shards; ++shard)
                open[shard] = ids[std::size_t(shard) * 2 + random() % 2];
            for (std::uint32_t shard = 0; shard < shards; ++shard)
                open.erase(shard);
            doNotOptimize(open);
        });
        report.checkAtMost(prefix + "/bound", ours, "ns", maxNanosPerSubRequest);
    }
}

// Choosing one of two replicas.
void measureChoice(Report &report)
{
    ReplicaChooser chooser(1, ChooserOptions());
    const std::array<SearcherId, 2> replicas = { SearcherId{ 1 }, SearcherId{ 2 } };
    for (const SearcherId id : replicas)
        // Known for so long that its slow start is over.
        chooser.setSearcher(id, 2, Millis(0), Millis(-1e6));
    addCost(report, "choose/ours", 100'000, 1,
            [&] { doNotOptimize(chooser.choose(replicas, {}, Millis(1))); });
    std::mt19937_64 random(1);
    addCost(report, "choose/random", 100'000, 1, [&] { doNotOptimize(replicas[random() % 2]); });
}

// Parsing a searcher's reply, and validating a caller's request.
void measureParsing(Report &report)
{
    std::string reply = R"({"version":1,"partitions":20,"shard":3,"documents":5000,"hits":[)";
    for (int i = 0; i < 10; ++i)
        reply += (i > 0 ? "," : "") + std::string(R"({"id":"item-)") + std::to_string(i)
                 + R"(","score":0.5})";
    reply += "]}";
    addCost(report, "parse-reply/ours", 5000, 1, [&] { doNotOptimize(parseSearchReply(reply)); });
    addCost(report, "parse-reply/json-only", 5000, 1, [&] {
        Poco::JSON::Parser parser;
        doNotOptimize(parser.parse(reply));
    });
    RoutingTables tables;
    Route route;
    route.name = "shopfront";
    route.pathPrefix = "/shopfront/search";
    route.deadline = Millis(320);
    tables.routes.push_back(route);
    HttpRequest request;
    request.head.setMethod("GET");
    request.head.setURI("/shopfront/search?q=titanium+ring&limit=10");
    addCost(report, "route/ours", 5000, 1,
            [&] { doNotOptimize(checkRequest(request, tables, "id")); });
    addCost(report, "route/match-only", 5000, 1,
            [&] { doNotOptimize(tables.match("GET", "/shopfront/search", "")); });
}

} // namespace

} // namespace quetzal

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    quetzal::Report report;
    quetzal::measureParsing(report);
    quetzal::measureChoice(report);
    quetzal::measureMerge(report);
    quetzal::measureQuery(report);
    return report.print();
}
