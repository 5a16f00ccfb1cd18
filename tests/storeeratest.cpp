// What a view keeps, takes and gives up when the store is restored from an older copy.
#include "registrations.h"
#include "request/trackedsearcher.h"
#include "version/codec.h"
#include "version/servingview.h"

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

std::uint64_t at(std::uint64_t era, std::uint64_t revision)
{
    return StorePosition{ era, revision }.packed();
}

SearcherRegistration started(const std::string &id, std::uint64_t startTime, std::uint64_t revision,
                             SearcherState state = SearcherState::Ready)
{
    SearcherRegistration registration = makeRegistration(id, revision, state);
    registration.startTimeUnixMs = startTime;
    return registration;
}

SearcherState stateOf(const ServingView &view, const std::string &id)
{
    return view.directory().records().at(id).registration.state;
}

RoutingTables tablesOf(std::uint64_t revision)
{
    RoutingTables tables;
    tables.revision = { revision };
    return tables;
}

} // namespace

TEST_CASE("positions are ordered by era, then by revision, also as packed numbers")
{
    CHECK(at(0, 7) == 7);
    CHECK(at(1, 3) > at(0, StorePosition::maxRevision));
    CHECK(at(1, 4) > at(1, 3));
    const StorePosition last = { StorePosition::maxEra, StorePosition::maxRevision };
    CHECK(StorePosition::unpacked(last.packed()) == last);
    CHECK(StorePosition{ 2, 9 }.toString() == "2/9");
    CHECK(StorePosition{ 0, 9 }.toString() == "9");
}

TEST_CASE("a searcher that the copy lacks is used until it has had time to register again")
{
    ServingView view;
    view.applyListing({ makeRegistration("a", 1), makeRegistration("b", 9) }, at(1, 9), Millis(0));
    view.applyListing({ makeRegistration("a", 1) }, at(2, 1), Millis(100));
    CHECK(view.position() == StorePosition{ 2, 1 });
    CHECK(stateOf(view, "b") == SearcherState::Ready);
    // A second listing of the era says no more than the first one.
    view.applyListing({ makeRegistration("a", 1) }, at(2, 2), Millis(200));
    CHECK(stateOf(view, "b") == SearcherState::Ready);
    view.settleRetained(Millis(100) + SearcherDirectory::missingRetention);
    CHECK(stateOf(view, "b") == SearcherState::Gone);
    CHECK(stateOf(view, "a") == SearcherState::Ready);
    CHECK(view.retainedCount() == 0);
}

TEST_CASE("a searcher that registers again after a restore stays")
{
    ServingView view;
    view.applyListing({ makeRegistration("b", 9) }, at(1, 9), Millis(0));
    view.applyListing({}, at(2, 1), Millis(100));
    view.applyRegistration(makeRegistration("b", 2), Millis(1000));
    view.settleRetained(Millis(100) + SearcherDirectory::missingRetention);
    CHECK(stateOf(view, "b") == SearcherState::Ready);
    // Its end in the new era counts, at a revision below the one that it had before the restore.
    view.applyRegistration(makeRegistration("b", 3, SearcherState::Gone), Millis(5000));
    CHECK(stateOf(view, "b") == SearcherState::Gone);
}

TEST_CASE("a copy does not make ready what drains or has ended")
{
    ServingView view;
    view.applyListing({ started("draining", 5, 8, SearcherState::Draining), started("ended", 5, 3),
                        started("restarted", 6, 7) },
                      at(1, 8), Millis(0));
    view.applyRegistration(started("ended", 5, 9, SearcherState::Gone), Millis(10));
    view.applyListing({ started("draining", 5, 2), started("ended", 5, 3),
                        started("restarted", 5, 1, SearcherState::Draining) },
                      at(2, 4), Millis(100));
    CHECK(stateOf(view, "draining") == SearcherState::Draining);
    CHECK(stateOf(view, "ended") == SearcherState::Gone);
    CHECK(stateOf(view, "restarted") == SearcherState::Ready);
    // What is written since counts, whatever its revision.
    view.applyRegistration(started("draining", 5, 5, SearcherState::Gone), Millis(200));
    CHECK(stateOf(view, "draining") == SearcherState::Gone);
    // The registry ends the entry of a searcher that is not alive before that.
    view.settleRetained(Millis(100) + SearcherDirectory::outdatedRetention);
    CHECK(stateOf(view, "ended") == SearcherState::Ready);
    CHECK(view.retainedCount() == 0);
}

TEST_CASE("an older state in the copy that a later listing lacks does not come back")
{
    ServingView view;
    view.applyListing({ started("a", 5, 3) }, at(1, 3), Millis(0), { { "z", true, 2 } });
    view.applyRegistration(started("a", 5, 9, SearcherState::Gone), Millis(10));
    view.applyZones({ { "z", false, 8 } }, false, Millis(10));
    view.applyListing({ started("a", 5, 3) }, at(2, 4), Millis(100), { { "z", true, 2 } });
    view.applyListing({}, at(2, 6), Millis(200));
    CHECK(view.retainedCount() == 0);
    view.settleRetained(Millis(100) + SearcherDirectory::outdatedRetention);
    CHECK(stateOf(view, "a") == SearcherState::Gone);
    CHECK_FALSE(view.isEvacuated("z"));
    // The revisions of the former era do not keep the next writes out.
    view.applyRegistration(started("a", 6, 7), Millis(300));
    view.applyZones({ { "z", true, 7 } }, false, Millis(300));
    CHECK(stateOf(view, "a") == SearcherState::Ready);
    CHECK(view.isEvacuated("z"));
}

