// Reading of the platform's documents into the product's types.
#include "platform/documents.h"

#include <doctest/doctest.h>

using namespace quetzal;
using namespace quetzal::platform;

static DirectoryEntry read(const std::string &value)
{
    StoreItem item;
    item.key = "servers/i-1";
    item.value = value;
    item.revision = 9;
    return readRegistration(item);
}

TEST_CASE("a registration is read whole or names no searcher")
{
    const std::string valid
            = R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
              R"("maxConcurrency":2,"state":"ready","warmupLeftMs":1500,"sequence":4,"born":77})";
    const DirectoryEntry entry = read(valid);
    CHECK(entry.id == "i-1");
    CHECK(entry.state == SearcherState::Ready);
    CHECK(entry.born == 77);
    CHECK(entry.warmup == Millis(1500));
    CHECK(entry.revision == 9);
    const auto broken = [&](const std::string &part, const std::string &by) {
        std::string text = valid;
        text.replace(text.find(part), part.size(), by);
        return read(text).state;
    };
    CHECK(broken("\"ready\"", "\"draining\"") == SearcherState::Draining);
    const std::vector<std::pair<std::string, std::string>> faults
            = { { "\"ready\"", "\"resting\"" },
                { "\"ready\"", "3" },
                { "\"s\"", "7" },
                { "10.0.0.1:80", "nowhere" },
                { "\"maxConcurrency\":2", "\"maxConcurrency\":\"2\"" },
                { "\"maxConcurrency\":2", "\"maxConcurrency\":true" },
                { "\"sequence\":4", "\"other\":4" },
                { "\"born\":77", "\"born\":7.5" },
                { "}", "" } };
    for (const auto &fault : faults)
        CHECK_MESSAGE(broken(fault.first, fault.second) == SearcherState::Gone, fault.second);
    CHECK(read("\xff\xfe").state == SearcherState::Gone);
    CHECK(read("[]").state == SearcherState::Gone);
}

TEST_CASE("tables are read with their routes, splits and limits, or refused with a reason")
{
    std::string error;
    const auto tables = readTables(
            R"({"version":7,"routes":[{"name":"r","host":"Shop.Example","prefix":"/a/",)"
            R"("type":"non_idempotent","timeoutMs":400,"targetLatencyMs":80,"priority":2,)"
            R"("trafficSplit":[{"service":"x","weight":3},{"service":"y","weight":1}],)"
            R"("maxAttempts":2},{"name":"f","host":"h","prefix":"/b/","type":"idempotent",)"
            R"("timeoutMs":9,"fanoutServices":["x","y"],"topK":5,"minShardRatio":0.5}],)"
            R"("services":[{"name":"x","maxConns":26}],"limits":{"maxBodyBytes":10}})",
            error);
    REQUIRE(tables);
    CHECK(tables->revision.value == 7);
    CHECK_FALSE(tables->routes[0].repeatable);
    CHECK(tables->routes[0].split.size() == 2);
    CHECK(tables->routes[0].host == "shop.example");
    CHECK(tables->routes[1].shardPools.size() == 2);
    CHECK(tables->routes[1].minCoverage == 0.5);
    CHECK(tables->pool("x")->connectionCap == 26);
    CHECK(tables->limits.bodyBytes == 10);
    CHECK_FALSE(readTables(R"({"version":7,"routes":[{"name":"r"}]})", error));
    CHECK_FALSE(error.empty());
    CHECK_FALSE(readTables("{", error));
}

TEST_CASE("pages of the store are read whole or not at all")
{
    const auto page = readPage(R"({"items":[{"key":"k","value":"bm9kZS0x","revision":4}],)"
                               R"("hasMore":true,"currentRev":9})");
    REQUIRE(page);
    CHECK(page->items[0].value == "node-1");
    CHECK(page->hasMore);
    const auto events
            = readPage(R"({"events":[{"key":"k","revision":5,"deleted":true}],"currentRev":5})");
    REQUIRE(events);
    CHECK(events->items[0].deleted);
    CHECK_FALSE(readPage(R"({"items":[{"key":"k"}],"currentRev":9})"));
    CHECK_FALSE(readPage(R"({"currentRev":9})"));
    CHECK_FALSE(readPage("x"));
}
