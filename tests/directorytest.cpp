// What a host keeps of tables and registrations, from several sources.
#include "tests/registrations.h"
#include "version/codec.h"
#include "version/servingview.h"

#include <doctest/doctest.h>

using namespace quetzal;

TEST_CASE("the directory takes the later word about a searcher, from any source in any order")
{
    SearcherDirectory directory;
    CHECK(directory.apply(registration("s", 5), Millis(0)));
    CHECK_FALSE(directory.apply(registration("s", 4, SearcherState::Draining), Millis(1)));
    CHECK(directory.apply(registration("s", 6, SearcherState::Gone), Millis(2)));
    // A peer that lags must not bring it back.
    CHECK_FALSE(directory.apply(registration("s", 5), Millis(3)));
    CHECK(directory.liveCount() == 0);
    CHECK(directory.records().at("s").learnedAt == Millis(2));
}

TEST_CASE("a listing ends what it lacks, but not what began after it")
{
    SearcherDirectory directory;
    directory.apply(registration("old", 3), Millis(0));
    directory.apply(registration("new", 9), Millis(0));
    directory.reconcile({}, 8, Millis(1));
    CHECK(directory.records().at("old").entry.state == SearcherState::Gone);
    CHECK(directory.records().at("new").entry.state == SearcherState::Ready);
    CHECK(directory.revision() == 8);
}

TEST_CASE("a host that was away learns endings, also when they were forgotten meanwhile")
{
    ServingView ahead;
    ServingView behind;
    for (ServingView *view : { &ahead, &behind })
        view->takeListing({ registration("a", 1), registration("b", 2) }, 2, Millis(0));
    ahead.takeEntry(registration("a", 3, SearcherState::Gone), Millis(10));
    ahead.takeComplete(3);
    const std::string bytes = encode(ahead.delta(behind.revision(), {}));
    ServingView other = behind;
    other.takeDelta(*decode<ViewDelta>(bytes), Millis(20));
    CHECK(other.directory().liveCount() == 1);
    ahead.sweep(Millis(10) + SearcherDirectory::forgetAfter);
    behind.takeDelta(ahead.delta(behind.revision(), {}), Millis(30));
    CHECK(behind.directory().liveCount() == 1);
    CHECK(behind.revision() == 3);
}

TEST_CASE("tables never go back in one life")
{
    ServingView view;
    Tables newer;
    newer.revision = { 7 };
    Tables older;
    older.revision = { 6 };
    CHECK(view.takeTables(std::move(newer)));
    CHECK_FALSE(view.takeTables(std::move(older)));
    CHECK(view.tablesRevision().value == 7);
}

TEST_CASE("a searcher whose registration may have lapsed with the registry is used for longer")
{
    ServingView view;
    view.takeListing({ registration("a", 1) }, 1, Millis(0));
    view.takeEntry(registration("a", 2, SearcherState::Gone), Millis(100));
    const Millis usual = view.lastUse(view.directory().records().at("a"));
    ServingView unstable;
    unstable.takeListing({ registration("a", 1) }, 1, Millis(0));
    unstable.noteRegistryLost(Millis(50));
    unstable.noteRegistryBack(Millis(90));
    unstable.takeEntry(registration("a", 2, SearcherState::Gone), Millis(100));
    CHECK(unstable.lastUse(unstable.directory().records().at("a")) > usual);
    CHECK(usual < Millis(100) + Millis(3000));
}

TEST_CASE("many changes of the directory are told once")
{
    ServingView view;
    int told = 0;
    view.onChange([&] { told += 1; });
    std::vector<DirectoryEntry> entries;
    for (std::uint64_t revision = 1; revision <= 3; ++revision)
        entries.push_back(registration(std::to_string(revision), revision));
    view.takeEntries(entries, Millis(0));
    CHECK(told == 1);
    CHECK(view.directory().liveCount() == 3);
    view.takeEntries(entries, Millis(1));
    CHECK(told == 1);
}