TEST_CASE("a new incarnation in the listing after a restore is used at once")
{
    ServingView view;
    view.applyListing({ started("a", 5, 9, SearcherState::Draining) }, at(1, 9), Millis(0));
    view.applyListing({ started("a", 6, 4) }, at(2, 4), Millis(100));
    CHECK(stateOf(view, "a") == SearcherState::Ready);
    CHECK(view.retainedCount() == 0);
}

TEST_CASE("a second copy from before the first restore takes nothing back")
{
    ServingView view;
    view.applyListing({ started("a", 5, 9, SearcherState::Draining) }, at(1, 9), Millis(0));
    view.applyListing({}, at(2, 2), Millis(100));
    view.applyRegistration(started("a", 5, 3, SearcherState::Draining), Millis(200));
    // Taken in era 1, at a revision above the one that the registration has in era 2.
    view.applyListing({ started("a", 5, 6) }, at(3, 6), Millis(300));
    CHECK(stateOf(view, "a") == SearcherState::Draining);
}

TEST_CASE("requests about zones outlive a restore until they are written again or lapse")
{
    ServingView view;
    view.applyListing({}, at(1, 5), Millis(0), { { "lost", true, 5 }, { "kept", true, 2 } });
    view.applyZones({ { "taken-back", true, 6 } }, false, Millis(10));
    view.applyZones({ { "taken-back", false, 8 } }, false, Millis(20));
    view.applyListing({}, at(2, 6), Millis(100),
                      { { "kept", true, 2 }, { "taken-back", true, 6 }, { "new", true, 6 } });
    CHECK(view.isEvacuated("lost"));
    CHECK(view.isEvacuated("kept"));
    CHECK(view.isEvacuated("new"));
    CHECK_FALSE(view.isEvacuated("taken-back"));
    view.applyZones({ { "kept", false, 8 } }, false, Millis(200));
    CHECK_FALSE(view.isEvacuated("kept"));
    view.settleRetained(Millis(100) + ZoneEvacuations::outdatedRetention);
    CHECK(view.isEvacuated("taken-back"));
    CHECK(view.isEvacuated("lost"));
    view.settleRetained(Millis(100) + ZoneEvacuations::missingRetention);
    CHECK_FALSE(view.isEvacuated("lost"));
    CHECK(view.isEvacuated("new"));
}

TEST_CASE("a host hears of a restore from another host, and never returns to the former era")
{
    ServingView ahead;
    ServingView behind;
    for (ServingView *view : { &ahead, &behind })
        view->applyListing({ makeRegistration("a", 1) }, at(1, 5), Millis(0));
    const std::string former = encode(behind.delta(0, {}));
    behind.applyRegistration(makeRegistration("b", 6), Millis(5));
    behind.applyTables(tablesOf(7));
    ahead.applyListing({ makeRegistration("a", 1) }, at(2, 3), Millis(10));
    ahead.applyRegistration(makeRegistration("c", 4), Millis(20));
    ahead.advanceRevision(at(2, 4));
    CHECK(behind.applyDelta(*decode<ViewDelta>(encode(ahead.delta(behind.revision(), {}))),
                            Millis(30)));
    CHECK(behind.position() == StorePosition{ 2, 4 });
    CHECK(stateOf(behind, "b") == SearcherState::Ready);
    CHECK(stateOf(behind, "c") == SearcherState::Ready);
    CHECK(behind.tablesRevision().value == 7);
    // A host that is ahead gets no listing of the former era.
    CHECK_FALSE(ServingView().delta(behind.revision(), {}).isFullListing);
    behind.applyDelta(*decode<ViewDelta>(former), Millis(40));
    CHECK(behind.position() == StorePosition{ 2, 4 });
    CHECK(stateOf(behind, "c") == SearcherState::Ready);
    // Changes of a later era cannot be merged without its listing.
    ViewDelta changes;
    changes.completeRevision = at(3, 9);
    CHECK_FALSE(behind.applyDelta(std::move(changes), Millis(50)));
    // Tables have revisions of their own, so those of a former era count.
    ViewDelta tables;
    tables.completeRevision = at(1, 9);
    tables.tables = tablesOf(8);
    behind.applyDelta(std::move(tables), Millis(60));
    CHECK(behind.tablesRevision().value == 8);
}

TEST_CASE("a searcher's statement at a lower revision after a restore makes it cold again")
{
    SearcherRegistration registration = makeRegistration("a", 9);
    TrackedSearcher searcher(registration, Millis(0), Millis(0));
    CHECK_FALSE(searcher.isCold(Millis(100)));
    registration.revision = 4;
    registration.warmup = Millis(5000);
    searcher.update(registration, Millis::never(), Millis(100));
    CHECK(searcher.isCold(Millis(200)));
}
