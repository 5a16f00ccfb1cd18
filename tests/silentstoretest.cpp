// A gateway process on loopback whose store loses a call without closing the connection.
#include "connection/httpclient.h"
#include "connection/httpserver.h"
#include "platform/documents.h"
#include "platform/storefeed.h"
#include "process/gatewayprocess.h"
#include "quetzal/steadyclock.h"

#include <atomic>
#include <sstream>
#include <thread>
#include <utility>

#include <Poco/Base64Encoder.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/URI.h>
#include <doctest/doctest.h>

using namespace quetzal;

namespace {

std::string freeAddress()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().toString();
}

std::string base64(const std::string &text)
{
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder << text;
    encoder.close();
    return out.str();
}

// A store that holds only the tables. Calls that arrive while it is silent never get a response,
// and their connections stay open.
class SilentStore
{
public:
    explicit SilentStore(EventLoop &loop)
        : loop(loop)
        , server(HttpServer::listen(loop, Poco::Net::SocketAddress("127.0.0.1", 0),
                                    HttpServerOptions(),
                                    [this](const auto &exchange) { this->onCall(exchange); }))
    {}

    std::string address() const { return this->server->address().toString(); }

    // Replaces the tables. Watches that wait are answered, unless the store is silent.
    void setTables(std::uint64_t version)
    {
        this->version = version;
        for (const auto &watch : std::exchange(this->waitingWatches, {})) {
            if (this->silent)
                this->lostCalls.push_back(watch);
            else
                this->answer(watch, "events");
        }
    }

    // Loses the watches that wait, and all calls from now on.
    void setSilent(bool isSilent)
    {
        this->silent = isSilent;
        for (const auto &watch : std::exchange(this->waitingWatches, {}))
            this->lostCalls.push_back(watch);
    }

    std::size_t waitingCount() const { return this->waitingWatches.size(); }

    int watchCount = 0;

private:
    void onCall(const std::shared_ptr<HttpExchange> &exchange)
    {
        const Poco::URI uri(exchange->request().head.getURI());
        const bool isWatch = uri.getPath().ends_with("watch");
        this->watchCount += isWatch;
        if (this->silent) {
            this->lostCalls.push_back(exchange);
            return;
        }
        if (!isWatch) {
            this->answer(exchange, "items");
            return;
        }
        std::uint64_t after = 0;
        int waitMs = 0;
        for (const auto &[name, value] : uri.getQueryParameters()) {
            if (name == "after")
                after = std::stoull(value);
            if (name == "waitMs")
                waitMs = std::stoi(value);
        }
        if (after < this->version) {
            this->answer(exchange, "events");
            return;
        }
        this->waitingWatches.push_back(exchange);
        this->loop.schedule(SteadyClock::now() + Millis(waitMs), [this, exchange] {
            if (std::erase(this->waitingWatches, exchange) > 0)
                exchange->respond(200, {}, this->page("events", ""));
        });
    }

    void answer(const std::shared_ptr<HttpExchange> &exchange, const std::string &list)
    {
        const std::string tables = R"({"version":)" + std::to_string(this->version)
                                   + R"(,"routes":[],"services":[]})";
        exchange->respond(200, {},
                          this->page(list, R"({"key":")" + std::string(platform::tablesKey)
                                                   + R"(","value":")" + base64(tables)
                                                   + R"(","revision":)"
                                                   + std::to_string(this->version) + "}"));
    }

    std::string page(const std::string &list, const std::string &items) const
    {
        return "{\"" + list + "\":[" + items
               + "],\"hasMore\":false,\"currentRev\":" + std::to_string(this->version) + "}";
    }

    EventLoop &loop;
    std::uint64_t version = 1;
    bool silent = false;
    std::vector<std::shared_ptr<HttpExchange>> waitingWatches;
    std::vector<std::shared_ptr<HttpExchange>> lostCalls;
    std::shared_ptr<HttpServer> server;
};

// Runs a gateway process on a separate thread and its store on the test's loop.
class SilentStoreFixture
{
public:
    SilentStoreFixture()
        : store(this->loop)
    {
        this->settings.name = "host";
        this->settings.zone = "z";
        this->settings.callersAddress = freeAddress();
        this->settings.readyAddress = freeAddress();
        this->settings.viewAddress = freeAddress();
        this->settings.heartbeatAddress = freeAddress();
        this->settings.storeAddress = this->store.address();
        this->process = std::make_unique<GatewayProcess>(
                this->settings, HeaderNames(),
                [this](EventLoop &processLoop, const std::string &address, ServingView &view) {
                    this->view = &view;
                    return std::make_unique<platform::StoreFeed>(processLoop, address, view, 1);
                });
        this->process->setTickHandler([this] { this->onTick(); });
        this->processThread = std::thread([this] { this->process->run(); });
    }

    ~SilentStoreFixture()
    {
        this->stopRequested = true;
        this->processThread.join();
    }

    // Runs the store until the condition holds, for at most the given time. Returns whether it
    // does.
    bool runUntil(Millis span, const std::function<bool()> &condition)
    {
        const Millis end = SteadyClock::now() + span;
        while (!condition() && SteadyClock::now() < end)
            this->loop.runOnce();
        return condition();
    }

    EventLoop loop;
    SilentStore store;
    GatewaySettings settings;
    // The revision of the tables that the process has in force.
    std::atomic<std::uint64_t> inForce = 0;

private:
    // Runs on the process's loop.
    void onTick()
    {
        this->inForce = this->view->tablesRevision().value;
        if (this->stopRequested.exchange(false))
            this->process->shutdown();
    }

    ServingView *view = nullptr;
    std::atomic<bool> stopRequested = false;
    std::unique_ptr<GatewayProcess> process;
    std::thread processThread;
};

} // namespace

TEST_CASE("a change is in force in time although the store lost the watch without closing it")
{
    SilentStoreFixture fixture;
    REQUIRE(fixture.runUntil(Millis(3000), [&] {
        return fixture.inForce == 1 && fixture.store.waitingCount() > 0;
    }));
    fixture.store.setSilent(true);
    fixture.runUntil(Millis(300), [] { return false; });
    fixture.store.setSilent(false);
    fixture.store.setTables(2);
    CHECK(fixture.runUntil(fixture.settings.changeDeadline, [&] { return fixture.inForce == 2; }));
}
