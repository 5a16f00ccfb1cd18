#include "process/httpcall.h"

namespace quetzal {

static constexpr const char *storeVersionHeader = "X-Store-Version";

namespace {

// State shared by the callbacks of one call.
struct PendingCall
{
    std::shared_ptr<HttpClient> client;
    std::function<void(const HttpCallResult &)> done;
    TimerId timer = 0;

    void finish(EventLoop &loop, const HttpCallResult &result)
    {
        if (!this->done)
            return;
        const auto callback = std::move(this->done);
        this->done = {};
        loop.cancel(this->timer);
        if (this->client)
            this->client->close();
        // The client must not be destroyed within its own callback.
        loop.post([client = std::move(this->client)] {});
        callback(result);
    }
};

} // namespace

void HttpCaller::get(const std::string &target, Millis timeout,
                     std::function<void(const HttpCallResult &)> done)
{
    const auto call = std::make_shared<PendingCall>();
    call->done = std::move(done);
    EventLoop &eventLoop = this->loop;
    // The timer owns the call, so that it ends with the loop at the latest.
    const std::weak_ptr<PendingCall> weak = call;
    HttpClientCallbacks callbacks;
    callbacks.onConnected = [weak, target] {
        const auto pending = weak.lock();
        if (pending && pending->client)
            pending->client->send("GET", target, { { "Connection", "close" } }, {});
    };
    callbacks.onResponse = [weak, &eventLoop](const HttpResponse &response) {
        if (const auto pending = weak.lock())
            pending->finish(eventLoop,
                            { static_cast<int>(response.head.getStatus()),
                              response.head.get(storeVersionHeader, ""), response.body });
    };
    callbacks.onClosed = [weak, &eventLoop](bool) {
        if (const auto pending = weak.lock())
            pending->finish(eventLoop, {});
    };
    call->timer = eventLoop.schedule(SteadyClock::now() + timeout,
                                     [call, &eventLoop] { call->finish(eventLoop, {}); });
    call->client = HttpClient::connect(eventLoop, this->address, callbacks);
}

} // namespace quetzal
