// An exception ends one handler, timer or task of a loop, and nothing else.
#include "process/eventloop.h"
#include "connection/httpclient.h"
#include "connection/httpserver.h"
#include "connection/tcpstream.h"
#include "handlerfailures.h"
#include "quetzal/steadyclock.h"

#include <functional>
#include <stdexcept>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <doctest/doctest.h>

using namespace quetzal;

namespace {

// Runs the loop until the condition holds, for at most two seconds. Returns whether it does.
bool runUntil(EventLoop &loop, const std::function<bool()> &condition)
{
    const Millis end = SteadyClock::now() + Millis(2000);
    while (!condition() && SteadyClock::now() < end)
        loop.runOnce();
    return condition();
}

// Sends a request for a target on a connection of its own and returns the status; 0 if the
// connection was closed without an answer.
int statusOf(EventLoop &loop, const std::string &address, const std::string &target)
{
    int status = -1;
    std::shared_ptr<HttpClient> client;
    HttpClientCallbacks callbacks;
    callbacks.onConnected = [&] { client->send("GET", target, {}, ""); };
    callbacks.onResponse = [&](const HttpResponse &response) {
        status = static_cast<int>(response.head.getStatus());
    };
    callbacks.onClosed = [&](bool) { status = std::max(status, 0); };
    client = HttpClient::connect(loop, address, callbacks);
    CHECK(runUntil(loop, [&] { return status >= 0; }));
    client->close();
    return status;
}

} // namespace

TEST_CASE("an exception of a timer or task does not end the loop or the other ones")
{
    EventLoop loop;
    int ran = 0;
    loop.post([] { throw Poco::IOException("test"); });
    loop.post([&ran] { ++ran; });
    loop.schedule(SteadyClock::now(), [] { throw std::runtime_error("test"); });
    loop.schedule(SteadyClock::now(), [&ran] { ++ran; });
    CHECK(runUntil(loop, [&ran] { return ran == 2; }));
    CHECK(loop.failureCount() == 2);
    expectedHandlerFailures += 2;
}

TEST_CASE("an exception of a request's handler is answered and the server goes on")
{
    EventLoop loop;
    const auto server = HttpServer::listen(loop, Poco::Net::SocketAddress("127.0.0.1", 0),
                                           HttpServerOptions(),
                                           [](const std::shared_ptr<HttpExchange> &exchange) {
                                               if (exchange->request().head.getURI() == "/bad")
                                                   throw Poco::InvalidArgumentException("test");
                                               exchange->respond(200, {}, "");
                                           });
    const std::string address = server->address().toString();
    CHECK(statusOf(loop, address, "/good") == 200);
    CHECK(statusOf(loop, address, "/bad") == 500);
    expectedHandlerFailures += 1;
    CHECK(statusOf(loop, address, "/good") == 200);
    server->closeAll();
}

TEST_CASE("an exception of the owner of a stream closes that stream only")
{
    EventLoop loop;
    const auto server = HttpServer::listen(
            loop, Poco::Net::SocketAddress("127.0.0.1", 0), HttpServerOptions(),
            [](const std::shared_ptr<HttpExchange> &exchange) { exchange->respond(200, {}, ""); });
    bool closed = false;
    std::shared_ptr<HttpClient> client;
    HttpClientCallbacks callbacks;
    callbacks.onConnected = [&client] { client->send("GET", "/", {}, ""); };
    callbacks.onResponse = [](const HttpResponse &) { throw std::runtime_error("test"); };
    callbacks.onClosed = [&closed](bool) { closed = true; };
    client = HttpClient::connect(loop, server->address().toString(), callbacks);
    CHECK(runUntil(loop, [&closed] { return closed; }));
    CHECK(loop.failureCount() == 1);
    expectedHandlerFailures += 1;
    CHECK(statusOf(loop, server->address().toString(), "/") == 200);
    server->closeAll();
}

TEST_CASE("an exception of onClosed at the end of a stream is counted")
{
    EventLoop loop;
    Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
    Poco::Net::StreamSocket peer(server.address());
    StreamCallbacks callbacks;
    callbacks.onClosed = [] { throw Poco::InvalidArgumentException("test"); };
    const auto stream = TcpStream::accept(loop, server.acceptConnection(), callbacks);
    peer.close();
    CHECK(runUntil(loop, [&loop] { return loop.failureCount() == 1; }));
    expectedHandlerFailures += 1;
}
