// One-shot HTTP calls to the platform's services and to other hosts.
#pragma once

#include "connection/httpclient.h"
#include "process/eventloop.h"
#include "quetzal/steadyclock.h"

#include <functional>
#include <memory>
#include <string>

namespace quetzal {

// The result of a call. The status is zero if there was no response.
struct HttpCallResult
{
    int status = 0;
    // The X-Store-Version header, or empty.
    std::string storeVersion;
    std::string body;
};

// Calls one HTTP service, with a connection and a timeout for each call. Used on its loop's thread
// only.
class HttpCaller
{
public:
    HttpCaller(EventLoop &loop, std::string address)
        : loop(loop)
        , address(std::move(address))
    {}

    // Sends a GET request. Calls done exactly once, after this function has returned.
    void get(const std::string &target, Millis timeout,
             std::function<void(const HttpCallResult &)> done);

private:
    EventLoop &loop;
    std::string address;
};

} // namespace quetzal
