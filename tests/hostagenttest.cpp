// A host of the tier goes on whatever the platform's list of hosts contains.
#include "process/hostagent.h"
#include "connection/httpserver.h"
#include "quetzal/steadyclock.h"
#include "version/codec.h"
#include "version/store.h"
#include "version/tablechunks.h"

#include <algorithm>
#include <map>

#include <Poco/Net/ServerSocket.h>
#include <doctest/doctest.h>

using namespace quetzal;

namespace {

std::string freeAddress()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().toString();
}

// A host with a platform that answers every call with the same list of hosts.
struct HostWithList
{
    explicit HostWithList(std::string list)
        : list(std::move(list))
    {
        this->settings.name = "host";
        this->settings.zone = "z";
        this->settings.peersAddress = freeAddress();
        this->settings.storeAddress = freeAddress();
        this->settings.hostsAddress = freeAddress();
        this->settings.keys = { { 1, "secret" } };
        this->server = HttpServer::listen(
                this->loop, Poco::Net::SocketAddress(this->settings.hostsAddress),
                HttpServerOptions(), [this](const std::shared_ptr<HttpExchange> &exchange) {
                    exchange->respond(200, {}, this->list);
                });
        this->store = HttpServer::listen(
                this->loop, Poco::Net::SocketAddress(this->settings.storeAddress),
                HttpServerOptions(), [this](const std::shared_ptr<HttpExchange> &exchange) {
                    const std::string &target = exchange->request().head.getURI();
                    const auto found = this->stored.find(target.substr(0, target.find('?')));
                    exchange->respond(found == this->stored.end() ? 404 : 200,
                                      { { "X-Store-Version", "1" } },
                                      found == this->stored.end() ? "" : found->second);
                });
        AgentCallbacks callbacks;
        callbacks.onSnapshotChanged = [] {};
        callbacks.onReports = [](const std::vector<SearcherReport> &) {};
        callbacks.onRelayLost = [](HostId) {};
        this->agent = std::make_unique<HostAgent>(this->loop, this->settings, this->snapshot,
                                                  std::move(callbacks));
        this->agent->start();
    }

    // Runs the loop for at most the given time. Returns whether the host knows the other one.
    bool awaitMember(const std::string &name, Millis span)
    {
        const Millis end = SteadyClock::now() + span;
        while (!this->knows(name) && SteadyClock::now() < end)
            this->loop.runOnce();
        return this->knows(name);
    }

    bool knows(const std::string &name) const
    {
        const std::vector<MemberInfo> members = this->agent->status().members;
        return std::any_of(members.begin(), members.end(),
                           [&](const MemberInfo &member) { return member.name == name; });
    }

    // Puts tables into the store.
    void storeTables(const TableContents &contents)
    {
        Manifest manifest;
        manifest.revision = { 1 };
        manifest.zones = contents.zones;
        for (const auto &[hash, chunk] : splitTables(contents)) {
            manifest.chunks.push_back(hash);
            this->stored["/kv/" + std::string(chunkPrefix) + hash] = chunk;
        }
        this->stored["/kv/" + std::string(manifestKey)] = encode(manifest);
    }

    std::string list;
    // Values of the store by path.
    std::map<std::string, std::string> stored;
    EventLoop loop;
    Settings settings;
    RcuValue<RoutingSnapshot> snapshot;
    std::shared_ptr<HttpServer> server;
    std::shared_ptr<HttpServer> store;
    std::unique_ptr<HostAgent> agent;
};

} // namespace

TEST_CASE("one invalid entry in the list of hosts does not hide the others")
{
    const std::string good = R"({"name":"good","zone":"z","address":"127.0.0.1:9"})";
    std::string odd;
    SUBCASE("not an object")
    {
        odd = "17";
    }
    SUBCASE("null")
    {
        odd = "null";
    }
    SUBCASE("a field is missing")
    {
        odd = R"({"name":"odd","zone":"z"})";
    }
    SUBCASE("a field of another type")
    {
        odd = R"({"name":{},"zone":"z","address":"127.0.0.1:9"})";
    }
    SUBCASE("no address")
    {
        odd = R"({"name":"odd","zone":"z","address":"fd00::17:8080"})";
    }
    HostWithList fixture(R"({"hosts":[)" + odd + "," + good
                         + R"(],"leaving_searchers":[{},null,"127.0.0.1:7"]})");
    CHECK(fixture.awaitMember("good", Millis(2000)));
    CHECK_FALSE(fixture.knows("odd"));
    const auto current = fixture.snapshot.read();
    REQUIRE(current);
    CHECK(current->leaving.contains({ stableHash("127.0.0.1:7") }));
    CHECK(fixture.loop.failureCount() == 0);
}

TEST_CASE("invalid searchers and routes in the store's tables are left out alone")
{
    HostWithList fixture("{}");
    TableContents contents;
    contents.zones = { "z" };
    contents.pools.emplace_back();
    contents.pools[0].name = "s";
    Searcher searcher;
    searcher.pool = "s";
    searcher.zone = "z";
    searcher.address = "127.0.0.1:9";
    contents.pools[0].searchers.push_back(searcher);
    searcher.address = "fd00::17:8080";
    contents.pools[0].searchers.push_back(searcher);
    contents.routes.resize(2);
    contents.routes[0].name = "good";
    contents.routes[1].name = "odd";
    contents.routes[1].priority = static_cast<Priority>(77);
    fixture.storeTables(contents);
    const Millis end = SteadyClock::now() + Millis(5000);
    while (fixture.agent->status().revision != Revision{ 1 } && SteadyClock::now() < end)
        fixture.loop.runOnce();
    const auto current = fixture.snapshot.read();
    REQUIRE(current);
    REQUIRE(current->tables);
    CHECK(current->searchers.size() == 1);
    CHECK(current->searchers.contains({ stableHash("127.0.0.1:9") }));
    REQUIRE(current->tables->routes.size() == 1);
    CHECK(current->tables->routes[0].name == "good");
}
