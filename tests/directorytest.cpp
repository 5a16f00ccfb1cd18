// Merging of routing tables and registrations from several sources.
#include "tests/registrations.h"
#include "version/codec.h"
#include "version/servingview.h"

#include <doctest/doctest.h>

using namespace quetzal;

TEST_CASE(
        "the directory keeps the highest revision of a registration, whatever the order of arrival")
{
    SearcherDirectory directory;
    CHECK(directory.apply(makeRegistration("s", 5), Millis(0)));
    CHECK_FALSE(directory.apply(makeRegistration("s", 4, SearcherState::Draining), Millis(1)));
    CHECK(directory.apply(makeRegistration("s", 6, SearcherState::Gone), Millis(2)));
    // An outdated update from another host must not restore it.
    CHECK_FALSE(directory.apply(makeRegistration("s", 5), Millis(3)));
    CHECK(directory.liveCount() == 0);
    CHECK(directory.records().at("s").learnedAt == Millis(2));
}

TEST_CASE("a registration missing from a listing is gone, unless it is newer than the listing")
{
    SearcherDirectory directory;
    directory.apply(makeRegistration("old", 3), Millis(0));
    directory.apply(makeRegistration("new", 9), Millis(0));
    directory.reconcile({}, 8, Millis(1));
    CHECK(directory.records().at("old").registration.state == SearcherState::Gone);
    CHECK(directory.records().at("new").registration.state == SearcherState::Ready);
    CHECK(directory.revision() == 8);
}

TEST_CASE("a host that missed updates learns which registrations are gone, also once these are "
          "purged")
{
    ServingView ahead;
    ServingView behind;
    for (ServingView *view : { &ahead, &behind })
        view->applyListing({ makeRegistration("a", 1), makeRegistration("b", 2) }, 2, Millis(0));
    ahead.applyRegistration(makeRegistration("a", 3, SearcherState::Gone), Millis(10));
    ahead.advanceRevision(3);
    const std::string bytes = encode(ahead.delta(behind.revision(), {}));
    ServingView behindBeforePurge = behind;
    behindBeforePurge.applyDelta(*decode<ViewDelta>(bytes), Millis(20));
    CHECK(behindBeforePurge.directory().liveCount() == 1);
    ahead.purgeGone(Millis(10) + SearcherDirectory::goneRetention);
    behind.applyDelta(ahead.delta(behind.revision(), {}), Millis(30));
    CHECK(behind.directory().liveCount() == 1);
    CHECK(behind.revision() == 3);
}

// Guards against a searcher that stays in use on a host whose peers have started after its end.
TEST_CASE("a host tells of what ended before its own first listing")
{
    ServingView started;
    ServingView behind;
    behind.applyListing({ makeRegistration("a", 1), makeRegistration("b", 2) }, 2, Millis(0),
                        { { "z", true, 2 } });
    started.applyListing({ makeRegistration("b", 2) }, 5, Millis(0));
    behind.applyDelta(started.delta(behind.revision(), {}), Millis(10));
    CHECK(behind.directory().liveCount() == 1);
    CHECK_FALSE(behind.isEvacuated("z"));
}

TEST_CASE("tables never return to an older revision while the process runs")
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

TEST_CASE("a searcher whose lease may have expired in a registry outage stays usable as a last "
          "resort for longer")
{
    ServingView view;
    view.applyListing({ makeRegistration("a", 1) }, 1, Millis(0));
    view.applyRegistration(makeRegistration("a", 2, SearcherState::Gone), Millis(100));
    const Millis usualLastResortUntil = view.lastResortUntil(view.directory().records().at("a"));
    ServingView viewAfterOutage;
    viewAfterOutage.applyListing({ makeRegistration("a", 1) }, 1, Millis(0));
    viewAfterOutage.onRegistryLost(Millis(50));
    viewAfterOutage.onRegistryRestored(Millis(90));
    viewAfterOutage.applyRegistration(makeRegistration("a", 2, SearcherState::Gone), Millis(100));
    CHECK(viewAfterOutage.lastResortUntil(viewAfterOutage.directory().records().at("a"))
          > usualLastResortUntil);
    CHECK(usualLastResortUntil < Millis(100) + Millis(3000));
}

TEST_CASE("a batch of registrations causes one notification")
{
    ServingView view;
    int notifications = 0;
    view.onChange([&] { notifications += 1; });
    std::vector<SearcherRegistration> registrations;
    for (std::uint64_t revision = 1; revision <= 3; ++revision)
        registrations.push_back(makeRegistration(std::to_string(revision), revision));
    view.applyRegistrations(registrations, Millis(0));
    CHECK(notifications == 1);
    CHECK(view.directory().liveCount() == 3);
    view.applyRegistrations(registrations, Millis(1));
    CHECK(notifications == 1);
}
