#include "connection/httpserver.h"

#include "connection/httpserverconnection.h"
#include "process/eventlog.h"
#include "quetzal/steadyclock.h"

#include <algorithm>
#include <numeric>

#include <cerrno>

#include <sys/resource.h>

#include <Poco/Net/NetException.h>

namespace quetzal {

static constexpr int listenBacklog = 512;

void HttpExchange::respond(int status, const std::vector<HttpField> &fields,
                           const std::string &body, const std::string &contentType)
{
    if (this->answered)
        return;
    this->answered = true;
    this->disconnectHandler = {};
    if (const auto target = this->connection.lock())
        target->answer(*this, status, fields, body, contentType);
}

HttpServer::HttpServer(EventLoop &loop, const HttpServerOptions &options, HttpHandler handler)
    : loop(loop)
    , options(options)
    , handler(std::move(handler))
{}

std::shared_ptr<HttpServer> HttpServer::listen(EventLoop &loop,
                                               const Poco::Net::SocketAddress &address,
                                               const HttpServerOptions &options,
                                               HttpHandler handler)
{
    std::shared_ptr<HttpServer> server(new HttpServer(loop, options, std::move(handler)));
    server->socket.bind(address, true, true);
    server->socket.listen(listenBacklog);
    server->socket.setBlocking(false);
    loop.add(server->socket, server, false);
    return server;
}

void HttpServer::onReadable()
{
    this->acceptNext();
}

// True if few descriptors are free. The kernel gives out the lowest free number, so a high one
// means that all below it are open.
static bool isShortOfDescriptors(int latest)
{
    // Left for connections to searchers and hosts, and for files: a quarter, at most 64.
    static constexpr rlim_t maxReserve = 64;
    rlimit limits = {};
    if (::getrlimit(RLIMIT_NOFILE, &limits) != 0 || limits.rlim_cur == RLIM_INFINITY)
        return false;
    const rlim_t reserve = std::min(maxReserve, limits.rlim_cur / 4);
    return static_cast<rlim_t>(latest) + reserve >= limits.rlim_cur;
}

// A low number says nothing, as it may belong to a connection that was closed for the previous one.
// The number of connections at which descriptors ran short therefore stays a limit for a while.
bool HttpServer::detectShortage(int descriptor)
{
    static constexpr Millis memory = Millis(10'000);
    const Millis now = SteadyClock::now();
    if (isShortOfDescriptors(descriptor)) {
        this->connectionsWhenShort = this->connections.size();
        this->shortageAt = now;
        return true;
    }
    return now - this->shortageAt < memory
           && this->connections.size() >= this->connectionsWhenShort;
}

bool HttpServer::closeLongestIdle(const std::string &reason)
{
    std::shared_ptr<HttpServerConnection> longest;
    for (const auto &connection : this->connections) {
        if (connection->isIdle()
            && (!longest || connection->waitingSince() < longest->waitingSince()))
            longest = connection;
    }
    if (!longest)
        return false;
    // A request that has just arrived is still read and answered.
    this->reportLimited(reason, longest->heldBytes());
    longest->closeGracefully();
    return true;
}

void HttpServer::pauseAccepting()
{
    static constexpr Millis pauseTime = Millis(100);
    this->loop.wantRead(this->socket, false);
    this->loop.schedule(SteadyClock::now() + pauseTime, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->accepting)
            self->loop.wantRead(self->socket, true);
    });
}

bool HttpServer::acceptNext()
{
    try {
        const Poco::Net::StreamSocket accepted = this->socket.acceptConnection();
        if (this->acceptFilter && !this->acceptFilter())
            return true;
        const bool isFull = this->connections.size() >= this->options.maxConnections;
        const bool isShort = this->detectShortage(accepted.impl()->sockfd());
        if ((isFull || isShort) && !this->closeLongestIdle(isFull ? "connections" : "descriptors"))
            return true;
        const auto connection = std::make_shared<HttpServerConnection>(*this, this->loop);
        this->connections.insert(connection);
        if (this->options.acceptDelay <= Millis(0)) {
            connection->start(*this, accepted);
            return true;
        }
        this->loop.schedule(SteadyClock::now() + this->options.acceptDelay,
                            [self = this->shared_from_this(), connection, accepted] {
                                if (self->connections.contains(connection))
                                    connection->start(*self, accepted);
                            });
        return true;
    } catch (const Poco::Exception &error) {
        if (error.code() == EMFILE || error.code() == ENFILE) {
            if (this->closeLongestIdle("descriptors"))
                return true;
            this->pauseAccepting();
            return false;
        }
        // No connection is waiting, or the caller disconnected before it was accepted.
        return false;
    }
}

void HttpServer::stopAccepting()
{
    if (!this->accepting)
        return;
    this->accepting = false;
    // Closing the socket would reset the connections in its queue, whose requests may be there.
    for (int count = 0; count < listenBacklog && this->acceptNext(); ++count) {}
    this->loop.remove(this->socket);
    this->socket.close();
    // Copied because connections that are closed remove themselves from the set.
    const auto open = this->connections;
    for (const auto &connection : open)
        connection->closeGracefully();
}

std::size_t HttpServer::busyConnections() const
{
    return static_cast<std::size_t>(
            std::count_if(this->connections.begin(), this->connections.end(),
                          [](const auto &connection) { return connection->isBusy(); }));
}

std::size_t HttpServer::heldBytes() const
{
    return std::accumulate(
            this->connections.begin(), this->connections.end(), std::size_t(0),
            [](std::size_t sum, const auto &connection) { return sum + connection->heldBytes(); });
}

void HttpServer::closeAll()
{
    if (this->accepting) {
        this->accepting = false;
        this->loop.remove(this->socket);
        this->socket.close();
    }
    // Copied because connections that are closed remove themselves from the set.
    const auto open = this->connections;
    for (const auto &connection : open)
        connection->drop();
}

void HttpServer::setLimitReports(std::string name, Metrics &counters)
{
    this->name = std::move(name);
    this->metrics = &counters;
}

void HttpServer::reportLimited(const std::string &reason, std::size_t heldBytes)
{
    if (this->metrics != nullptr)
        this->metrics->add(Counter::LimitedConnections);
    const std::optional<std::uint64_t> suppressed = this->limitedLog.admit(SteadyClock::now());
    if (suppressed)
        logEvent(LogEvent::ConnectionLimited,
                 "server=" + this->name + " reason=" + reason
                         + " held_bytes=" + std::to_string(heldBytes)
                         + " suppressed=" + std::to_string(*suppressed));
}

void HttpServer::reportReadPause()
{
    if (this->metrics != nullptr)
        this->metrics->add(Counter::ReadPauses);
}

void HttpServer::silenceOpenConnections()
{
    for (const auto &connection : this->connections)
        connection->silence();
}

} // namespace quetzal
