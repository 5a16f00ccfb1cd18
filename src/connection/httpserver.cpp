#include "connection/httpserver.h"

#include "quetzal/steadyclock.h"

#include <algorithm>

#include <Poco/Net/NetException.h>

namespace quetzal {

static constexpr int listenBacklog = 512;
// Status "Request Timeout".
static constexpr int statusRequestTimeout = 408;
// Time for which received bytes are still read after the last answer. Closing a socket with unread
// bytes would reset the connection, and the caller could lose the answer.
static constexpr Millis lingerTime = Millis(500);

// One caller's connection. Handles one request at a time; pipelined requests wait in the buffer.
class HttpServerConnection final : public std::enable_shared_from_this<HttpServerConnection>
{
public:
    HttpServerConnection(HttpServer &server, EventLoop &loop)
        : server(server.weak_from_this())
        , loop(loop)
        , reader(server.options.limits)
    {}

    // Starts to read from an accepted socket.
    void start(const HttpServer &server, const Poco::Net::StreamSocket &socket)
    {
        // The callbacks hold weak references to avoid a cycle: the server owns the connection, and
        // the connection owns the stream.
        const std::weak_ptr<HttpServerConnection> weak = this->weak_from_this();
        StreamCallbacks callbacks;
        callbacks.onData = [weak](std::string_view data) {
            if (const auto self = weak.lock())
                self->onData(data);
        };
        callbacks.onClosed = [weak] {
            if (const auto self = weak.lock())
                self->onClosed();
        };
        this->stream = TcpStream::accept(this->loop, socket, std::move(callbacks));
        this->roundTrip = this->stream->roundTrip();
        this->armTimer(server.options.idleTimeout);
    }

    // Sends the answer to the current exchange and continues with the next request.
    void answer(HttpExchange &exchange, int status, const std::vector<HttpField> &fields,
                const std::string &body, const std::string &contentType)
    {
        if (this->currentExchange.get() != &exchange || this->silent)
            return;
        const auto owner = this->server.lock();
        const bool closing = this->closeAfterAnswer || !owner || owner->keepAliveDisabled;
        const bool keepAlive = exchange.message.head.getKeepAlive() && !closing;
        const bool withBody = exchange.message.head.getMethod() != "HEAD";
        const Millis respondedAt = SteadyClock::now();
        this->send(status, fields, body, contentType, keepAlive, withBody);
        if (exchange.deliveryHandler)
            this->observeDelivery(respondedAt, respondedAt, std::move(exchange.deliveryHandler));
        this->currentExchange.reset();
        if (!keepAlive) {
            this->closeWhenSent();
            return;
        }
        this->armTimer(owner->options.idleTimeout);
        this->handleNext();
    }

    // Closes the connection if it is idle and no request has arrived, else after the answer.
    void closeGracefully()
    {
        const std::shared_ptr<HttpServerConnection> self = this->shared_from_this();
        this->closeAfterAnswer = true;
        // Closing a socket with unread bytes would reset it and lose the request.
        if (this->stream != nullptr && !this->currentExchange)
            this->stream->onReadable();
        if (!this->lingering && !this->currentExchange && !this->reader.hasPartial())
            this->drop();
    }

    // Closes the connection immediately.
    void drop()
    {
        if (this->stream != nullptr)
            this->stream->close();
        this->onClosed();
    }

    // Stops handling and answering requests while the connection stays open.
    void silence() { this->silent = true; }

    bool isBusy() const { return this->currentExchange != nullptr || this->reader.hasPartial(); }

private:
    void onData(std::string_view data)
    {
        if (this->silent)
            return;
        const auto owner = this->server.lock();
        if (owner && !this->reader.hasPartial() && !this->currentExchange) {
            this->reader.setLimits(owner->options.limits);
            this->armTimer(owner->options.requestTimeout);
        }
        this->reader.feed(data);
        if (!this->currentExchange)
            this->handleNext();
    }

    void handleNext()
    {
        std::optional<HttpRequest> request = this->reader.next();
        if (this->reader.errorStatus() != 0) {
            this->refuse(this->reader.errorStatus());
            return;
        }
        if (!request) {
            if (this->closeAfterAnswer && !this->reader.hasPartial())
                this->drop();
            return;
        }
        this->loop.cancel(this->timer);
        // The first request of a connection was preceded by the TCP handshake.
        const double roundTrips = this->isFirst ? 2 : 1;
        this->isFirst = false;
        this->currentExchange = std::make_shared<HttpExchange>(
                std::move(*request), this->roundTrip * roundTrips, this->weak_from_this());
        // Keeps the exchange alive if the handler answers it synchronously.
        const std::shared_ptr<HttpExchange> exchange = this->currentExchange;
        const auto owner = this->server.lock();
        if (owner)
            owner->handler(exchange);
    }

