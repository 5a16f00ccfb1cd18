// Keys of callers: whom they identify, what is refused before it runs, and what searchers receive.
#include "connection/httpclient.h"
#include "platform/documents.h"
#include "quetzal/steadyclock.h"
#include "request/gateway.h"
#include "tests/registrations.h"
#include "version/codec.h"

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

RoutingTables tablesWith(std::vector<Workspace> workspaces, std::uint64_t revision = 1)
{
    RoutingTables tables;
    tables.revision = { revision };
    for (const bool anonymous : { false, true }) {
        Route route;
        route.name = anonymous ? "open" : "closed";
        route.pathPrefix = anonymous ? "/open/" : "/closed/";
        route.pool = "shard";
        route.kind = RouteKind::OneSearcher;
        route.targetLatency = Millis(500);
        route.deadline = Millis(1000);
        route.anonymous = anonymous;
        tables.routes.push_back(route);
    }
    tables.requiresKeys = true;
    tables.workspaces = std::move(workspaces);
    return tables;
}

Workspace workspaceWith(const std::string &name, const std::vector<std::string> &keys)
{
    Workspace workspace;
    workspace.name = name;
    for (const std::string &key : keys)
        workspace.keys.push_back(digestOfKey(key));
    return workspace;
}

// A gateway with one searcher that answers each request and records it.
class KeyFixture
{
public:
    KeyFixture()
    {
        this->view.onChange([this] { this->executor.onViewChanged(); });
        SearcherRegistration registration = makeRegistration("s", 1);
        registration.address = this->searcher->address().toString();
        this->view.applyListing({ registration }, 1, SteadyClock::now());
    }

    ~KeyFixture()
    {
        this->searcher->closeAll();
        this->callers->closeAll();
    }

