// The parts of one gateway process, wired together on one loop.
#pragma once

#include "connection/httpcodec.h"
#include "connection/httpserver.h"
#include "process/eventloop.h"
#include "process/gatewaysettings.h"
#include "process/metrics.h"
#include "process/viewexchange.h"
#include "request/gateway.h"
#include "version/servingview.h"
#include "version/viewfeed.h"

#include <functional>
#include <memory>
#include <string>

namespace quetzal {

// Makes the source of tables and registrations.
using ViewFeedFactory
        = std::function<std::unique_ptr<ViewFeed>(EventLoop &, const std::string &, ServingView &)>;

// Serves callers until it is told to stop.
class GatewayProcess
{
public:
    // Throws Poco::Net::NetException if an address cannot be bound.
    GatewayProcess(const GatewaySettings &settings, HeaderNames names, const ViewFeedFactory &feed);

    // Runs until a shutdown is over. Returns false if a request was cut off.
    bool run();

    // Has a function called on the loop about every tickPeriod.
    void setTickHandler(std::function<void()> handler);

    static constexpr Millis tickPeriod = Millis(100);

    // Begins a graceful shutdown. May be called more than once. On the loop only.
    void shutdown();

    // Takes new settings where they can change in a running process. On the loop only.
    void reload(const GatewaySettings &next);

private:
    bool isReady() const;
    void logReadinessChange();
    void onReadyCheck(HttpExchange &exchange);
    void onMetrics(HttpExchange &exchange);
    void onViewChange();
    void tick();
    void stopAccepting();
    void waitForDrain();
    HttpServerOptions callerOptions() const;
    ScatterExecutorOptions scatterOptions() const;

    GatewaySettings settings;
    EventLoop loop;
    Metrics metrics;
    HttpCodec codec;
    ServingView view;
    ScatterExecutor scatters;
    PartRelay partRelay;
    Gateway gateway;
    std::unique_ptr<ViewFeed> feed;
    std::unique_ptr<ViewExchange> exchange;
    std::shared_ptr<HttpServer> callerServer;
    std::shared_ptr<HttpServer> readinessServer;
    std::shared_ptr<HttpServer> metricsServer;
    bool wasReady = false;
    bool stopping = false;
    bool cutOff = false;
    Millis shutdownDeadline;
    std::function<void()> tickHandler;
};

} // namespace quetzal
