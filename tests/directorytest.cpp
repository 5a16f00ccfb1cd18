// What a host keeps of tables and registrations, from several sources.
#include "tests/registrations.h"
#include "version/codec.h"
#include "version/servingview.h"

#include <doctest/doctest.h>

using namespace quetzal;

TEST_CASE("the directory takes the later word about a searcher, from any source in any order")
{
    SearcherDirectory directory;
    CHECK(directory.apply(makeRegistration("s", 5), Millis(0)));
    CHECK_FALSE(directory.apply(makeRegistration("s", 4, SearcherState::Draining), Millis(1)));
    CHECK(directory.apply(makeRegistration("s", 6, SearcherState::Gone), Millis(2)));
    // A peer that lags must not bring it back.
    CHECK_FALSE(directory.apply(makeRegistration("s", 5), Millis(3)));
    CHECK(directory.liveCount() == 0);
    CHECK(directory.records().at("s").learnedAt == Millis(2));
}

TEST_CASE("a listing ends what it lacks, but not what began after it")
{
    SearcherDirectory directory;
    directory.apply(makeRegistration("old", 3), Millis(0));
    directory.apply(makeRegistration("new", 9), Millis(0));
    directory.reconcile({}, 8, Millis(1));
    CHECK(directory.records().at("old").registration.state == SearcherState::Gone);
    CHECK(directory.records().at("new").registration.state == SearcherState::Ready);
    CHECK(directory.revision() == 8);
}

TEST_CASE("a host that was away learns endings, also when they were forgotten meanwhile")
{
    ServingView ahead;
    ServingView behind;
    for (ServingView *view : { &ahead, &behind })
        view->applyListing({ makeRegistration("a", 1), makeRegistration("b", 2) }, 2, Millis(0));
    ahead.applyRegistration(makeRegistration("a", 3, SearcherState::Gone), Millis(10));
    ahead.advanceRevision(3);
    const std::string bytes = encode(ahead.delta(behind.revision(), {}));
    ServingView other = behind;
    other.applyDelta(*decode<ViewDelta>(bytes), Millis(20));
    CHECK(other.directory().liveCount() == 1);
    ahead.purgeGone(Millis(10) + SearcherDirectory::goneRetention);
    behind.applyDelta(ahead.delta(behind.revision(), {}), Millis(30));
    CHECK(behind.directory().liveCount() == 1);
    CHECK(behind.revision() == 3);
}

TEST_CASE("tables never go back in one life")
{
    ServingView view;
    RoutingTables newer;
    newer.revision = { 7 };
    RoutingTables older;
    older.revision = { 6 };
    CHECK(view.applyTables(std::move(newer)));
    CHECK_FALSE(view.applyTables(std::move(older)));
    CHECK(view.tablesRevision().value == 7);
}

TEST_CASE("a searcher whose registration may have lapsed with the registry is used for longer")
{
    ServingView view;
    view.applyListing({ makeRegistration("a", 1) }, 1, Millis(0));
    view.applyRegistration(makeRegistration("a", 2, SearcherState::Gone), Millis(100));
    const Millis usual = view.lastResortUntil(view.directory().records().at("a"));
    ServingView unstable;
    unstable.applyListing({ makeRegistration("a", 1) }, 1, Millis(0));
    unstable.onRegistryLost(Millis(50));
    unstable.onRegistryRestored(Millis(90));
    unstable.applyRegistration(makeRegistration("a", 2, SearcherState::Gone), Millis(100));
    CHECK(unstable.lastResortUntil(unstable.directory().records().at("a")) > usual);
    CHECK(usual < Millis(100) + Millis(3000));
}

TEST_CASE("many changes of the directory are told once")
{
    ServingView view;
    int told = 0;
    view.onChange([&] { told += 1; });
    std::vector<SearcherRegistration> registrations;
    for (std::uint64_t revision = 1; revision <= 3; ++revision)
        registrations.push_back(makeRegistration(std::to_string(revision), revision));
    view.applyRegistrations(registrations, Millis(0));
    CHECK(told == 1);
    CHECK(view.directory().liveCount() == 3);
    view.applyRegistrations(registrations, Millis(1));
    CHECK(told == 1);
}
