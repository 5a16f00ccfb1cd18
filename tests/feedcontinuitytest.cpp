// A feed goes on whatever an answer of its source contains and whatever its consumers do with it.
#include "gatewaywithstore.h"

#include <stdexcept>

#include <Poco/Exception.h>
#include <doctest/doctest.h>

using namespace quetzal;

namespace {

constexpr const char *goodEntry
        = R"({"service":"s","address":"127.0.0.1:9","zone":"z","maxConcurrency":2,)"
          R"("state":"ready","sequence":4})";

// An IPv6 address without brackets.
constexpr const char *unusableEntry
        = R"({"service":"s","address":"fd00::17:8080","zone":"z","maxConcurrency":2,)"
          R"("state":"ready","sequence":4})";

// A feed of a view on one loop, and its store.
struct FeedOnView
{
    explicit FeedOnView(std::function<void()> onChange)
        : store(this->loop)
        , feed(this->loop, this->store.address(), this->view, 1)
    {
        this->view.onChange(std::move(onChange));
        this->store.putTables();
        this->feed.start();
    }

    // Runs the loop for at most the given time. Returns whether the tables are in force.
    bool awaitTables(std::uint64_t revision, Millis span)
    {
        const Millis end = SteadyClock::now() + span;
        while (this->view.tablesRevision().value != revision && SteadyClock::now() < end)
            this->loop.runOnce();
        return this->view.tablesRevision().value == revision;
    }

    EventLoop loop;
    PlatformStore store;
    ServingView view;
    platform::StoreFeed feed;
};

} // namespace

TEST_CASE("a registration with an unusable address does not end the feed")
{
    GatewayWithStore fixture;
    REQUIRE(fixture.awaitWatch());
    fixture.store.put("servers/i-odd", unusableEntry);
    fixture.runUntil(Millis(500), [] { return false; });
    fixture.store.put("servers/i-good", goodEntry);
    const std::uint64_t changed = fixture.store.putTables();
    CHECK(fixture.runUntil(fixture.settings.changeDeadline,
                           [&] { return fixture.inForce == changed && fixture.searchers == 1; }));
}

TEST_CASE("a listing with an unusable address does not end the feed")
{
    GatewayWithStore fixture([](PlatformStore &store) {
        store.put("servers/i-odd", unusableEntry);
        store.put("servers/i-good", goodEntry);
    });
    CHECK(fixture.awaitWatch());
    const std::uint64_t changed = fixture.store.putTables();
    CHECK(fixture.runUntil(fixture.settings.changeDeadline,
                           [&] { return fixture.inForce == changed && fixture.searchers == 1; }));
}

TEST_CASE("an exception of the view's consumer does not end the feed")
{
    int changes = 0;
    FeedOnView fixture([&changes] {
        if (++changes == 1)
            throw Poco::InvalidArgumentException("test");
    });
    fixture.awaitTables(1, Millis(1000));
    const std::uint64_t changed = fixture.store.putTables();
    CHECK(fixture.awaitTables(changed, Millis(3000)));
}

TEST_CASE("a view whose newest tables were refused does not count as confirmed")
{
    FeedOnView fixture([] {});
    REQUIRE(fixture.awaitTables(1, Millis(1000)));
    fixture.store.put(platform::tablesKey, R"({"version":2,"routes":[{"name":7}]})");
    const Millis end = SteadyClock::now() + Millis(1000);
    while (fixture.feed.status().refusedTables == 0 && SteadyClock::now() < end)
        fixture.loop.runOnce();
    const Millis refusedAt = SteadyClock::now();
    while (SteadyClock::now() < refusedAt + Millis(1500))
        fixture.loop.runOnce();
    CHECK(fixture.view.freshness().age(SteadyClock::now()) > Millis(1400));
    CHECK(fixture.view.tablesRevision().value == 1);
    CHECK(fixture.awaitTables(fixture.store.putTables(), Millis(1000)));
    CHECK(fixture.feed.status().refusedTables == 0);
    CHECK(fixture.view.freshness().age(SteadyClock::now()) < Millis(500));
}

TEST_CASE("a doubted feed asks its source again although no call is in progress")
{
    int changes = 0;
    FeedOnView fixture([&changes] {
        if (++changes == 1)
            throw Poco::InvalidArgumentException("test");
    });
    fixture.awaitTables(1, Millis(1000));
    const std::uint64_t changed = fixture.store.putTables();
    fixture.feed.refresh();
    CHECK(fixture.awaitTables(changed, Millis(3000)));
}
