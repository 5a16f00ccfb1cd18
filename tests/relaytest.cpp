// Tests of the choice of relays and of the requests that a relay accepts.
#include "quetzal/fault.h"
#include "quetzal/steadyclock.h"
#include "request/partrelay.h"
#include "request/relayplanner.h"
#include "tests/registrations.h"
#include "version/codec.h"

#include <algorithm>
#include <set>

#include <doctest/doctest.h>

using namespace quetzal;

TEST_CASE("a relay with an overdue answer is backed off, longer each time, until it answers")
{
    RelayPlanner planner(1);
    const HostId near = { 1 };
    const HostId far = { 2 };
    planner.setPeers({ { near, "a" }, { far, "b" } });
    CHECK(planner.owners("a", 7, std::nullopt, Millis(0)) == std::vector<HostId>{ near });
    CHECK(planner.owners("c", 7, std::nullopt, Millis(0)).empty());
    CHECK(planner.choose({ near }, Millis(0)) == near);
    CHECK_FALSE(planner.choose({}, Millis(0)));
    planner.onOverdue(near, Millis(0));
    CHECK_FALSE(planner.choose({ near }, RelayPlanner::initialBackoff - Millis(1)));
    CHECK(planner.choose({ near }, RelayPlanner::initialBackoff));
    planner.onOverdue(near, RelayPlanner::initialBackoff);
    CHECK_FALSE(planner.choose({ near }, RelayPlanner::initialBackoff * 2.5));
    planner.onAnswer(near, Millis(20));
    CHECK(planner.choose({ near }, RelayPlanner::initialBackoff * 2.5));
}

TEST_CASE("a relay with more open requests is chosen less often")
{
    RelayPlanner planner(1);
    planner.setPeers({ { { 1 }, "a" }, { { 2 }, "a" } });
    for (int i = 0; i < 5; ++i)
        planner.onSent({ 1 });
    for (int i = 0; i < 20; ++i)
        CHECK(planner.choose({ { 1 }, { 2 } }, Millis(0)) == HostId{ 2 });
}

TEST_CASE("a key has the same few owners, and an owner that leaves is replaced by one other host")
{
    RelayPlanner planner(1);
    std::vector<RelayPeer> peers;
    for (std::uint64_t i = 1; i <= 21; ++i)
        peers.push_back({ { i }, "a" });
    planner.setPeers(peers);
    const RelayPeer self = { { 22 }, "a" };
    const std::vector<HostId> owners = planner.owners("a", 5, self, Millis(0));
    REQUIRE(owners.size() == RelayPlanner::ownersPerKey);
    CHECK(owners == planner.owners("a", 5, self, Millis(0)));
    std::erase_if(peers, [&](const RelayPeer &peer) { return peer.id == owners.front(); });
    planner.setPeers(peers);
    const std::vector<HostId> newOwners = planner.owners("a", 5, self, Millis(0));
    std::size_t kept = 0;
    for (const HostId host : newOwners)
        kept += std::find(owners.begin(), owners.end(), host) != owners.end() ? 1 : 0;
    CHECK(kept + 1 == owners.size());
}

TEST_CASE("hosts of high capacity own every key while they are not backed off")
{
    RelayPlanner planner(1);
    std::vector<RelayPeer> peers;
    for (std::uint64_t i = 1; i <= 20; ++i)
        peers.push_back({ { i }, "a", i <= 2 ? 0.5 : 0.12 });
    peers.push_back({ { 21 }, "b", 4 });
    planner.setPeers(peers);
    const RelayPeer self = { { 22 }, "a", 0.12 };
    CHECK(planner.hasHigherCapacityPeer(self, Millis(0)));
    CHECK_FALSE(planner.hasHigherCapacityPeer(peers.front(), Millis(0)));
    for (std::uint64_t key = 0; key < 20; ++key) {
        const std::vector<HostId> owners = planner.owners("a", key, self, Millis(0));
        CHECK(std::set<HostId>(owners.begin(), owners.end()) == std::set<HostId>{ { 1 }, { 2 } });
    }
    planner.onOverdue({ 1 }, Millis(0));
    CHECK(planner.owners("a", 3, self, Millis(0)) == std::vector<HostId>{ { 2 } });
    planner.onOverdue({ 2 }, Millis(0));
    CHECK_FALSE(planner.hasHigherCapacityPeer(self, Millis(0)));
    CHECK(planner.owners("a", 3, self, Millis(0)).size() == RelayPlanner::ownersPerKey);
    CHECK(planner.owners("a", 3, self, RelayPlanner::initialBackoff).size() == 2);
}

