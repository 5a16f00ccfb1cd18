// Single calls to the platform's HTTP services.
#pragma once

#include "connection/httpclient.h"
#include "process/eventloop.h"
#include "quetzal/steadyclock.h"

#include <functional>
#include <memory>
#include <string>

namespace quetzal {

// The end of a call. Without a reply the status is zero: a write may have taken effect.
struct HttpCallResult
{
    int status = 0;
    std::string storeVersion;
    std::string body;
};

// Calls one service, one connection a call, with a time limit. Used on its loop's thread only.
class HttpCaller
{
public:
    HttpCaller(EventLoop &loop, std::string address)
        : loop(loop)
        , address(std::move(address))
    {}

    // Sends a GET; done is called once, later.
    void get(const std::string &target, Millis patience,
             std::function<void(const HttpCallResult &)> done);

private:
    EventLoop &loop;
    std::string address;
};

} // namespace quetzal
