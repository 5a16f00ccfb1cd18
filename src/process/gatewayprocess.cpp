#include "process/gatewayprocess.h"

#include "process/eventlog.h"
#include "quetzal/fault.h"
#include "quetzal/steadyclock.h"

#include <algorithm>
#include <sstream>

namespace quetzal {

static constexpr int statusOk = 200;
static constexpr int statusUnavailable = 503;
static constexpr std::size_t maxCallerConnections = 2000;
// Fraction of the grace period during which connections are still accepted, because load balancers
// need time to notice that the host is not ready.
static constexpr double acceptingFraction = 0.45;
// Part of the grace period that is reserved for the process to exit.
static constexpr Millis exitMargin = Millis(400);
// Part of it in which the failures of the last requests are sent.
static constexpr Millis failureSendTime = Millis(200);
static constexpr Millis drainCheckPeriod = Millis(50);
// Part of the machine's memory that may be held for connections. Copies, buffers that grow and the
// tables need the rest.
static constexpr std::size_t connectionMemoryDivisor = 4;
// Time without closed connections after which memory counts as relieved.
static constexpr Millis memoryReliefTime = Millis(5000);
static constexpr Millis purgePeriod = Millis(10'000);
static constexpr Millis settlePeriod = Millis(250);
// Pause before consumers of the view are told again of a change that one of them failed to take.
static constexpr Millis viewUpdateRetryPause = Millis(1000);

static std::uint64_t randomSeed(const std::string &name)
{
    return stableHash(stableHash(name),
                      static_cast<std::uint64_t>(SteadyClock::now().count() * 1000));
}

static std::vector<RelayPeer> relayPeers(const std::vector<MemberInfo> &members)
{
    std::vector<RelayPeer> peers;
    peers.reserve(members.size());
    for (const MemberInfo &member : members)
        peers.push_back({ member.id, member.zone, member.capacity });
    return peers;
}

static bool namesOtherHosts(const GatewaySettings &settings)
{
    return std::any_of(settings.seeds.begin(), settings.seeds.end(),
                       [&](const std::string &seed) { return seed != settings.viewAddress; });
}

ScatterExecutorOptions GatewayProcess::scatterOptions() const
{
    ScatterExecutorOptions options;
    options.zone = this->settings.zone;
    options.zoneRoundTrip = this->settings.zoneRoundTrip;
    options.zonePenalty = this->settings.zonePenalty;
    options.retries.ratio = this->settings.retryRatio;
    options.retries.slack = this->settings.retrySlack;
    options.retries.window = this->settings.retryWindow;
    options.seed = randomSeed(this->settings.name);
    return options;
}

GatewayProcess::GatewayProcess(const GatewaySettings &settings, HeaderNames names,
                               const ViewFeedFactory &makeFeed)
    : settings(settings)
    , metrics("gateway")
    , codec(std::move(names))
    , scatters(this->loop, this->metrics, this->codec, this->view, this->scatterOptions())
    , partRelay(this->loop, this->view, this->scatters,
                { { stableHash(settings.heartbeatAddress) }, settings.zone, settings.capacity },
                randomSeed(settings.name))
    , allowances(this->loop, this->metrics, this->view,
                 { { stableHash(settings.heartbeatAddress) }, settings.zone, settings.capacity },
                 namesOtherHosts(settings), settings.allowanceTolerance, randomSeed(settings.name))
    , gateway(this->loop, this->metrics, this->codec, this->view, this->scatters, this->partRelay,
              settings.zone)
{
    this->view.onChange([this] { this->onViewChange(); });
    this->feed = makeFeed(this->loop, this->settings.storeAddress, this->view);
    ViewExchangeHooks hooks;
    hooks.isStoreHealthy = [this] { return this->feed->isHealthy(); };
    hooks.feedStatus = [this] { return this->feed->status(); };
    hooks.onFeedDoubted = [this] { this->feed->refresh(); };
    hooks.onMaxCallWaitChanged = [this](Millis wait) { this->feed->setMaxCallWait(wait); };
    hooks.onFleetCapacityChanged
            = [this](double fleetCapacity) { this->scatters.setFleetCapacity(fleetCapacity); };
    hooks.onPeersChanged = [this](const std::vector<MemberInfo> &alive) {
        this->partRelay.setPeers(relayPeers(alive));
    };
    // An account needs no connections that have to warm up first.
    hooks.onMembersChanged = [this](const std::vector<MemberInfo> &members) {
        this->allowances.setPeers(relayPeers(members));
    };
    hooks.onStandbyChanged = [this](bool standby) { this->feed->setStandby(standby); };
    hooks.onMessage = [this](HostId from, const std::string &payload) {
        this->partRelay.onMessage(from, payload);
        this->allowances.onMessage(from, payload);
    };
    hooks.onPeerLost = [this](HostId host) { this->partRelay.onPeerLost(host); };
    hooks.onHeard = [this](HostId host) { this->allowances.onHeard(host); };
    this->partRelay.setTransport(
            [this](HostId host, std::string payload) {
                this->exchange->sendMessage(host, std::move(payload));
            },
            [this](HostId host) { return this->exchange->roundTripTo(host); },
            [this](HostId host) { return this->exchange->unacknowledgedFor(host); });
    this->allowances.setTransport([this](HostId host, std::string payload) {
        this->exchange->sendMessage(host, std::move(payload));
    });
    this->gateway.setAllowance([this](const Workspace &workspace, const std::string &requestId) {
        return this->allowances.refusal(workspace, requestId);
    });
    this->exchange = std::make_unique<ViewExchange>(this->loop, this->settings, this->view,
                                                    std::move(hooks));
    this->gateway.setViewTrust(
            [this] { return !this->exchange->isUnconfirmed(SteadyClock::now()); });
    this->callerServer = HttpServer::listen(
            this->loop, Poco::Net::SocketAddress(this->settings.callersAddress),
            this->callerOptions(), [this](const std::shared_ptr<HttpExchange> &exchange) {
                this->gateway.onRequest(exchange);
            });
    HttpServerOptions readyOptions;
    readyOptions.maxConnections = 64;
    this->readinessServer = HttpServer::listen(
            this->loop, Poco::Net::SocketAddress(this->settings.readyAddress), readyOptions,
            [this](const std::shared_ptr<HttpExchange> &exchange) {
                this->onReadyCheck(*exchange);
            });
    if (!this->settings.metricsAddress.empty())
        this->metricsServer = HttpServer::listen(
                this->loop, Poco::Net::SocketAddress(this->settings.metricsAddress), readyOptions,
                [this](const std::shared_ptr<HttpExchange> &exchange) {
                    this->onMetrics(*exchange);
                });
    this->callerServer->setLimitReports("callers", this->metrics);
    this->readinessServer->setLimitReports("ready", this->metrics);
    if (this->metricsServer)
        this->metricsServer->setLimitReports("metrics", this->metrics);
    this->limitMemory();
    this->loop.onPause([this](Millis gap) {
        logEvent(LogEvent::ProcessPaused, "gap_ms=" + std::to_string(gap.count()));
        this->metrics.add(Counter::Pauses);
        this->exchange->onPaused();
        this->scatters.onPaused();
    });
}

void GatewayProcess::limitMemory()
{
    static constexpr std::size_t bytesPerMegabyte = 1'048'576;
    this->memoryBudget = std::make_shared<MemoryBudget>(this->settings.memoryMb * bytesPerMegabyte
                                                        / connectionMemoryDivisor);
    this->memoryBudget->onExceeded([this] {
        this->loop.post([this] { this->memoryBudget->enforce(SteadyClock::now()); });
    });
    this->memoryBudget->onEnforced([this](std::size_t closed) { this->onMemoryEnforced(closed); });
    this->scatters.setMemoryBudget(this->memoryBudget);
    this->exchange->setMemoryBudget(this->memoryBudget);
    this->callerServer->setMemoryBudget(this->memoryBudget);
    this->readinessServer->setMemoryBudget(this->memoryBudget);
    if (this->metricsServer)
        this->metricsServer->setMemoryBudget(this->memoryBudget);
}

void GatewayProcess::onMemoryEnforced(std::size_t closed)
{
    const bool isFirst = this->closedForMemory == 0;
    this->closedForMemory += closed;
    this->memoryEnforcedAt = SteadyClock::now();
    if (!isFirst)
        return;
    logEvent(LogEvent::MemoryLimited,
             "held_bytes=" + std::to_string(this->memoryBudget->heldBytes())
                     + " limit_bytes=" + std::to_string(this->memoryBudget->limitBytes()));
    this->checkMemoryRelieved();
}

void GatewayProcess::checkMemoryRelieved()
{
    const Millis relievedAt = this->memoryEnforcedAt + memoryReliefTime;
    if (SteadyClock::now() < relievedAt) {
        this->loop.schedule(relievedAt, [this] { this->checkMemoryRelieved(); });
        return;
    }
    logEvent(LogEvent::MemoryRelieved,
             "held_bytes=" + std::to_string(this->memoryBudget->heldBytes())
                     + " closed=" + std::to_string(this->closedForMemory));
    this->closedForMemory = 0;
}

HttpServerOptions GatewayProcess::callerOptions() const
{
    HttpServerOptions options;
    options.maxConnections = maxCallerConnections;
    if (!this->view.tables())
        return options;
    const CallerLimits &limits = this->view.tables()->limits;
    options.limits.maxHeadBytes = limits.maxHeaderBytes;
    options.limits.maxBodyBytes = limits.maxBodyBytes;
    options.requestTimeout = limits.headerTimeout;
    options.idleTimeout = limits.idleTimeout;
    return options;
}

bool GatewayProcess::run()
{
    logEvent(LogEvent::Started, "host=" + this->settings.name + " zone=" + this->settings.zone
                                        + " callers=" + this->settings.callersAddress);
    this->exchange->start();
    this->feed->start();
    this->purge();
    this->settle();
    this->loop.run();
    logEvent(LogEvent::Stopped, std::string("cut_off=") + (this->cutOff ? "1" : "0"));
    return !this->cutOff;
}

bool GatewayProcess::isReady() const
{
    return !this->stopping && this->view.tables() && this->view.directory().liveCount() > 0;
}

void GatewayProcess::logReadinessChange()
{
    if (this->isReady() == this->loggedReady)
        return;
    this->loggedReady = !this->loggedReady;
    logEvent(this->loggedReady ? LogEvent::Ready : LogEvent::NotReady,
             "host=" + this->settings.name
                     + (this->loggedReady ? ""
                                          : std::string(" reason=")
                                                    + (this->stopping ? "stopping" : "no-view")));
}

void GatewayProcess::onReadyCheck(HttpExchange &exchange)
{
    const bool ready = this->isReady();
    exchange.respond(ready ? statusOk : statusUnavailable, {}, ready ? "ready\n" : "not ready\n",
                     "text/plain");
}

void GatewayProcess::onMetrics(HttpExchange &exchange)
{
    std::ostringstream text;
    text << this->metrics.text();
    text << "quetzal_ready " << (this->isReady() ? 1 : 0) << "\n";
    text << "quetzal_store_answers " << (this->feed->isHealthy() ? 1 : 0) << "\n";
    const FeedStatus feedStatus = this->feed->status();
    const Millis now = SteadyClock::now();
    text << "quetzal_feed_step{step=\"" << feedStepNames[static_cast<std::size_t>(feedStatus.step)]
         << "\"} 1\n";
    text << "quetzal_feed_step_ms " << (now - feedStatus.stepSince).count() << "\n";
    text << "quetzal_feed_answer_age_ms " << (now - feedStatus.answeredAt).count() << "\n";
    text << "quetzal_handler_failures_total " << this->loop.failureCount() << "\n";
    text << "quetzal_feed_failures_total " << feedStatus.failures << "\n";
    text << "quetzal_refused_tables " << feedStatus.refusedTables << "\n";
    text << "quetzal_tables_revision " << this->view.tablesRevision().value << "\n";
    text << "quetzal_directory_revision " << this->view.position().revision << "\n";
    text << "quetzal_directory_era " << this->view.position().era << "\n";
    text << "quetzal_retained_entries " << this->view.retainedCount() << "\n";
    text << "quetzal_view_age_ms " << this->view.freshness().age(SteadyClock::now()).count()
         << "\n";
    text << "quetzal_searchers " << this->view.directory().liveCount() << "\n";
    for (const auto &[zone, record] : this->view.zones().records()) {
        if (record.request.isEvacuated)
            text << "quetzal_zone_evacuated_ms{zone=\"" << zone << "\"} "
                 << (SteadyClock::now() - record.learnedAt).count() << "\n";
    }
    text << "quetzal_exhausted_allowances " << this->allowances.exhaustedCount() << "\n";
    text << "quetzal_unconfirmed_allowances " << this->allowances.unconfirmedCount() << "\n";
    text << "quetzal_allowance_hosts " << this->allowances.hostCount() << "\n";
    text << "quetzal_allowance_reachable_hosts " << this->allowances.reachableHosts() << "\n";
    text << "quetzal_cold_searchers " << this->scatters.coldSearchers() << "\n";
    text << "quetzal_connection_memory_bytes " << this->memoryBudget->heldBytes() << "\n";
    text << "quetzal_running_requests " << this->gateway.runningRequests() << "\n";
    text << "quetzal_caller_connections " << this->callerServer->connectionCount() << "\n";
    exchange.respond(statusOk, {}, text.str(), "text/plain; version=0.0.4");
}

void GatewayProcess::onViewChange()
{
    // The view has changed already, so neither its source nor another consumer may depend on
    // whether one of them fails.
    bool succeeded = true;
    const auto update = [this, &succeeded](const EventLoop::Task &consumer) {
        succeeded = this->loop.runContained("view", consumer) && succeeded;
    };
    update([this] { this->callerServer->setOptions(this->callerOptions()); });
    update([this] { this->logZones(); });
    update([this] { this->scatters.onViewChanged(); });
    update([this] { this->partRelay.onViewChanged(); });
    update([this] { this->logReadinessChange(); });
    if (succeeded || this->viewUpdateScheduled)
        return;
    this->viewUpdateScheduled = true;
    this->loop.schedule(SteadyClock::now() + viewUpdateRetryPause, [this] {
        this->viewUpdateScheduled = false;
        this->onViewChange();
    });
}

void GatewayProcess::logZones()
{
    for (const auto &[zone, record] : this->view.zones().records()) {
        const bool isEvacuated = record.request.isEvacuated;
        if (isEvacuated == this->loggedEvacuations.contains(zone))
            continue;
        if (isEvacuated)
            this->loggedEvacuations.insert(zone);
        else
            this->loggedEvacuations.erase(zone);
        logEvent(isEvacuated ? LogEvent::ZoneEvacuated : LogEvent::ZoneRestored,
                 "zone=" + zone + " revision=" + std::to_string(record.request.revision)
                         + " source=" + (record.isFromHost ? "host" : "store"));
    }
}

void GatewayProcess::setTickHandler(std::function<void()> handler)
{
    this->tickHandler = std::move(handler);
    this->tick();
}

void GatewayProcess::purge()
{
    this->loop.schedule(SteadyClock::now() + purgePeriod, [this] { this->purge(); });
    this->view.purgeGone(SteadyClock::now());
}

void GatewayProcess::settle()
{
    this->loop.schedule(SteadyClock::now() + settlePeriod, [this] { this->settle(); });
    this->view.settleRetained(SteadyClock::now());
}

void GatewayProcess::tick()
{
    this->loop.schedule(SteadyClock::now() + tickPeriod, [this] { this->tick(); });
    this->tickHandler();
}

void GatewayProcess::shutdown()
{
    if (this->stopping)
        return;
    this->stopping = true;
    const Millis now = SteadyClock::now();
    this->shutdownDeadline = now + this->settings.grace - exitMargin;
    this->loop.schedule(now + this->settings.grace * acceptingFraction,
                        [this] { this->stopAccepting(); });
    this->gateway.setShutdownDeadline(this->shutdownDeadline);
    logEvent(LogEvent::Stopping, "host=" + this->settings.name);
    this->logReadinessChange();
    this->exchange->leave();
    this->partRelay.stop();
    this->callerServer->disableKeepAlive();
}

void GatewayProcess::stopAccepting()
{
    this->loop.schedule(SteadyClock::now(), [this] { this->waitForDrain(); });
    this->callerServer->stopAccepting();
}

void GatewayProcess::waitForDrain()
{
    const Millis now = SteadyClock::now();
    this->loop.schedule(now + drainCheckPeriod, [this] { this->waitForDrain(); });
    const bool idle = this->gateway.runningRequests() == 0 && this->scatters.running() == 0
                      && this->callerServer->connectionCount() == 0;
    if (idle || now >= this->shutdownDeadline + failureSendTime) {
        this->loop.stop();
        return;
    }
    if (now >= this->shutdownDeadline && this->gateway.runningRequests() > 0) {
        this->cutOff = true;
        this->gateway.failRemaining();
    }
}

void GatewayProcess::reload(const GatewaySettings &newSettings)
{
    this->settings.grace = newSettings.grace;
    this->exchange->addSeeds(newSettings.seeds);
    this->allowances.setHasSeeds(namesOtherHosts(newSettings));
}

} // namespace quetzal
