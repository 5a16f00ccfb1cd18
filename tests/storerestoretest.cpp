// A store that is restored from an older copy takes nothing back, and hides nothing written since.
#include "restoredstore.h"

#include "quetzal/steadyclock.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <vector>

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

std::string searcherText(const std::string &state, int startTime = 1000)
{
    return R"({"service":"s","address":"127.0.0.1:9","zone":"z","maxConcurrency":2,"state":")"
           + state + R"(","sequence":1,"born":)" + std::to_string(startTime) + "}";
}

// A feed of a view whose store can be restored.
struct Fixture
{
    Fixture()
        : store(this->loop)
        , feed(this->loop, this->store.address(), this->view, 1)
    {
        this->store.putTables();
        this->store.put("servers/i-1", searcherText("ready"));
        this->feed.start();
    }

    bool runUntil(Millis span, const std::function<bool()> &condition)
    {
        const Millis end = SteadyClock::now() + span;
        while (!condition() && SteadyClock::now() < end)
            this->loop.runOnce();
        return condition();
    }

    // Waits until the view has the present revision of the store.
    [[nodiscard]] bool catchUp()
    {
        return this->runUntil(Millis(2000), [this] {
            return this->view.tables() && this->store.waitingCount() > 0;
        });
    }

    // Restores the store from a copy that lacks a revision for each of the lost writes, and writes
    // as many others.
    void restoreWithOtherWrites(const PlatformStore::Copy &copy, std::uint64_t lostWrites)
    {
        this->store.takeDown();
        this->store.restore(copy);
        for (std::uint64_t i = 0; i <= lostWrites; ++i)
            this->store.put("servers/i-new" + std::to_string(i), searcherText("ready"));
    }

    bool isState(const std::string &id, SearcherState state) const
    {
        const auto &records = this->view.directory().records();
        return records.contains(id) && records.at(id).registration.state == state;
    }

    EventLoop loop;
    PlatformStore store;
    ServingView view;
    platform::StoreFeed feed;
};

} // namespace

TEST_CASE("changes at revisions that a restored store gives out again are in force in time")
{
    Fixture fixture;
    REQUIRE(fixture.catchUp());
    const PlatformStore::Copy copy = fixture.store.copy();
    for (int i = 0; i < 3; ++i)
        fixture.store.put("servers/i-2", searcherText("ready", 1000 + i));
    REQUIRE(fixture.runUntil(Millis(2000),
                             [&] { return fixture.isState("i-2", SearcherState::Ready); }));
    REQUIRE(fixture.catchUp());
    fixture.restoreWithOtherWrites(copy, 3);
    const std::uint64_t changed = fixture.store.putTables();
    CHECK(fixture.runUntil(Millis(3000), [&] {
        return fixture.view.tablesRevision().value >= changed
               && fixture.isState("i-new0", SearcherState::Ready)
               && fixture.isState("i-new3", SearcherState::Ready);
    }));
}

TEST_CASE(
        "a restored store neither revives what it has lost nor hides the next writes, at 60 seeds")
{
    static constexpr std::uint64_t defaultSeeds = 60;
    static constexpr std::uint64_t seedsPerBatch = 60;
    const char *setting = std::getenv("QUETZAL_RESTORE_SEEDS");
    const std::uint64_t seeds = setting != nullptr ? std::stoull(setting) : defaultSeeds;
    for (std::uint64_t first = 1; first <= seeds; first += seedsPerBatch) {
        EventLoop loop;
        std::vector<std::unique_ptr<RestoredStore>> runs;
        for (std::uint64_t seed = first; seed < first + seedsPerBatch && seed <= seeds; ++seed)
            runs.push_back(std::make_unique<RestoredStore>(loop, seed));
        const auto areOver = [&] {
            return std::all_of(runs.begin(), runs.end(),
                               [](const auto &run) { return run->isOver(); });
        };
        while (!areOver())
            loop.runOnce();
        for (const auto &run : runs) {
            for (const std::string &problem : run->problems())
                CHECK_MESSAGE(false, problem);
        }
    }
}
