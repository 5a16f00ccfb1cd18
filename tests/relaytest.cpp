// Which other host gathers parts of a request, and what it takes on.
#include "quetzal/fault.h"
#include "request/relayboard.h"
#include "request/relaydesk.h"
#include "version/codec.h"

#include <algorithm>
#include <set>

#include <doctest/doctest.h>

using namespace quetzal;

TEST_CASE("a relay that is overdue is left alone, longer each time, until it answers")
{
    RelayBoard board(1);
    const HostId near = { 1 };
    const HostId far = { 2 };
    board.setPeers({ { near, "a" }, { far, "b" } });
    CHECK(board.owners("a", 7, std::nullopt, Millis(0)) == std::vector<HostId>{ near });
    CHECK(board.owners("c", 7, std::nullopt, Millis(0)).empty());
    CHECK(board.choose({ near }, Millis(0)) == near);
    CHECK_FALSE(board.choose({}, Millis(0)));
    board.onOverdue(near, Millis(0));
    CHECK_FALSE(board.choose({ near }, RelayBoard::avoidTime - Millis(1)));
    CHECK(board.choose({ near }, RelayBoard::avoidTime));
    board.onOverdue(near, RelayBoard::avoidTime);
    CHECK_FALSE(board.choose({ near }, RelayBoard::avoidTime * 2.5));
    board.onAnswer(near, Millis(20));
    CHECK(board.choose({ near }, RelayBoard::avoidTime * 2.5));
}

TEST_CASE("a relay with more work open is asked less")
{
    RelayBoard board(1);
    board.setPeers({ { { 1 }, "a" }, { { 2 }, "a" } });
    for (int i = 0; i < 5; ++i)
        board.onSent({ 1 });
    for (int i = 0; i < 20; ++i)
        CHECK(board.choose({ { 1 }, { 2 } }, Millis(0)) == HostId{ 2 });
}

TEST_CASE("the same few hosts own a key, and a host that is gone gives its place to one other")
{
    RelayBoard board(1);
    std::vector<RelayPeer> peers;
    for (std::uint64_t i = 1; i <= 21; ++i)
        peers.push_back({ { i }, "a" });
    board.setPeers(peers);
    const RelayPeer self = { { 22 }, "a" };
    const std::vector<HostId> owners = board.owners("a", 5, self, Millis(0));
    REQUIRE(owners.size() == RelayBoard::ownersPerKey);
    CHECK(owners == board.owners("a", 5, self, Millis(0)));
    std::erase_if(peers, [&](const RelayPeer &peer) { return peer.id == owners.front(); });
    board.setPeers(peers);
    const std::vector<HostId> next = board.owners("a", 5, self, Millis(0));
    std::size_t kept = 0;
    for (const HostId host : next)
        kept += std::find(owners.begin(), owners.end(), host) != owners.end() ? 1 : 0;
    CHECK(kept + 1 == owners.size());
}

TEST_CASE("hosts with most capacity own every key while they may be asked")
{
    RelayBoard board(1);
    std::vector<RelayPeer> peers;
    for (std::uint64_t i = 1; i <= 20; ++i)
        peers.push_back({ { i }, "a", i <= 2 ? 0.5 : 0.12 });
    peers.push_back({ { 21 }, "b", 4 });
    board.setPeers(peers);
    const RelayPeer self = { { 22 }, "a", 0.12 };
    CHECK(board.hasStronger(self, Millis(0)));
    CHECK_FALSE(board.hasStronger(peers.front(), Millis(0)));
    for (std::uint64_t key = 0; key < 20; ++key) {
        const std::vector<HostId> owners = board.owners("a", key, self, Millis(0));
        CHECK(std::set<HostId>(owners.begin(), owners.end()) == std::set<HostId>{ { 1 }, { 2 } });
    }
    board.onOverdue({ 1 }, Millis(0));
    CHECK(board.owners("a", 3, self, Millis(0)) == std::vector<HostId>{ { 2 } });
    board.onOverdue({ 2 }, Millis(0));
    CHECK_FALSE(board.hasStronger(self, Millis(0)));
    CHECK(board.owners("a", 3, self, Millis(0)).size() == RelayBoard::ownersPerKey);
    CHECK(board.owners("a", 3, self, RelayBoard::avoidTime).size() == 2);
}

TEST_CASE("a relay gathers by the asking host's tables, once it has some of its own")
{
    EventLoop loop;
    Metrics metrics("test");
    const Dialect dialect{ HeaderNames() };
    ServingView view;
    ScatterHost scatters(loop, metrics, dialect, view, ScatterHostOptions());
    RelayDesk desk(loop, view, scatters, { { 1 }, "z" }, 1);
    std::vector<RelayAnswer> answers;
    desk.setSender(
            [&](HostId, const std::string &payload) {
                answers.push_back(decode<RelayAnswer>(payload.substr(1)).value());
            },
            [](HostId) { return Millis(1); }, [](HostId) { return Millis(0); });
    RelayQuery query;
    query.number = 4;
    query.route = std::string("all");
    query.pools = { "c", "d", "e" };
    query.deadlineMs = 100;
    desk.onMessage(HostId{ 2 }, packRelay(RelayKind::Query, query));
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].refused == Fault::VersionMissing);
    // Its own route has other pools.
    Tables tables;
    tables.revision = { 7 };
    Route route;
    route.name = std::string("all");
    route.shardPools = { "a", "b" };
    tables.routes = { route };
    view.takeTables(std::move(tables));
    // The pools are empty, so that the request ends at once.
    desk.onMessage(HostId{ 2 }, packRelay(RelayKind::Query, query));
    REQUIRE(answers.size() == 2);
    CHECK(answers[1].number == 4);
    CHECK(answers[1].refused == Fault::None);
    CHECK(answers[1].seals.size() == 3);
}