TEST_CASE("a relay gathers from the pools that the request names, once it has tables itself")
{
    EventLoop loop;
    Metrics metrics("test");
    const HttpCodec codec{ HeaderNames() };
    ServingView view;
    ScatterExecutor scatterExecutor(loop, metrics, codec, view, ScatterExecutorOptions());
    PartRelay relay(loop, view, scatterExecutor, { { 1 }, "z" }, 1);
    std::vector<RelayAnswer> answers;
    relay.setTransport(
            [&](HostId, const std::string &payload) {
                // The first byte is the kind of the message.
                answers.push_back(decode<RelayAnswer>(payload.substr(1)).value());
            },
            [](HostId) { return Millis(1); }, [](HostId) { return Millis(0); });
    RelayQuery query;
    query.number = 4;
    query.route = std::string("all");
    query.pools = { "c", "d", "e" };
    query.deadlineMs = 100;
    relay.onMessage(HostId{ 2 }, encodeRelayMessage(RelayMessageKind::Query, query));
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].refused == Fault::VersionMissing);
    // The relay's tables list other pools for the route than the request names.
    RoutingTables tables;
    tables.revision = { 7 };
    Route route;
    route.name = std::string("all");
    route.shardPools = { "a", "b" };
    tables.routes = { route };
    view.applyTables(std::move(tables));
    // The pools have no searchers, so the request ends immediately.
    relay.onMessage(HostId{ 2 }, encodeRelayMessage(RelayMessageKind::Query, query));
    REQUIRE(answers.size() == 2);
    CHECK(answers[1].number == 4);
    CHECK(answers[1].refused == Fault::None);
    CHECK(answers[1].seals.size() == 3);
}

TEST_CASE(
        "a host that hears from another that a searcher is leaving does not use it, also after its "
        "registration lapsed")
{
    EventLoop loop;
    Metrics metrics("test");
    const HttpCodec codec{ HeaderNames() };
    ServingView view;
    ScatterExecutor scatterExecutor(loop, metrics, codec, view, ScatterExecutorOptions());
    view.onChange([&] { scatterExecutor.onViewChanged(); });
    PartRelay relay(loop, view, scatterExecutor, { { 1 }, "z" }, 1);
    SearcherRegistration registration = makeRegistration("s", 1);
    registration.startTimeUnixMs = 40;
    // The report may arrive before the registration, and names one incarnation.
    const RelayLeavingReport report = { "s", 40 };
    relay.onMessage(HostId{ 2 }, encodeRelayMessage(RelayMessageKind::LeavingReport, report));
    const auto isAvailable = [&] {
        return scatterExecutor.pool("shard")->hasAvailableSearcher(SteadyClock::now());
    };
    view.applyRegistration(registration, SteadyClock::now());
    CHECK_FALSE(isAvailable());
    registration.state = SearcherState::Gone;
    registration.revision = 2;
    view.applyRegistration(registration, SteadyClock::now());
    // The executor removes the searcher at its next sweep.
    const Millis swept = SteadyClock::now() + Millis(120);
    while (SteadyClock::now() < swept)
        loop.runOnce();
    registration.state = SearcherState::Ready;
    registration.revision = 3;
    view.applyRegistration(registration, SteadyClock::now());
    CHECK_FALSE(isAvailable());
    registration.startTimeUnixMs = 41;
    registration.revision = 4;
    view.applyRegistration(registration, SteadyClock::now());
    CHECK(isAvailable());
    // A late report of the earlier incarnation does not hide that the later one is leaving.
    const RelayLeavingReport later = { "s", 41 };
    relay.onMessage(HostId{ 2 }, encodeRelayMessage(RelayMessageKind::LeavingReport, later));
    CHECK_FALSE(isAvailable());
    relay.onMessage(HostId{ 3 }, encodeRelayMessage(RelayMessageKind::LeavingReport, report));
    registration.revision = 5;
    view.applyRegistration(registration, SteadyClock::now());
    CHECK_FALSE(isAvailable());
}
