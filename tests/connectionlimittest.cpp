// Bounds on what an HTTP server holds for one connection.
#include "connection/httpserver.h"
#include "quetzal/steadyclock.h"

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

// A server and a client on one loop. The client reads only when it is told to.
class LimitedConnection
{
public:
    LimitedConnection(const HttpServerOptions &options, HttpHandler handler)
        : server(HttpServer::listen(this->loop, Poco::Net::SocketAddress("127.0.0.1", 0), options,
                                    std::move(handler)))
    {
        StreamCallbacks callbacks;
        callbacks.onData = [this](std::string_view data) { this->received.append(data); };
        this->client = TcpStream::connect(this->loop, this->server->address(), callbacks);
        this->client->pauseReading(true);
    }

    ~LimitedConnection()
    {
        this->client->close();
        this->server->closeAll();
    }

    LimitedConnection(const LimitedConnection &) = delete;
    LimitedConnection &operator=(const LimitedConnection &) = delete;

    // Runs the loop until the condition holds or 20 s have passed. Returns whether it holds.
    bool runUntil(const std::function<bool()> &condition)
    {
        const Millis end = SteadyClock::now() + Millis(20'000);
        while (!condition() && SteadyClock::now() < end)
            this->loop.runOnce();
        return condition();
    }

    EventLoop loop;
    std::shared_ptr<HttpServer> server;
    std::shared_ptr<TcpStream> client;
    std::string received;
};

std::string requestsTo(std::size_t count)
{
    std::string requests;
    for (std::size_t i = 0; i < count; ++i)
        requests += "GET /" + std::to_string(i) + " HTTP/1.1\r\n\r\n";
    return requests;
}

} // namespace

// Guards against a pause of reading or handling that loses, repeats or reorders requests.
TEST_CASE("pipelined requests are held back while answers are unread, then all answered in order")
{
    static constexpr std::size_t requestCount = 20'000;
    static constexpr std::size_t bodyBytes = 1000;
    std::vector<std::string> handled;
    LimitedConnection connection({}, [&](const std::shared_ptr<HttpExchange> &exchange) {
        handled.push_back(exchange->request().head.getURI());
        exchange->respond(200, {}, std::string(bodyBytes, 'b'));
    });
    connection.client->write(requestsTo(requestCount));
    std::size_t handledBefore = 0;
    std::size_t idleRounds = 0;
    connection.runUntil([&] {
        idleRounds = handled.size() == handledBefore ? idleRounds + 1 : 0;
        handledBefore = handled.size();
        return handledBefore > 0 && idleRounds > 20;
    });
    CHECK(handled.size() < requestCount);
    connection.client->pauseReading(false);
    CHECK(connection.runUntil([&] {
        return connection.received.size() > requestCount * bodyBytes
               && connection.received.ends_with(std::string(bodyBytes, 'b'))
               && handled.size() == requestCount;
    }));
    for (std::size_t i = 0; i < handled.size(); ++i)
        REQUIRE(handled[i] == "/" + std::to_string(i));
}

// Guards against a request that keeps running for a caller whose reset is not noticed.
TEST_CASE("a reset is noticed while reading is paused")
{
    bool isGone = false;
    std::shared_ptr<HttpExchange> open;
    HttpServerOptions options;
    options.limits = { 1024, 1024 };
    LimitedConnection connection(options, [&](const std::shared_ptr<HttpExchange> &exchange) {
        open = exchange;
        exchange->setDisconnectHandler([&] { isGone = true; });
    });
    Metrics metrics("test");
    connection.server->setLimitReports("test", metrics);
    connection.client->write(requestsTo(20'000));
    REQUIRE(connection.runUntil([&] { return metrics.value(Counter::ReadPauses) > 0; }));
    CHECK(connection.server->heldBytes() < 200'000);
    // Closing a socket with unread bytes resets the connection.
    open->respond(200, {}, "first");
    REQUIRE(connection.runUntil([&] { return open->request().head.getURI() == "/1"; }));
    connection.client->close();
    CHECK(connection.runUntil([&] { return isGone; }));
}

// Guards against answers that are held for ever for a caller that does not read.
TEST_CASE("a connection whose unsent bytes make no progress is closed and counted")
{
    HttpServerOptions options;
    options.progressTimeout = Millis(100);
    std::string body;
    body.resize(20'000'000, 'b');
    LimitedConnection connection(options, [body](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->respond(200, {}, body);
    });
    Metrics metrics("test");
    connection.server->setLimitReports("test", metrics);
    connection.client->write(requestsTo(1));
    REQUIRE(connection.runUntil([&] { return connection.server->connectionCount() > 0; }));
    CHECK(connection.runUntil([&] { return connection.server->connectionCount() == 0; }));
    CHECK(metrics.value(Counter::LimitedConnections) == 1);
}
