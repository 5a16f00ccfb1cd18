// The quetzald process: its event loops and the messages between them.
#pragma once

#include "connection/httpserver.h"
#include "connection/relayservice.h"
#include "process/eventloop.h"
#include "process/hostagent.h"
#include "process/metrics.h"
#include "process/rcuvalue.h"
#include "process/settings.h"
#include "process/tracing.h"
#include "request/entryservice.h"

#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace quetzal {

// Runs one host with a control loop and several entry and relay loops, each on its own thread. The
// constructor binds all addresses.
class Daemon
{
public:
    // Throws Poco::Exception if an address cannot be bound.
    explicit Daemon(const Settings &settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    // Serves until a shutdown has completed. Returns true if no request was cut off.
    bool run();

    // Begins a graceful shutdown. May be called from any thread.
    void shutdown();

private:
    // An entry loop, which serves callers, and its thread.
    struct EntryLoop
    {
        explicit EntryLoop(const std::string &name)
            : metrics(name)
        {}

        EventLoop loop;
        Metrics metrics;
        std::unique_ptr<SpanIdGenerator> spanIds;
        std::unique_ptr<EntryService> service;
        std::shared_ptr<HttpServer> server;
        std::thread thread;
    };

    // A relay loop, which holds the connections to searchers, and its thread.
    struct RelayLoop
    {
        explicit RelayLoop(const std::string &name)
            : metrics(name)
        {}

        EventLoop loop;
        Metrics metrics;
        std::unique_ptr<SpanIdGenerator> spanIds;
        std::unique_ptr<RelayService> service;
        std::thread thread;
    };

    void makeEntry(std::uint32_t index);
    void makeRelay(std::uint32_t index);
    AgentCallbacks agentCallbacks();
    // Send over the network to other hosts, or post to the loops of this host if it is the
    // receiver. OnceMessage belongs to the protocol for at-most-once execution of requests.
    void sendBatch(HostId owner, const std::shared_ptr<SubRequests> &batch);
    void sendCancels(HostId owner, const Cancels &cancels);
    void sendOnceMessage(HostId to, const OnceMessage &message);
    void deliverOnceMessage(HostId from, const OnceMessage &message, bool stale);
    void deliverReply(AttemptResult result);
    void onAdminRequest(const std::shared_ptr<HttpExchange> &exchange);
    void answerStatus(HttpExchange &exchange);
    void answerMetrics(const std::shared_ptr<HttpExchange> &exchange);
    std::string agentMetrics();
    // Logs newly dropped spans, and schedules itself again.
    void logDroppedSpans();
    // The steps of a shutdown: /readyz fails, then no connection is accepted, then requests in
    // flight complete or shutdownDeadline passes.
    void beginShutdown();
    void stopAccepting();
    void waitForDrain();
    // Passes the number of running queries, open connections and busy relay loops to done.
    void countBusy(const std::function<void(std::size_t)> &done);

    Settings settings;
    HostId self;
    RcuValue<RoutingSnapshot> snapshot;
    TraceWriter traces;
    EventLoop controlLoop;
    Metrics controlMetrics;
    std::unique_ptr<HostAgent> agent;
    std::vector<std::unique_ptr<EntryLoop>> entries;
    std::vector<std::unique_ptr<RelayLoop>> relays;
    std::shared_ptr<HttpServer> adminServer;
    Millis shutdownDeadline;
    bool shuttingDown = false;
    bool cutOff = false;
    std::uint64_t loggedDroppedSpans = 0;
};

} // namespace quetzal
