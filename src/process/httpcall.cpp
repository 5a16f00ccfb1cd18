#include "process/httpcall.h"

namespace quetzal {

static constexpr const char *versionField = "X-Store-Version";

namespace {

// State shared by the callbacks of one call.
struct OpenCall
{
    std::shared_ptr<HttpClient> client;
    std::function<void(const HttpCallResult &)> done;
    TimerId timer = 0;

    void end(EventLoop &loop, const HttpCallResult &result)
    {
        if (!this->done)
            return;
        const auto finished = std::move(this->done);
        this->done = {};
        loop.cancel(this->timer);
        if (this->client)
            this->client->close();
        // The client must not be destroyed within its own callback.
        loop.post([client = std::move(this->client)] {});
        finished(result);
    }
};

} // namespace

void HttpCaller::get(const std::string &target, Millis patience,
                     std::function<void(const HttpCallResult &)> done)
{
    const auto call = std::make_shared<OpenCall>();
    call->done = std::move(done);
    EventLoop &owner = this->loop;
    HttpClientCallbacks callbacks;
    callbacks.onConnected = [call, target] {
        if (call->client)
            call->client->send("GET", target, { { "Connection", "close" } }, {});
    };
    callbacks.onResponse = [call, &owner](const HttpResponse &response) {
        call->end(owner, { static_cast<int>(response.head.getStatus()),
                           response.head.get(versionField, ""), response.body });
    };
    callbacks.onClosed = [call, &owner](bool) { call->end(owner, {}); };
    call->timer = owner.schedule(SteadyClock::now() + patience,
                                 [call, &owner] { call->end(owner, {}); });
    call->client = HttpClient::connect(owner, this->address, callbacks);
}

} // namespace quetzal
