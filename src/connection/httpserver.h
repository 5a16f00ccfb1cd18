// A non-blocking HTTP/1.1 server on an event loop.
#pragma once

#include "connection/httpreader.h"
#include "connection/tcpstream.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include <Poco/Net/ServerSocket.h>

namespace quetzal {

// A header field of an answer.
struct HttpField
{
    std::string name;
    std::string value;
};

class HttpServerConnection;

// One request and the way to answer it. May be answered at any later time, once, on the loop.
class HttpExchange
{
public:
    HttpExchange(HttpRequest request, Millis transit,
                 std::weak_ptr<HttpServerConnection> connection)
        : message(std::move(request))
        , estimatedNetworkTime(transit)
        , connection(std::move(connection))
    {}

    const HttpRequest &request() const { return this->message; }

    // Returns the time that the request was and its answer will be on the way, as far as the
    // kernel has measured it.
    Millis networkTime() const { return this->estimatedNetworkTime; }

    // Sends the answer. Does nothing if the caller went away or was answered. An empty content
    // type leaves the field out.
    void respond(int status, const std::vector<HttpField> &fields, const std::string &body,
                 const std::string &contentType = "application/json");

    // Sets what to do when the caller goes away before it was answered.
    void setDisconnectHandler(std::function<void()> handler)
    {
        this->disconnectHandler = std::move(handler);
    }

private:
    friend class HttpServerConnection;

    HttpRequest message;
    Millis estimatedNetworkTime;
    std::weak_ptr<HttpServerConnection> connection;
    std::function<void()> disconnectHandler;
    bool answered = false;
};

using HttpHandler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

// How patiently a server treats its connections.
struct HttpServerOptions
{
    HttpLimits limits;
    // Time for a whole request to arrive after its first byte.
    Millis requestTimeout = Millis(5000);
    // Time for which a connection may stay open without a request.
    Millis idleTimeout = Millis(60'000);
    std::size_t maxConnections = 4096;
    // Time from accepting a connection to reading from it; for stand-ins with costly connections.
    Millis acceptDelay;
};

// Accepts connections on one address. Several servers may share an address, one for each loop.
class HttpServer final : public EventHandler, public std::enable_shared_from_this<HttpServer>
{
public:
    // Throws Poco::Net::NetException if the address cannot be bound.
    static std::shared_ptr<HttpServer> listen(EventLoop &loop,
                                              const Poco::Net::SocketAddress &address,
                                              const HttpServerOptions &options,
                                              HttpHandler handler);

    // Stops accepting. Open exchanges go on; idle connections are closed.
    void stopAccepting();

    // Goes on accepting and serving, but tells callers to open another connection after each
    // answer. Idle connections stay open.
    void disableKeepAlive() { this->keepAliveDisabled = true; }

    // Replaces the limits, for open connections from their next request on.
    void setOptions(const HttpServerOptions &next) { this->options = next; }

    // Returns the connections with a request that is read in part or not answered.
    std::size_t busyConnections() const;

    // Closes everything at once, as a crash would.
    void closeAll();

    std::size_t connectionCount() const { return this->connections.size(); }
    Poco::Net::SocketAddress address() const { return this->socket.address(); }

    // Called for each accepted connection; returning false closes it at once.
    void setAcceptFilter(std::function<bool()> filter) { this->acceptFilter = std::move(filter); }

    // From now on open connections stay open and nothing on them is read or answered.
    void silenceOpenConnections();

    void onReadable() override;
    void onWritable() override {}
    void onSocketError() override {}

private:
    friend class HttpServerConnection;

    HttpServer(EventLoop &loop, const HttpServerOptions &options, HttpHandler handler);

    EventLoop &loop;
    HttpServerOptions options;
    HttpHandler handler;
    std::function<bool()> acceptFilter;
    Poco::Net::ServerSocket socket;
    std::unordered_set<std::shared_ptr<HttpServerConnection>> connections;
    bool accepting = true;
    bool keepAliveDisabled = false;
};

} // namespace quetzal