    // Sends bytes on one connection and returns the statuses of the given number of responses.
    std::vector<int> send(const std::string &bytes, std::size_t count)
    {
        std::vector<int> statuses;
        HttpReader<Poco::Net::HTTPResponse> reader({ 16'384, 1'000'000 });
        StreamCallbacks callbacks;
        callbacks.onData = [&](std::string_view data) {
            reader.feed(data);
            while (const auto response = reader.next())
                statuses.push_back(response->head.getStatus());
        };
        const auto stream = TcpStream::connect(this->loop, this->callers->address(), callbacks);
        stream->write(bytes);
        const Millis until = SteadyClock::now() + Millis(2000);
        while (statuses.size() < count && SteadyClock::now() < until)
            this->loop.runOnce();
        stream->close();
        return statuses;
    }

    static std::string request(const std::string &path, const std::string &fields)
    {
        static int number = 0;
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Quetzal-Request-Id: r"
               + std::to_string(++number) + "\r\nX-Quetzal-Deadline-Ms: 900\r\n" + fields + "\r\n";
    }

    EventLoop loop;
    Metrics metrics{ "test" };
    HttpCodec codec{ HeaderNames() };
    ServingView view;
    ScatterExecutor executor{ this->loop, this->metrics, this->codec, this->view, {} };
    PartRelay relay{ this->loop, this->view, this->executor, { { 1 }, "z", 1 }, 1 };
    Gateway gateway{ this->loop,     this->metrics, this->codec, this->view,
                     this->executor, this->relay,   "z" };
    // Heads of the requests that reached the searcher.
    std::vector<Poco::Net::HTTPRequest> received;
    std::shared_ptr<HttpServer> searcher = HttpServer::listen(
            this->loop, Poco::Net::SocketAddress("127.0.0.1", 0), {},
            [this](const std::shared_ptr<HttpExchange> &exchange) {
                const Poco::Net::HTTPRequest &head = exchange->request().head;
                this->received.push_back(head);
                exchange->respond(200,
                                  { { "X-Quetzal-Seal", "sealed" },
                                    { "X-Quetzal-Request-Id", head.get("X-Quetzal-Request-Id") } },
                                  "abc");
            });
    std::shared_ptr<HttpServer> callers
            = HttpServer::listen(this->loop, Poco::Net::SocketAddress("127.0.0.1", 0), {},
                                 [this](const std::shared_ptr<HttpExchange> &exchange) {
                                     this->gateway.onRequest(exchange);
                                 });
};

} // namespace

// Guards against requests that run without a key, or with one that only looks like a known one.
TEST_CASE("only exactly one bearer key that a workspace has identifies a caller")
{
    const CallerAuthenticator authenticator(std::make_shared<const RoutingTables>(
            tablesWith({ workspaceWith("w1", { "k1", "k2" }), workspaceWith("w2", { "k3" }) })));
    const auto nameFor = [&](const std::vector<std::string> &fields) {
        const Workspace *workspace = authenticator.identify(fields);
        return workspace != nullptr ? workspace->name : "";
    };
    CHECK(nameFor({ "Bearer k1" }) == "w1");
    CHECK(nameFor({ "bearer k2" }) == "w1");
    CHECK(nameFor({ "Bearer k3" }) == "w2");
    for (const char *value : { "", "Bearer", "Bearer ", "Bearer k", "Bearer k11", "Bearer K1",
                               "Basic k1", "k1", "Bearer k1,k3", "Bearer k1 k1" })
        CHECK_MESSAGE(nameFor({ value }).empty(), value);
    CHECK(nameFor({}).empty());
    CHECK(nameFor({ "Bearer k1", "Bearer k1" }).empty());
}

// Guards against a key or a workspace chosen by the caller that reaches a searcher.
TEST_CASE("searchers get the workspace of the caller's key, and never a key")
{
    KeyFixture fixture;
    fixture.view.applyTables(tablesWith({ workspaceWith("w1", { "k1" }) }));
    const std::string forged = "x-quetzal-WORKSPACE: other\r\nX-Quetzal-Workspace: third\r\n";
    CHECK(fixture.send(KeyFixture::request("/closed/a", "Authorization: Bearer k1\r\n" + forged), 1)
          == std::vector{ 200 });
    CHECK(fixture.send(KeyFixture::request("/open/a", "Authorization: Bearer k9\r\n" + forged), 1)
          == std::vector{ 200 });
    CHECK(fixture.send(KeyFixture::request("/closed/a", "Connection: Authorization\r\n"
                                                        "authorization: Bearer k1\r\n"),
                       1)
          == std::vector{ 200 });
    REQUIRE(fixture.received.size() == 3);
    CHECK(fixture.received[0].get("X-Quetzal-Workspace") == "w1");
    CHECK_FALSE(fixture.received[1].has("X-Quetzal-Workspace"));
    CHECK(fixture.received[2].get("X-Quetzal-Workspace") == "w1");
    for (const auto &head : fixture.received) {
        CHECK_FALSE(head.has("Authorization"));
        const auto count = std::count_if(head.begin(), head.end(), [](const auto &field) {
            return Poco::icompare(field.first, "X-Quetzal-Workspace") == 0;
        });
        CHECK(count <= 1);
    }
}

// Guards against withdrawn keys that stay in force for pipelined requests of open connections, and
// against refusals of requests that ran.
TEST_CASE("requests without a known key are refused before they run, by the tables in force")
{
    KeyFixture fixture;
    fixture.view.applyTables(tablesWith({ workspaceWith("w1", { "k1" }) }));
    const std::string withKey = KeyFixture::request("/closed/a", "Authorization: Bearer k1\r\n");
    const std::string withoutKey = KeyFixture::request("/closed/a", "");
    CHECK(fixture.send(withoutKey + withKey, 2) == std::vector{ 401, 200 });
    CHECK(fixture.received.size() == 1);
    fixture.view.applyTables(tablesWith({ workspaceWith("w1", {}) }, 2));
    CHECK(fixture.send(withKey, 1) == std::vector{ 401 });
    bool isTrusted = false;
    fixture.gateway.setViewTrust([&] { return isTrusted; });
    CHECK(fixture.send(withKey, 1) == std::vector{ 503 });
    isTrusted = true;
    CHECK(fixture.send(withKey, 1) == std::vector{ 401 });
    CHECK(fixture.received.size() == 1);
    RoutingTables open = tablesWith({}, 3);
    open.requiresKeys = false;
    fixture.view.applyTables(std::move(open));
    CHECK(fixture.send(withKey, 1) == std::vector{ 200 });
    CHECK(fixture.received.back().get("Authorization") == "Bearer k1");
}

// Guards against one bad entry that takes the keys of all workspaces out of force, and against keys
// in messages to other hosts.
TEST_CASE("workspaces are read with digests of their keys, and a bad entry is left out alone")
{
    std::string error;
    std::vector<std::string> problems;
    const auto tables = platform::readTables(
            R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/","type":"idempotent",)"
            R"("timeoutMs":9,"service":"x","anonymous":true}],"services":[],"tenants":[)"
            R"({"name":"w1","apiKeys":["secret-1","secret-2"],"priority":1,"ratePerS":19,)"
            R"("burst":5},{"name":"w2"},{"name":"a\r\nb","apiKeys":[]},{"name":"w3",)"
            R"("apiKeys":["secret-2","secret-3"],"ratePerS":-1},{"name":"w4",)"
            R"("apiKeys":["secret-2","secret-4"]}]})",
            error, problems);
    REQUIRE(tables);
    CHECK(tables->requiresKeys);
    CHECK(tables->routes[0].anonymous);
    REQUIRE(tables->workspaces.size() == 2);
    CHECK(tables->workspaces[0].name == "w1");
    CHECK(tables->workspaces[0].rank == 1);
    CHECK(tables->workspaces[0].allowedRate == 19);
    CHECK(tables->workspaces[0].allowedBurst == 5);
    CHECK(tables->workspaces[1].keys == std::vector{ digestOfKey("secret-4") });
    CHECK(problems.size() == 4);
    for (const std::string &problem : problems)
        CHECK(problem.find("secret") == std::string::npos);
    CHECK(encode(*tables).find("secret") == std::string::npos);
}
