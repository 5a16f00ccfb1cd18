// A relay works on all searchers that it can, whatever the others are.
#include "connection/relayservice.h"
#include "connection/httpserver.h"
#include "quetzal/steadyclock.h"

#include <set>

#include <Poco/Net/ServerSocket.h>
#include <doctest/doctest.h>

using namespace quetzal;

TEST_CASE("a searcher with an unusable address does not keep a relay from the others")
{
    EventLoop loop;
    std::set<std::string> polled;
    std::vector<std::shared_ptr<HttpServer>> servers;
    auto tables = std::make_shared<RoutingTables>();
    tables->pools.emplace_back();
    // Of each kind several, because they are visited in no particular order.
    for (int i = 0; i < 8; ++i) {
        const Poco::Net::ServerSocket probe(Poco::Net::SocketAddress("127.0.0.1", 0));
        Searcher good;
        good.address = probe.address().toString();
        Searcher odd;
        odd.address = "fd00::" + std::to_string(i) + ":8080";
        tables->pools[0].searchers.push_back(good);
        tables->pools[0].searchers.push_back(odd);
    }
    RoutingSnapshot snapshot;
    snapshot.self = { 1 };
    snapshot.tables = tables;
    for (const Searcher &searcher : tables->pools[0].searchers) {
        snapshot.searchers[searcher.id()] = { snapshot.self, &searcher };
        if (searcher.address.starts_with("127."))
            servers.push_back(HttpServer::listen(
                    loop, Poco::Net::SocketAddress(searcher.address), HttpServerOptions(),
                    [&polled,
                     address = searcher.address](const std::shared_ptr<HttpExchange> &exchange) {
                        polled.insert(address);
                        exchange->respond(200, {}, "{}");
                    }));
    }
    RcuValue<RoutingSnapshot> published;
    published.publish(std::make_shared<const RoutingSnapshot>(std::move(snapshot)));
    Metrics metrics("relay");
    TraceWriter traces({}, "host");
    SpanIdGenerator spans(1);
    const RelayContext context = { loop,
                                   metrics,
                                   traces,
                                   spans,
                                   { 1 },
                                   Millis(100),
                                   [](HostId, const AttemptResult &) {},
                                   [](const SearcherReport &) {} };
    RelayService relay(context, published, 0, 1);
    loop.post([&relay] { relay.onSnapshot(); });
    const Millis end = SteadyClock::now() + Millis(2000);
    while (polled.size() < servers.size() && SteadyClock::now() < end)
        loop.runOnce();
    CHECK(polled.size() == servers.size());
}

TEST_CASE("work for a searcher with an unusable address is answered and not lost")
{
    EventLoop loop;
    auto tables = std::make_shared<RoutingTables>();
    tables->pools.emplace_back();
    tables->pools[0].searchers.emplace_back();
    const Searcher &odd = tables->pools[0].searchers[0];
    tables->pools[0].searchers[0].address = "fd00::17:8080";
    RoutingSnapshot snapshot;
    snapshot.self = { 1 };
    snapshot.tables = tables;
    snapshot.searchers[odd.id()] = { snapshot.self, &odd };
    RcuValue<RoutingSnapshot> published;
    published.publish(std::make_shared<const RoutingSnapshot>(std::move(snapshot)));
    Metrics metrics("relay");
    TraceWriter traces({}, "host");
    SpanIdGenerator spans(1);
    std::vector<Verdict> replies;
    const RelayContext context = { loop,
                                   metrics,
                                   traces,
                                   spans,
                                   { 1 },
                                   Millis(100),
                                   [&replies](HostId, const AttemptResult &result) {
                                       replies.push_back(result.outcome.verdict);
                                   },
                                   [](const SearcherReport &) {} };
    RelayService relay(context, published, 0, 1);
    auto batch = std::make_shared<SubRequests>();
    batch->query = { 1 };
    batch->items.emplace_back();
    batch->items[0].searcher = odd.id();
    batch->items[0].budgetMs = 500;
    loop.post([&] { relay.onSubRequests({ 1 }, batch, Millis(), false); });
    const Millis end = SteadyClock::now() + Millis(1500);
    while (replies.empty() && SteadyClock::now() < end)
        loop.runOnce();
    REQUIRE(replies.size() == 1);
    CHECK(replies[0] == Verdict::NotRun);
    CHECK(relay.idle());
}
