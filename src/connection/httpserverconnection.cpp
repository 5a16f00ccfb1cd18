#include "connection/httpserverconnection.h"

#include "quetzal/steadyclock.h"

#include <algorithm>

namespace quetzal {

// Status "Request Timeout".
static constexpr int statusRequestTimeout = 408;
static constexpr int statusInternalError = 500;
// Time for which received bytes are still read after the last answer. Closing a socket with unread
// bytes would reset the connection, and the caller could lose the answer.
static constexpr Millis lingerTime = Millis(500);
// Requests of one connection that are handled before other connections have their turn. Requests
// that are answered at once would otherwise keep the loop busy.
static constexpr int maxRequestsPerTurn = 16;

HttpServerConnection::HttpServerConnection(HttpServer &server, EventLoop &loop)
    : server(server.weak_from_this())
    , loop(loop)
    , reader(server.options.limits)
{}

void HttpServerConnection::start(const HttpServer &server, const Poco::Net::StreamSocket &socket)
{
    // The callbacks hold weak references to avoid a cycle: the server owns the connection, and
    // the connection owns the stream.
    const std::weak_ptr<HttpServerConnection> weak = this->weak_from_this();
    StreamCallbacks callbacks;
    callbacks.onData = [weak](std::string_view data) {
        if (const auto self = weak.lock())
            self->onData(data);
    };
    callbacks.onWritten = [weak] {
        if (const auto self = weak.lock())
            self->onWritten();
    };
    callbacks.onClosed = [weak] {
        if (const auto self = weak.lock())
            self->onClosed();
    };
    this->stream = TcpStream::accept(this->loop, socket, std::move(callbacks));
    if (server.memoryBudget)
        this->account = std::make_unique<MemoryAccount>(server.memoryBudget, [weak] {
            if (const auto self = weak.lock())
                self->dropLimited("memory");
        });
    this->roundTrip = this->stream->roundTrip();
    this->idleSince = SteadyClock::now();
    this->armTimer(server.options.idleTimeout);
}

void HttpServerConnection::answer(HttpExchange &exchange, int status,
                                  const std::vector<HttpField> &fields, const std::string &body,
                                  const std::string &contentType)
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
    this->idleSince = respondedAt;
    this->armTimer(owner->options.idleTimeout);
    this->handleNext();
    this->updateReading();
}

void HttpServerConnection::closeGracefully()
{
    const std::shared_ptr<HttpServerConnection> self = this->shared_from_this();
    this->closeAfterAnswer = true;
    // Closing a socket with unread bytes would reset it and lose the request.
    if (this->stream != nullptr && !this->currentExchange)
        this->stream->onReadable();
    this->closeIfDone();
}

void HttpServerConnection::closeIfDone()
{
    if (this->lingering || this->currentExchange || this->reader.hasPartial())
        return;
    if (this->stream != nullptr && this->stream->pendingBytes() > 0)
        this->answersPending = true;
    else if (this->answersPending)
        this->closeWhenSent();
    else
        this->drop();
}

void HttpServerConnection::drop()
{
    if (this->stream != nullptr)
        this->stream->close();
    this->onClosed();
}

void HttpServerConnection::dropLimited(const std::string &reason)
{
    if (const auto owner = this->server.lock())
        owner->reportLimited(reason, this->heldBytes());
    this->drop();
}

bool HttpServerConnection::isIdle() const
{
    return this->stream != nullptr && !this->isBusy() && !this->silent
           && this->stream->pendingBytes() == 0;
}

std::size_t HttpServerConnection::heldBytes() const
{
    const std::size_t unsent = this->stream != nullptr ? this->stream->pendingBytes() : 0;
    const std::size_t body = this->currentExchange ? this->currentExchange->message.body.size() : 0;
    return this->reader.bufferedBytes() + unsent + body;
}

void HttpServerConnection::onData(std::string_view data)
{
    if (this->silent)
        return;
    const auto owner = this->server.lock();
    if (owner && !this->reader.hasPartial() && !this->currentExchange) {
        this->reader.setLimits(owner->options.limits);
        this->armTimer(owner->options.requestTimeout);
    }
    this->reader.feed(data);
    this->updateAccount();
    // Here no request is being handled, so that any connection may be closed.
    if (this->account)
        this->account->enforce(SteadyClock::now());
    if (!this->stream->isOpen())
        return;
    this->handleNext();
    this->updateReading();
}

void HttpServerConnection::onWritten()
{
    this->progressedAt = SteadyClock::now();
    if (this->silent)
        return;
    this->handleNext();
    this->updateReading();
}

bool HttpServerConnection::isBlocked() const
{
    const auto owner = this->server.lock();
    return owner && this->stream->pendingBytes() > owner->options.maxUnsentBytes;
}

void HttpServerConnection::updateAccount()
{
    if (this->account)
        this->account->set(this->heldBytes(), SteadyClock::now());
}

