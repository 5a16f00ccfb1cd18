// A gateway process on loopback with the stand-in of the platform's store.
#pragma once

#include "platform/storefeed.h"
#include "platformstore.h"
#include "process/gatewayprocess.h"
#include "quetzal/steadyclock.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <Poco/Net/ServerSocket.h>

namespace quetzal {

inline std::string freeAddress()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().toString();
}

// Runs a gateway process on a separate thread and its store, which has tables, on the test's loop.
class GatewayWithStore
{
public:
    // The function writes further entries before the process starts.
    explicit GatewayWithStore(const std::function<void(PlatformStore &)> &prepare = {})
        : store(this->loop)
    {
        this->store.putTables();
        if (prepare)
            prepare(this->store);
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

    ~GatewayWithStore()
    {
        this->stopRequested = true;
        this->processThread.join();
    }

    // Waits until the process has the store's tables and watches for changes.
    bool awaitWatch()
    {
        return this->runUntil(Millis(3000), [this] {
            return this->inForce > 0 && this->store.waitingCount() > 0;
        });
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
    PlatformStore store;
    GatewaySettings settings;
    // The revision of the tables that the process has in force.
    std::atomic<std::uint64_t> inForce = 0;
    // The number of searchers that it knows.
    std::atomic<std::size_t> searchers = 0;

private:
    // Runs on the process's loop.
    void onTick()
    {
        this->inForce = this->view->tablesRevision().value;
        this->searchers = this->view->directory().liveCount();
        if (this->stopRequested.exchange(false))
            this->process->shutdown();
    }

    ServingView *view = nullptr;
    std::atomic<bool> stopRequested = false;
    std::unique_ptr<GatewayProcess> process;
    std::thread processThread;
};

} // namespace quetzal
