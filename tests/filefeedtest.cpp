// Tests of tables and registrations read from files, and of the stand-in searchers.
#include "process/filefeed.h"
#include "connection/httpclient.h"
#include "process/gatewaysettings.h"
#include "quetzal/steadyclock.h"
#include "standins/recordstandin.h"
#include "version/searchersyaml.h"
#include "version/tablesyaml.h"

#include <filesystem>
#include <fstream>

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

const char *const routesText = R"(routes:
  - { name: all, match: { path: /all/ }, shard_pools: [a, b], deadline_ms: 300, max_attempts: 2 }
  - name: some
    match: { path: /some/ }
    split: [ { pool: a, weight: 3 }, { pool: b, weight: 1 } ]
    deadline_ms: 300
    result_size: 7
    rank: 2
)";

const char *const poolsText = R"(zones: [z]
pools:
  - { name: a, registered: true, connection_cap: 26 }
  - { name: b, registered: true, connection_cap: 9 }
)";

std::string searchersText(int revision, const std::string &state)
{
    return "revision: " + std::to_string(revision)
           + "\nsearchers:\n  - { id: s-1, pool: a, address: \"127.0.0.1:9\", zone: z, state: "
           + state + " }\n";
}

// A temporary folder for the routes, pools and searchers files that a FileFeed reads.
class TemporaryViewFolder
{
public:
    TemporaryViewFolder()
        : path(std::filesystem::temp_directory_path()
               / ("quetzal-files-" + std::to_string(SteadyClock::now().count())))
    {
        std::filesystem::create_directory(this->path);
        this->write("routes.yaml", routesText);
        this->write("pools.yaml", poolsText);
    }
    ~TemporaryViewFolder() { std::filesystem::remove_all(this->path); }

    void write(const std::string &name, const std::string &text) const
    {
        std::ofstream(this->path / name) << text;
    }

    ViewFiles files() const
    {
        return { this->path / "routes.yaml", this->path / "pools.yaml",
                 this->path / "searchers.yaml" };
    }

private:
    std::filesystem::path path;
};

} // namespace

TEST_CASE("tables with registered pools are equal after formatting and parsing")
{
    const auto parsed = parseTables("r.yaml", routesText, "p.yaml", poolsText);
    REQUIRE(parsed.ok());
    CHECK(parsed.value.routes[0].shardPools.size() == 2);
    CHECK(parsed.value.routes[1].trafficSplit.size() == 2);
    CHECK(parsed.value.routes[1].kind == RouteKind::OneSearcher);
    CHECK(parsed.value.routes[1].rank == 2);
    CHECK(parsed.value.pools[1].connectionCap == 9);
    const auto reparsed = parseTables("r.yaml", formatRoutes(parsed.value.routes), "p.yaml",
                                      formatPools(parsed.value.zones, parsed.value.pools));
    REQUIRE(reparsed.ok());
    CHECK(reparsed.value.routes == parsed.value.routes);
    CHECK(reparsed.value.pools == parsed.value.pools);
    const auto firstError
            = [](std::string text, const std::string &part, const std::string &replacement) {
                  text.replace(text.find(part), part.size(), replacement);
                  const auto broken = parseTables("r.yaml", text, "p.yaml", poolsText);
                  return broken.errors.empty() ? std::string() : broken.errors.front();
              };
    CHECK(firstError(routesText, "[a, b]", "[a, c]")
                  .starts_with("r.yaml:2: route \"all\": pool \"c\""));
    CHECK(firstError(routesText, "shard_pools: [a, b]", "pool: a, shard_pools: [b]")
                  .starts_with("r.yaml:2: route \"all\": one of"));
    CHECK(firstError(routesText, "weight: 3", "weight: -3")
                  .starts_with("r.yaml:5: route \"some\": split"));
}

