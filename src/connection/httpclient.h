// One non-blocking HTTP/1.1 connection to a server.
#pragma once

#include "connection/httpreader.h"
#include "connection/httpserver.h"
#include "connection/tcpstream.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace quetzal {

// Notifications to the owner of a client connection.
struct HttpClientCallbacks
{
    std::function<void()> onConnected;
    std::function<void(const HttpResponse &)> onResponse;
    // The connection failed or was closed by the server. bytesSent is true if a request was
    // unanswered and at least one byte of it had been written.
    std::function<void(bool bytesSent)> onClosed;
};

// A connection that handles one request at a time. Used on its loop's thread only.
class HttpClient : public std::enable_shared_from_this<HttpClient>
{
public:
    // Starts to connect; the outcome is reported by onConnected or onClosed.
    static std::shared_ptr<HttpClient> connect(EventLoop &loop, const std::string &address,
                                               const HttpClientCallbacks &callbacks);

    // Sends a request with a Host and a Content-Length field. The previous request must have been
    // answered.
    void send(const std::string &method, const std::string &target,
              const std::vector<HttpField> &fields, const std::string &body);

    // Transfers an idle connection to another owner.
    void setCallbacks(const HttpClientCallbacks &newCallbacks) { this->callbacks = newCallbacks; }

    // Closes the connection without a callback.
    void close();

private:
    HttpClient(const std::string &address, const HttpClientCallbacks &callbacks);
    void onData(std::string_view data);
    void onClosed();

    std::string address;
    HttpClientCallbacks callbacks;
    std::shared_ptr<TcpStream> stream;
    HttpReader<Poco::Net::HTTPResponse> reader;
    // A request has been sent and its response is not complete.
    bool waiting = false;
    // Bytes written on the connection when the open request was sent.
    std::uint64_t bytesWrittenBeforeRequest = 0;
};

} // namespace quetzal
