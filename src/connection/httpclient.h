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

// What the owner of a client connection is told.
struct HttpClientCallbacks
{
    std::function<void()> onConnected;
    std::function<void(const HttpResponse &)> onResponse;
    // The connection ended. bytesSent tells whether any byte of the open request was written.
    std::function<void(bool bytesSent)> onClosed;
};

// A connection that carries one request at a time. Used on its loop's thread only.
class HttpClient : public std::enable_shared_from_this<HttpClient>
{
public:
    static std::shared_ptr<HttpClient> connect(EventLoop &loop, const std::string &address,
                                               const HttpClientCallbacks &callbacks);

    // Sends a request. The previous one must have been answered.
    void send(const std::string &method, const std::string &target,
              const std::vector<HttpField> &fields, const std::string &body);

    // Hands an idle connection to another owner.
    void setCallbacks(const HttpClientCallbacks &next) { this->callbacks = next; }

    // Ends the connection without a callback.
    void close();

private:
    HttpClient(const std::string &address, const HttpClientCallbacks &callbacks);
    void onData(std::string_view data);
    void onClosed();

    std::string address;
    HttpClientCallbacks callbacks;
    std::shared_ptr<TcpStream> stream;
    HttpReader<Poco::Net::HTTPResponse> reader;
    bool waiting = false;
    std::uint64_t bytesWrittenBeforeRequest = 0;
};

} // namespace quetzal
