// The quetzal-gateway process: its components and their shutdown, on one event loop.
#pragma once

#include "connection/httpcodec.h"
#include "connection/httpserver.h"
#include "process/eventloop.h"
#include "process/gatewaysettings.h"
#include "process/metrics.h"
#include "process/viewexchange.h"
#include "request/allowanceexchange.h"
#include "request/gateway.h"
#include "version/servingview.h"
#include "version/viewfeed.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace quetzal {

// Creates the feed of tables and registrations from the address of the store, which is empty if the
// view is read from files.
using ViewFeedFactory
        = std::function<std::unique_ptr<ViewFeed>(EventLoop &, const std::string &, ServingView &)>;

// Serves callers until a shutdown has completed.
class GatewayProcess
{
public:
    // Throws Poco::Net::NetException if an address cannot be bound.
    GatewayProcess(const GatewaySettings &settings, HeaderNames names,
                   const ViewFeedFactory &makeFeed);

    // Runs until a shutdown has completed. Returns false if a request was cut off.
    bool run();

    // Sets a function that is called on the loop now and about every tickPeriod.
    void setTickHandler(std::function<void()> handler);

    static constexpr Millis tickPeriod = Millis(100);

    // Begins a graceful shutdown; further calls do nothing. Called on the loop only.
    void shutdown();

    // Applies the settings that can change while the process runs: the grace period and the seeds.
    // Called on the loop only.
    void reload(const GatewaySettings &newSettings);

private:
    // Returns true if there are tables and live searchers and no shutdown has begun.
    bool isReady() const;
    void logReadinessChange();
    void onReadyCheck(HttpExchange &exchange);
    void onMetrics(HttpExchange &exchange);
    // Tells the consumers of the view that it has changed.
    void onViewChange();
    // Logs the zones that were evacuated or restored.
    void logZones();
    void tick();
    // Drops what the view no longer needs to remember, periodically.
    void purge();
    // Gives up what the view has retained since a restore of the store, when it is time.
    void settle();
    void stopAccepting();
    void waitForDrain();
    // Sets up the budget of bytes that all connections together may hold.
    void limitMemory();
    // Logs that connections are closed because of the budget, and later that no more are.
    void onMemoryEnforced(std::size_t closed);
    void checkMemoryRelieved();
    HttpServerOptions callerOptions() const;
    ScatterExecutorOptions scatterOptions() const;

    GatewaySettings settings;
    EventLoop loop;
    Metrics metrics;
    HttpCodec codec;
    ServingView view;
    ScatterExecutor scatters;
    // Sends parts of requests through other hosts, and gathers parts on behalf of other hosts.
    PartRelay partRelay;
    // Counts the requests of workspaces together with the other hosts.
    AllowanceExchange allowances;
    Gateway gateway;
    std::unique_ptr<ViewFeed> feed;
    std::unique_ptr<ViewExchange> exchange;
    std::shared_ptr<HttpServer> callerServer;
    std::shared_ptr<HttpServer> readinessServer;
    std::shared_ptr<HttpServer> metricsServer;
    std::shared_ptr<MemoryBudget> memoryBudget;
    // Connections that the budget closed since memory-limited was logged; zero if it is not.
    std::size_t closedForMemory = 0;
    Millis memoryEnforcedAt;
    bool loggedReady = false;
    std::set<std::string> loggedEvacuations;
    bool stopping = false;
    // A consumer of the view failed and will be told again.
    bool viewUpdateScheduled = false;
    bool cutOff = false;
    Millis shutdownDeadline;
    std::function<void()> tickHandler;
};

} // namespace quetzal