void HttpServerConnection::updateReading()
{
    this->updateAccount();
    const auto owner = this->server.lock();
    if (!owner || !this->stream->isOpen())
        return;
    const HttpLimits &limits = owner->options.limits;
    const std::size_t maxReadAhead
            = std::max(owner->options.minReadAheadBytes, limits.maxHeadBytes + limits.maxBodyBytes);
    const bool isAhead = this->currentExchange && this->reader.bufferedBytes() > maxReadAhead;
    // What arrives on a silent connection is discarded, so it need not wait.
    const bool pause = !this->silent && (isAhead || this->isBlocked());
    if (pause && !this->stream->isReadingPaused())
        owner->reportReadPause();
    this->stream->pauseReading(pause);
}

void HttpServerConnection::handleNext()
{
    // A request that is answered at once calls this function again, from inside the handler.
    if (this->handling || this->continuing)
        return;
    const std::shared_ptr<HttpServerConnection> self = this->shared_from_this();
    this->handling = true;
    int handled = 0;
    while (handled < maxRequestsPerTurn && this->handleOne())
        ++handled;
    this->handling = false;
    if (handled < maxRequestsPerTurn)
        return;
    this->continuing = true;
    // A timer, because tasks that post tasks keep the loop from its sockets.
    this->loop.schedule(SteadyClock::now(), [self] {
        self->continuing = false;
        self->handleNext();
        self->updateReading();
    });
}

bool HttpServerConnection::handleOne()
{
    if (this->currentExchange || this->silent || !this->stream->isOpen() || this->isBlocked())
        return false;
    std::optional<HttpRequest> request = this->reader.next();
    if (this->reader.errorStatus() != 0) {
        this->refuse(this->reader.errorStatus());
        return false;
    }
    if (!request) {
        if (this->closeAfterAnswer)
            this->closeIfDone();
        return false;
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
    if (!owner)
        return true;
    const bool handled = this->loop.runContained("request", [&] { owner->handler(exchange); });
    // Does nothing if the handler had answered before it failed.
    if (!handled)
        exchange->respond(statusInternalError, {},
                          R"({"error":"internal-error","verdict":"may-have-run"})");
    return true;
}

void HttpServerConnection::refuse(int status)
{
    // No more requests are handled on this connection.
    this->silent = true;
    const std::string body = "{\"error\":\"bad-request\",\"verdict\":\"not-run\",\"status\":"
                             + std::to_string(status) + "}";
    this->send(status, {}, body, "application/json", false, true);
    this->closeWhenSent();
}

void HttpServerConnection::send(int status, const std::vector<HttpField> &fields,
                                const std::string &body, const std::string &contentType,
                                bool keepAlive, bool withBody)
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
    if (this->stream->pendingBytes() == 0)
        this->progressedAt = SteadyClock::now();
    this->stream->write(text);
    this->armProgressTimer();
    this->updateAccount();
}

void HttpServerConnection::observeDelivery(Millis respondedAt, Millis pendingAt,
                                           std::function<void(Millis)> handler)
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

void HttpServerConnection::closeWhenSent()
{
    this->loop.cancel(this->timer);
    this->silent = true;
    this->updateReading();
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
    this->timer = this->loop.schedule(SteadyClock::now() + pollPeriod,
                                      [self = this->shared_from_this()] { self->closeWhenSent(); });
}

void HttpServerConnection::armTimer(Millis timeout)
{
    this->loop.cancel(this->timer);
    this->timer
            = this->loop.schedule(SteadyClock::now() + timeout, [weak = this->weak_from_this()] {
                  if (const auto self = weak.lock())
                      self->onTimeout();
              });
}

void HttpServerConnection::onTimeout()
{
    if (this->currentExchange || this->silent)
        return;
    if (this->isBlocked()) {
        // The progress of the unsent bytes is watched instead.
        if (const auto owner = this->server.lock())
            this->armTimer(owner->options.idleTimeout);
        return;
    }
    if (this->reader.hasPartial())
        this->refuse(statusRequestTimeout);
    else
        this->drop();
}

void HttpServerConnection::armProgressTimer()
{
    if (this->progressTimer != 0 || this->stream->pendingBytes() == 0)
        return;
    const auto owner = this->server.lock();
    if (!owner)
        return;
    this->progressTimer = this->loop.schedule(this->progressedAt + owner->options.progressTimeout,
                                              [weak = this->weak_from_this()] {
                                                  if (const auto self = weak.lock())
                                                      self->onProgressTimeout();
                                              });
}

void HttpServerConnection::onProgressTimeout()
{
    this->progressTimer = 0;
    const auto owner = this->server.lock();
    if (!owner || !this->stream->isOpen() || this->stream->pendingBytes() == 0)
        return;
    const Millis closeAt = this->progressedAt + owner->options.progressTimeout;
    if (SteadyClock::now() >= closeAt) {
        this->dropLimited("no-progress");
        return;
    }
    this->progressTimer = this->loop.schedule(closeAt, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->onProgressTimeout();
    });
}

void HttpServerConnection::onClosed()
{
    this->loop.cancel(this->timer);
    this->loop.cancel(this->progressTimer);
    this->account.reset();
    const std::shared_ptr<HttpExchange> open = std::move(this->currentExchange);
    this->currentExchange.reset();
    if (open && open->disconnectHandler && !open->answered)
        open->disconnectHandler();
    if (const auto owner = this->server.lock())
        owner->connections.erase(this->shared_from_this());
}

} // namespace quetzal
