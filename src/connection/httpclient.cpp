#include "connection/httpclient.h"

namespace quetzal {

// Responses come from backend servers and from the platform's key-value store, whose values have at
// most 1 MB.
static constexpr HttpLimits responseLimits = { 16'384, 16'777'216 };

HttpClient::HttpClient(const std::string &address, const HttpClientCallbacks &callbacks)
    : address(address)
    , callbacks(callbacks)
    , reader(responseLimits)
{}

std::shared_ptr<HttpClient> HttpClient::connect(EventLoop &loop, const std::string &address,
                                                const HttpClientCallbacks &callbacks)
{
    std::shared_ptr<HttpClient> client(new HttpClient(address, callbacks));
    const std::weak_ptr<HttpClient> weak = client;
    StreamCallbacks streamCallbacks;
    streamCallbacks.onConnected = [weak] {
        const auto self = weak.lock();
        if (!self || !self->callbacks.onConnected)
            return;
        // Copied because the owner may close the connection in the call, which drops the callbacks.
        const auto onConnected = self->callbacks.onConnected;
        onConnected();
    };
    streamCallbacks.onData = [weak](std::string_view data) {
        if (const auto self = weak.lock())
            self->onData(data);
    };
    streamCallbacks.onClosed = [weak] {
        if (const auto self = weak.lock())
            self->onClosed();
    };
    client->stream = TcpStream::connect(loop, Poco::Net::SocketAddress(address),
                                        std::move(streamCallbacks));
    return client;
}

void HttpClient::send(const std::string &method, const std::string &target,
                      const std::vector<HttpField> &fields, const std::string &body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + this->address + "\r\n";
    for (const HttpField &field : fields)
        text += field.name + ": " + field.value + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    this->waiting = true;
    this->bytesWrittenBeforeRequest = this->stream->bytesWritten();
    this->stream->write(text);
}

void HttpClient::close()
{
    this->callbacks = {};
    this->stream->close();
}

void HttpClient::onData(std::string_view data)
{
    const std::shared_ptr<HttpClient> self = this->shared_from_this();
    // Unrequested bytes would be taken for the response to the next request.
    if (!this->waiting) {
        this->stream->close();
        this->onClosed();
        return;
    }
    this->reader.feed(data);
    const std::optional<HttpResponse> response = this->reader.next();
    if (this->reader.errorStatus() != 0) {
        this->stream->close();
        this->onClosed();
        return;
    }
    if (!response)
        return;
    // Bytes after the response answer no request, so the connection is not reused.
    const bool surplus = this->reader.hasPartial();
    this->waiting = false;
    const bool keep = response->head.getKeepAlive() && !surplus;
    // Copied because the owner may close the connection in the call, which drops the callbacks.
    const auto onResponse = this->callbacks.onResponse;
    if (onResponse)
        onResponse(*response);
    if (keep || !this->stream->isOpen())
        return;
    this->stream->close();
    this->onClosed();
}

void HttpClient::onClosed()
{
    const std::shared_ptr<HttpClient> self = this->shared_from_this();
    const bool bytesSent
            = this->waiting && this->stream->bytesWritten() > this->bytesWrittenBeforeRequest;
    const HttpClientCallbacks ended = std::move(this->callbacks);
    this->callbacks = {};
    if (ended.onClosed)
        ended.onClosed(bytesSent);
}

} // namespace quetzal