TEST_CASE("errors in a searchers file name the line and the field")
{
    const std::string valid = searchersText(3, "ready");
    const auto parsed = parseSearchers("s.yaml", valid);
    REQUIRE(parsed.ok());
    CHECK(parsed.value.revision == 3);
    CHECK(parsed.value.searchers[0].pool == "a");
    const auto firstError = [&](const std::string &part, const std::string &replacement) {
        std::string text = valid;
        text.replace(text.find(part), part.size(), replacement);
        const auto broken = parseSearchers("s.yaml", text);
        return broken.errors.empty() ? std::string() : broken.errors.front();
    };
    CHECK(firstError("127.0.0.1:9", "nowhere").starts_with("s.yaml:3: searcher \"s-1\": address"));
    CHECK(firstError("state: ready", "state: resting")
                  .starts_with("s.yaml:3: searcher \"s-1\": state"));
    CHECK(firstError("revision: 3", "revision: none").starts_with("s.yaml:1: searchers: "));
    CHECK(firstError("zone: z", "zon: z").starts_with("s.yaml:3: searcher \"s-1\": unknown field"));
    CHECK_FALSE(parseSearchers("s.yaml", "").ok());
    CHECK_FALSE(parseSearchers("s.yaml", "searchers: 4").ok());
    CHECK_FALSE(parseSearchers("s.yaml", "revision: 4").ok());
}

TEST_CASE("files are applied together when their revision increases, and an error leaves the view "
          "unchanged")
{
    const TemporaryViewFolder folder;
    EventLoop loop;
    ServingView view;
    FileFeed feed(loop, folder.files(), view);
    feed.start();
    CHECK_FALSE(feed.isHealthy());
    CHECK_FALSE(view.tables());
    folder.write("searchers.yaml", searchersText(3, "ready"));
    feed.refresh();
    CHECK(feed.isHealthy());
    REQUIRE(view.tables());
    CHECK(view.tablesRevision().value == 3);
    CHECK(view.directory().records().at("s-1").registration.state == SearcherState::Ready);
    folder.write("searchers.yaml", searchersText(3, "draining"));
    feed.refresh();
    CHECK_FALSE(feed.isHealthy());
    CHECK(view.directory().records().at("s-1").registration.state == SearcherState::Ready);
    folder.write("searchers.yaml", searchersText(4, "draining"));
    folder.write("routes.yaml", "routes: [");
    feed.refresh();
    CHECK(view.tablesRevision().value == 3);
    folder.write("routes.yaml", routesText);
    feed.refresh();
    CHECK(view.tablesRevision().value == 4);
    CHECK(view.directory().records().at("s-1").registration.state == SearcherState::Draining);
}

TEST_CASE("files whose application fails are applied again and do not count as confirmed")
{
    const TemporaryViewFolder folder;
    EventLoop loop;
    ServingView view;
    int failuresLeft = 0;
    std::uint64_t handled = 0;
    view.onChange([&] {
        if (failuresLeft-- > 0)
            throw std::runtime_error("test");
        handled = view.tablesRevision().value;
    });
    FileFeed feed(loop, folder.files(), view);
    folder.write("searchers.yaml", searchersText(3, "ready"));
    feed.start();
    REQUIRE(feed.isHealthy());
    folder.write("searchers.yaml", searchersText(4, "draining"));
    failuresLeft = 2;
    feed.refresh();
    CHECK_FALSE(feed.isHealthy());
    feed.refresh();
    feed.refresh();
    CHECK(feed.isHealthy());
    CHECK(view.tablesRevision().value == 4);
    CHECK(handled == 4);
    CHECK(view.directory().records().at("s-1").registration.state == SearcherState::Draining);
}

TEST_CASE("a file that is missing for one poll, or an edit that is undone, leaves the feed healthy")
{
    const TemporaryViewFolder folder;
    EventLoop loop;
    ServingView view;
    FileFeed feed(loop, folder.files(), view);
    folder.write("searchers.yaml", searchersText(3, "ready"));
    feed.start();
    REQUIRE(feed.isHealthy());
    folder.write("routes.yaml", "routes: [");
    feed.refresh();
    CHECK_FALSE(feed.isHealthy());
    folder.write("routes.yaml", routesText);
    feed.refresh();
    CHECK(feed.isHealthy());
}

