// A non-blocking HTTP/1.1 server on an event loop.
#pragma once

#include "connection/httpreader.h"
#include "connection/memorybudget.h"
#include "connection/tcpstream.h"
#include "process/loglimiter.h"
#include "process/metrics.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include <Poco/Net/ServerSocket.h>

namespace quetzal {

// A header field of a message.
struct HttpField
{
    std::string name;
    std::string value;
};

class HttpServerConnection;

// A request and its response. It may be answered once, at any later time, on the loop's thread.
class HttpExchange
{
public:
    HttpExchange(HttpRequest request, Millis networkTimeEstimate,
                 std::weak_ptr<HttpServerConnection> connection)
        : message(std::move(request))
        , estimatedNetworkTime(networkTimeEstimate)
        , connection(std::move(connection))
    {}

    const HttpRequest &request() const { return this->message; }

    // Returns the estimated network time of the request and its answer: one round trip as measured
    // by the kernel, or two for the first request on a connection, which includes the handshake.
    Millis networkTime() const { return this->estimatedNetworkTime; }

    // Sends the answer. Does nothing if the caller has disconnected or was answered before. If the
    // content type is empty, the field is omitted.
    void respond(int status, const std::vector<HttpField> &fields, const std::string &body,
                 const std::string &contentType = "application/json");

    // Sets a function to call if the caller disconnects before it is answered.
    void setDisconnectHandler(std::function<void()> handler)
    {
        this->disconnectHandler = std::move(handler);
    }

    // Sets a function that is called with the time from respond until the caller has acknowledged
    // the answer, less one round trip: the time that the answer waited and was transmitted. It is
    // not called if that takes too long or the connection is closed. To be set before respond.
    void setDeliveryHandler(std::function<void(Millis)> handler)
    {
        this->deliveryHandler = std::move(handler);
    }

private:
    friend class HttpServerConnection;

    HttpRequest message;
    Millis estimatedNetworkTime;
    std::weak_ptr<HttpServerConnection> connection;
    std::function<void()> disconnectHandler;
    std::function<void(Millis)> deliveryHandler;
    bool answered = false;
};

// Called with each complete request.
using HttpHandler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

// Limits and time-outs of a server's connections.
struct HttpServerOptions
{
    HttpLimits limits;
    // Time from the first byte of a request to its last.
    Millis requestTimeout = Millis(5000);
    // Time that a connection may stay open without a request.
    Millis idleTimeout = Millis(60'000);
    std::size_t maxConnections = 4096;
    // Reading from a connection pauses while a request is handled and more than this is buffered,
    // or more than one head and one body by the limits.
    std::size_t minReadAheadBytes = 65'536;
    // While more bytes of answers are unsent than this, nothing is read and no further request is
    // handled.
    std::size_t maxUnsentBytes = 262'144;
    // Time after which a connection is closed whose unsent bytes make no progress.
    Millis progressTimeout = Millis(10'000);
    // Time after which the delivery of an answer is no longer observed.
    Millis maxDeliveryTime = Millis(60);
    // Delay between accepting a connection and reading from it. Lets test servers simulate
    // connections that are costly to set up.
    Millis acceptDelay;
};

// Accepts connections on one address. Several servers, one per event loop, may share an address.
class HttpServer final : public EventHandler, public std::enable_shared_from_this<HttpServer>
{
public:
    // Throws Poco::Net::NetException if the address cannot be bound.
    static std::shared_ptr<HttpServer> listen(EventLoop &loop,
                                              const Poco::Net::SocketAddress &address,
                                              const HttpServerOptions &options,
                                              HttpHandler handler);

    // Stops accepting connections, except those that the kernel has accepted already, and closes
    // idle ones. Requests that have arrived are handled; their connections are closed after the
    // answer.
    void stopAccepting();

    // Continues to accept and serve, but closes each connection after its next answer. Idle
    // connections stay open.
    void disableKeepAlive() { this->keepAliveDisabled = true; }

    // Replaces the options. Open connections use them from their next request on.
    void setOptions(const HttpServerOptions &newOptions) { this->options = newOptions; }

    // Returns the number of connections with a request that is incomplete or unanswered.
    std::size_t busyConnections() const;

    // Closes the socket and all connections immediately, as in a crash.
    void closeAll();

    std::size_t connectionCount() const { return this->connections.size(); }

    // Returns the number of bytes held for all connections.
    std::size_t heldBytes() const;

    Poco::Net::SocketAddress address() const { return this->socket.address(); }

    // Sets a function that is called for each accepted connection; if it returns false, the
    // connection is closed immediately.
    void setAcceptFilter(std::function<bool()> filter) { this->acceptFilter = std::move(filter); }

    // Sets the server's name in log lines and where closed and paused connections are counted.
    void setLimitReports(std::string name, Metrics &counters);

    // Sets the budget that connections accepted from now on share with others of the process.
    void setMemoryBudget(std::shared_ptr<MemoryBudget> budget)
    {
        this->memoryBudget = std::move(budget);
    }

    // Makes the open connections silent: they stay open, but nothing more is handled or answered.
    // Simulates a searcher that stops responding.
    void silenceOpenConnections();

    void onReadable() override;
    void onWritable() override {}
    void onSocketError() override {}

private:
    friend class HttpServerConnection;

    HttpServer(EventLoop &loop, const HttpServerOptions &options, HttpHandler handler);
    // Logs and counts a connection that is closed because its peer exceeds a limit.
    void reportLimited(const std::string &reason, std::size_t heldBytes);
    // Counts a pause of reading.
    void reportReadPause();
    // Closes the connection that has been idle longest. Returns false if none is idle.
    bool closeLongestIdle(const std::string &reason);
    // Returns true if few descriptors are free, given the one of a connection just accepted.
    bool detectShortage(int descriptor);
    // Stops accepting for a short time, because no file descriptor is free.
    void pauseAccepting();
    // Accepts a connection. Returns false if none is waiting or none can be accepted now.
    bool acceptNext();

    EventLoop &loop;
    HttpServerOptions options;
    HttpHandler handler;
    std::function<bool()> acceptFilter;
    Poco::Net::ServerSocket socket;
    std::unordered_set<std::shared_ptr<HttpServerConnection>> connections;
    bool accepting = true;
    // Number of connections when descriptors last ran short, and when that was.
    std::size_t connectionsWhenShort = 0;
    Millis shortageAt = Millis(-1e9);
    bool keepAliveDisabled = false;
    std::string name = "http";
    Metrics *metrics = nullptr;
    std::shared_ptr<MemoryBudget> memoryBudget;
    LogLimiter limitedLog = LogLimiter(Millis(1000));
};

} // namespace quetzal