    // Answers a malformed or timed-out request and closes the connection.
    void refuse(int status)
    {
        // No more requests are handled on this connection.
        this->silent = true;
        const std::string body = "{\"error\":\"bad-request\",\"verdict\":\"not-run\",\"status\":"
                                 + std::to_string(status) + "}";
        this->send(status, {}, body, "application/json", false, true);
        this->closeWhenSent();
    }

    void send(int status, const std::vector<HttpField> &fields, const std::string &body,
              const std::string &contentType, bool keepAlive, bool withBody)
    {
        using Poco::Net::HTTPResponse;
        const auto code = static_cast<HTTPResponse::HTTPStatus>(status);
        std::string text = "HTTP/1.1 " + std::to_string(status) + " "
                           + HTTPResponse::getReasonForStatus(code) + "\r\n";
        if (!contentType.empty())
            text += "Content-Type: " + contentType + "\r\n";
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        if (!keepAlive)
            text += "Connection: close\r\n";
        for (const HttpField &field : fields)
            text += field.name + ": " + field.value + "\r\n";
        text += "\r\n";
        if (withBody)
            text += body;
        this->stream->write(text);
    }

    // Polls until the kernel has no unacknowledged bytes, then reports how long that took.
    // pendingAt: when there were still some.
    void observeDelivery(Millis respondedAt, Millis pendingAt, std::function<void(Millis)> handler)
    {
        static constexpr Millis pollPeriod = Millis(1);
        const Millis now = SteadyClock::now();
        const auto owner = this->server.lock();
        if (!owner || !this->stream->isOpen() || now - respondedAt > owner->options.maxDeliveryTime)
            return;
        if (this->stream->pendingBytes() == 0 && this->stream->unacknowledgedBytes() == 0) {
            // The last acknowledgement came at some time since the previous poll.
            handler((pendingAt + now) / 2 - respondedAt - this->roundTrip);
            return;
        }
        this->loop.schedule(now + pollPeriod, [self = this->shared_from_this(), respondedAt, now,
                                               handler = std::move(handler)]() mutable {
            self->observeDelivery(respondedAt, now, std::move(handler));
        });
    }

    // Waits until the answer is written, ends the sending side and lingers before it closes.
    void closeWhenSent()
    {
        this->loop.cancel(this->timer);
        this->silent = true;
        if (!this->stream->isOpen()) {
            this->drop();
            return;
        }
        if (this->stream->pendingBytes() == 0) {
            this->lingering = true;
            this->stream->shutdownWrite();
            this->timer = this->loop.schedule(SteadyClock::now() + lingerTime,
                                              [self = this->shared_from_this()] { self->drop(); });
            return;
        }
        static constexpr Millis pollPeriod = Millis(5);
        this->timer
                = this->loop.schedule(SteadyClock::now() + pollPeriod,
                                      [self = this->shared_from_this()] { self->closeWhenSent(); });
    }

    void armTimer(Millis timeout)
    {
        this->loop.cancel(this->timer);
        this->timer = this->loop.schedule(SteadyClock::now() + timeout,
                                          [weak = this->weak_from_this()] {
                                              if (const auto self = weak.lock())
                                                  self->onTimeout();
                                          });
    }

    void onTimeout()
    {
        if (this->currentExchange || this->silent)
            return;
        if (this->reader.hasPartial())
            this->refuse(statusRequestTimeout);
        else
            this->drop();
    }

    void onClosed()
    {
        this->loop.cancel(this->timer);
        const std::shared_ptr<HttpExchange> open = std::move(this->currentExchange);
        this->currentExchange.reset();
        if (open && open->disconnectHandler && !open->answered)
            open->disconnectHandler();
        if (const auto owner = this->server.lock())
            owner->connections.erase(this->shared_from_this());
    }

    std::weak_ptr<HttpServer> server;
    EventLoop &loop;
    HttpReader<Poco::Net::HTTPRequest> reader;
    std::shared_ptr<TcpStream> stream;
    std::shared_ptr<HttpExchange> currentExchange;
    TimerId timer = 0;
    Millis roundTrip;
    bool isFirst = true;
    bool closeAfterAnswer = false;
    // Received bytes are discarded, and nothing is answered.
    bool silent = false;
    // The sending side is closed; the connection is closed after lingerTime.
    bool lingering = false;
};

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

bool HttpServer::acceptNext()
{
    try {
        const Poco::Net::StreamSocket accepted = this->socket.acceptConnection();
        const bool full = this->connections.size() >= this->options.maxConnections;
        if (full || (this->acceptFilter && !this->acceptFilter()))
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
    } catch (const Poco::Exception &) {
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

void HttpServer::silenceOpenConnections()
{
    for (const auto &connection : this->connections)
        connection->silence();
}

} // namespace quetzal