TEST_CASE("files whose tables another host has sent before are accepted")
{
    const TemporaryViewFolder folder;
    EventLoop loop;
    ServingView view;
    FileFeed feed(loop, folder.files(), view);
    folder.write("searchers.yaml", searchersText(3, "ready"));
    feed.start();
    ViewDelta delta;
    delta.completeRevision = 4;
    delta.tables = *view.tables();
    delta.tables->revision = { 4 };
    view.applyDelta(std::move(delta), SteadyClock::now());
    folder.write("searchers.yaml", searchersText(4, "draining"));
    feed.refresh();
    CHECK(feed.isHealthy());
    CHECK(view.directory().records().at("s-1").registration.state == SearcherState::Draining);
}

TEST_CASE("a searchers file with odd values is refused with an error, not with an exception")
{
    const std::string valid = searchersText(3, "ready");
    for (const std::string &odd :
         { std::string("\"fd00::17:8080\""), std::string("\"localhost:80\""),
           std::string("\"127.0.0.1:65536\""), std::string("\"127.0.0.1\""),
           std::string(10'000, '[') + std::string(10'000, ']'), std::string(10'000, '{'),
           std::string("&a [*a]"), std::string("!!binary x") }) {
        std::string text = valid;
        text.replace(text.find("\"127.0.0.1:9\""), std::string("\"127.0.0.1:9\"").size(), odd);
        CHECK_FALSE_MESSAGE(parseSearchers("s.yaml", text).ok(), odd.substr(0, 20));
        CHECK_FALSE_MESSAGE(parseTables("r.yaml", text, "p.yaml", text).ok(), odd.substr(0, 20));
    }
}

TEST_CASE("settings must name either a store or files")
{
    const std::string commonSettings
            = "host: { name: a, zone: z }\n"
              "listen: { callers: \"127.0.0.1:1\", ready: \"127.0.0.1:2\", "
              "view: \"127.0.0.1:3\", heartbeat: \"127.0.0.1:4\" }\n";
    const std::string files = "files: { routes: r, pools: p, searchers: s }\n";
    const std::string store = "store: { address: \"127.0.0.1:5\" }\n";
    CHECK(parseGatewaySettings("g.yaml", commonSettings + store).ok());
    const auto parsed = parseGatewaySettings("g.yaml", commonSettings + files);
    CHECK(parsed.ok());
    CHECK(parsed.value.files.pools == "p");
    CHECK_FALSE(parseGatewaySettings("g.yaml", commonSettings).ok());
    CHECK_FALSE(parseGatewaySettings("g.yaml", commonSettings + store + files).ok());
}

TEST_CASE("a stand-in searcher replies with a seal and records, and refuses requests addressed to "
          "another searcher")
{
    EventLoop loop;
    SearcherRegistration registration;
    registration.id = std::string("s-1");
    registration.pool = std::string("a");
    registration.address = std::string("127.0.0.1:0");
    const std::uint16_t port = [] {
        const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
        return socket.address().port();
    }();
    registration.address = "127.0.0.1:" + std::to_string(port);
    const RecordStandin searchers(loop, HeaderNames(), { registration }, RecordBehaviour(), 1);
    std::vector<HttpResponse> responses;
    std::shared_ptr<HttpClient> client;
    const auto sendRequest = [&](const std::string &searcher) {
        client->send("GET", "/", { { "X-Quetzal-Searcher", searcher } }, "");
    };
    HttpClientCallbacks callbacks;
    callbacks.onConnected = [&] { sendRequest("s-1"); };
    callbacks.onResponse = [&](const HttpResponse &response) {
        responses.push_back(response);
        if (responses.size() == 2)
            loop.stop();
        else
            sendRequest("s-2");
    };
    client = HttpClient::connect(loop, registration.address, callbacks);
    loop.run();
    REQUIRE(responses.size() == 2);
    CHECK(responses[0].head.getStatus() == 200);
    CHECK(responses[0].head.has("X-Quetzal-Seal"));
    // 20 records, the default of RecordBehaviour, of 16 bytes.
    CHECK(responses[0].body.size() == 320);
    CHECK(responses[1].head.getStatus() == 421);
    CHECK(searchers.runs() == 1);
}
