#include "process/daemon.h"

#include "process/eventlog.h"
#include "quetzal/steadyclock.h"

#include <atomic>
#include <sstream>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

namespace quetzal {

static constexpr int statusOk = 200;
static constexpr int statusNotFound = 404;
static constexpr int statusUnavailable = 503;
// Time from failing /readyz until no connection is accepted, for load balancers to poll it.
static constexpr Millis loadBalancerGrace = Millis(1000);
static constexpr Millis droppedSpansCheckPeriod = Millis(5000);
static constexpr Millis drainCheckPeriod = Millis(20);

Daemon::Daemon(const Settings &settings)
    : settings(settings)
    , self{ stableHash(settings.name) }
    , traces(settings.trace, settings.name)
    , controlMetrics("control")
{
    this->agent = std::make_unique<HostAgent>(this->controlLoop, settings, this->snapshot,
                                              this->agentCallbacks());
    for (std::uint32_t i = 0; i < settings.relayThreads; ++i)
        this->makeRelay(i);
    for (std::uint32_t i = 0; i < settings.entryThreads; ++i)
        this->makeEntry(i);
    this->adminServer = HttpServer::listen(
            this->controlLoop, Poco::Net::SocketAddress(settings.adminAddress), HttpServerOptions(),
            [this](const std::shared_ptr<HttpExchange> &exchange) {
                this->onAdminRequest(exchange);
            });
    this->adminServer->setLimitReports("admin", this->controlMetrics);
    this->controlLoop.onPause([this](Millis gap) {
        logEvent(LogEvent::ProcessPaused, "gap_ms=" + std::to_string(gap.count()));
        this->controlMetrics.add(Counter::Pauses);
        this->agent->onPaused();
    });
}

Daemon::~Daemon() = default;

void Daemon::makeRelay(std::uint32_t index)
{
    auto relay = std::make_unique<RelayLoop>("relay" + std::to_string(index));
    relay->spanIds = std::make_unique<SpanIdGenerator>(SteadyClock::now().count() * 1000 + index);
    const RelayContext context = {
        relay->loop,
        relay->metrics,
        this->traces,
        *relay->spanIds,
        this->self,
        this->settings.statusPeriod,
        [this](HostId entry, AttemptResult result) {
            if (entry == this->self) {
                this->deliverReply(std::move(result));
                return;
            }
            this->controlLoop.post([this, entry, result = std::move(result)] {
                this->agent->sendReply(entry, result);
            });
        },
        [this](const SearcherReport &report) {
            this->controlLoop.post([this, report] { this->agent->onLocalReport(report); });
        },
    };
    relay->service = std::make_unique<RelayService>(context, this->snapshot, index,
                                                    this->settings.relayThreads);
    RelayService *service = relay->service.get();
    relay->loop.onPause([service](Millis) { service->onPaused(); });
    this->relays.push_back(std::move(relay));
}

void Daemon::makeEntry(std::uint32_t index)
{
    auto entry = std::make_unique<EntryLoop>("entry" + std::to_string(index));
    const auto seed = static_cast<std::uint64_t>(SteadyClock::now().count() * 1000) + index
                      + stableHash(this->settings.name);
    EntryContext context = {
        entry->loop,
        entry->metrics,
        this->traces,
        this->snapshot,
        this->settings.name,
        this->settings.zone,
        this->settings.zoneOneWayDelay,
        index,
        seed,
        this->agent->incarnation().value,
        [this](HostId owner, const std::shared_ptr<SubRequests> &batch) {
            this->sendBatch(owner, batch);
        },
        [this](HostId owner, const Cancels &cancels) { this->sendCancels(owner, cancels); },
        [this](HostId to, const OnceMessage &message) { this->sendOnceMessage(to, message); },
        this->self,
    };
    entry->service = std::make_unique<EntryService>(std::move(context));
    EntryService *service = entry->service.get();
    HttpServerOptions options;
    options.limits.maxBodyBytes = this->settings.maxBodyBytes;
    entry->server = HttpServer::listen(
            entry->loop, Poco::Net::SocketAddress(this->settings.callersAddress), options,
            [service](const std::shared_ptr<HttpExchange> &exchange) {
                service->onRequest(exchange);
            });
    entry->server->setLimitReports("callers", entry->metrics);
    this->entries.push_back(std::move(entry));
}

AgentCallbacks Daemon::agentCallbacks()
{
    AgentCallbacks callbacks;
    callbacks.onSnapshotChanged = [this] {
        for (const auto &relay : this->relays)
            relay->loop.post([service = relay->service.get()] { service->onSnapshot(); });
        for (const auto &entry : this->entries)
            entry->loop.post([service = entry->service.get()] { service->onSnapshotChanged(); });
    };
    callbacks.onReports = [this](const std::vector<SearcherReport> &reports) {
        for (const auto &entry : this->entries)
            entry->loop.post(
                    [service = entry->service.get(), reports] { service->onReports(reports); });
    };
    callbacks.onRelayLost = [this](HostId lost) {
        for (const auto &entry : this->entries)
            entry->loop.post(
                    [service = entry->service.get(), lost] { service->onRelayLost(lost); });
    };
    callbacks.onSubRequests = [this](HostId from, const std::shared_ptr<SubRequests> &batch,
                                     Millis transit, bool stale) {
        std::vector<bool> isTarget(this->relays.size(), false);
        for (const SubRequestItem &item : batch->items)
            isTarget[RelayService::loopIndexFor(item.searcher, this->relays.size())] = true;
        for (std::size_t i = 0; i < isTarget.size(); ++i) {
            if (!isTarget[i])
                continue;
            this->relays[i]->loop.post(
                    [service = this->relays[i]->service.get(), from, batch, transit, stale] {
                        service->onSubRequests(from, batch, transit, stale);
                    });
        }
    };
    callbacks.onSubReplies = [this](SubReplies replies) {
        for (SubReply &reply : replies.replies)
            this->deliverReply(toAttemptResult(std::move(reply)));
    };
    callbacks.onOnceMessage = [this](HostId from, const OnceMessage &message, bool stale) {
        this->deliverOnceMessage(from, message, stale);
    };
    callbacks.onCancels = [this](HostId from, const Cancels &cancels) {
        for (const auto &relay : this->relays)
            relay->loop.post([service = relay->service.get(), from, cancels] {
                service->onCancels(from, cancels);
            });
    };
    return callbacks;
}

void Daemon::sendBatch(HostId owner, const std::shared_ptr<SubRequests> &batch)
{
    if (owner != this->self) {
        this->controlLoop.post(
                [this, owner, batch] { this->agent->sendSubRequests(owner, *batch); });
        return;
    }
    std::vector<bool> isTarget(this->relays.size(), false);
    for (const SubRequestItem &item : batch->items)
        isTarget[RelayService::loopIndexFor(item.searcher, this->relays.size())] = true;
    for (std::size_t i = 0; i < isTarget.size(); ++i) {
        if (!isTarget[i])
            continue;
        this->relays[i]->loop.post([service = this->relays[i]->service.get(), owner, batch] {
            service->onSubRequests(owner, batch, Millis(0), false);
        });
    }
}

void Daemon::sendCancels(HostId owner, const Cancels &cancels)
{
    if (owner != this->self) {
        this->controlLoop.post(
                [this, owner, cancels] { this->agent->sendCancels(owner, cancels); });
        return;
    }
    for (const auto &relay : this->relays)
        relay->loop.post([service = relay->service.get(), owner, cancels] {
            service->onCancels(owner, cancels);
        });
}

void Daemon::sendOnceMessage(HostId to, const OnceMessage &message)
{
    if (to == this->self)
        this->deliverOnceMessage(to, message, false);
    else
        this->controlLoop.post([this, to, message] { this->agent->sendOnceMessage(to, message); });
}

void Daemon::deliverOnceMessage(HostId from, const OnceMessage &message, bool stale)
{
    // The first entry loop keeps the registry of request ids; answers go to the loop that forwarded
    // the request.
    const bool isAnswer = message.kind == OnceMessageKind::Answer;
    const std::size_t index = isAnswer ? message.loopIndex : 0;
    if (index >= this->entries.size())
        return;
    EntryLoop &entry = *this->entries[index];
    entry.loop.post([service = entry.service.get(), from, message, stale] {
        service->onOnceMessage(from, message, stale);
    });
}

void Daemon::deliverReply(AttemptResult result)
{
    const std::uint64_t index = EntryService::loopOf(result.id.query);
    if (index >= this->entries.size())
        return;
    EntryLoop &entry = *this->entries[index];
    entry.loop.post([service = entry.service.get(), result = std::move(result)]() mutable {
        service->onResult(std::move(result));
    });
}

bool Daemon::run()
{
    for (const auto &relay : this->relays)
        relay->thread = std::thread([&loop = relay->loop] { loop.run(); });
    for (const auto &entry : this->entries)
        entry->thread = std::thread([&loop = entry->loop] { loop.run(); });
    logEvent(LogEvent::Started, "host=" + this->settings.name + " zone=" + this->settings.zone
                                        + " callers=" + this->settings.callersAddress);
    this->controlLoop.post([this] {
        this->agent->start();
        this->logDroppedSpans();
    });
    this->controlLoop.run();
    for (const auto &entry : this->entries)
        entry->loop.stop();
    for (const auto &relay : this->relays)
        relay->loop.stop();
    for (const auto &entry : this->entries)
        entry->thread.join();
    for (const auto &relay : this->relays)
        relay->thread.join();
    logEvent(LogEvent::Stopped, std::string("cut_off=") + (this->cutOff ? "true" : "false"));
    return !this->cutOff;
}

void Daemon::logDroppedSpans()
{
    this->controlLoop.schedule(SteadyClock::now() + droppedSpansCheckPeriod,
                               [this] { this->logDroppedSpans(); });
    const std::uint64_t dropped = this->traces.dropped();
    if (dropped > this->loggedDroppedSpans)
        logEvent(LogEvent::TraceDropped,
                 "count=" + std::to_string(dropped - this->loggedDroppedSpans));
    this->loggedDroppedSpans = dropped;
}

void Daemon::shutdown()
{
    this->controlLoop.post([this] { this->beginShutdown(); });
}

void Daemon::beginShutdown()
{
    if (this->shuttingDown)
        return;
    this->shuttingDown = true;
    logEvent(LogEvent::Stopping, "host=" + this->settings.name);
    this->agent->beginShutdown();
    const Millis now = SteadyClock::now();
    this->shutdownDeadline = now + this->settings.shutdownTimeout;
    this->controlLoop.schedule(now + loadBalancerGrace, [this] { this->stopAccepting(); });
}

void Daemon::stopAccepting()
{
    for (const auto &entry : this->entries)
        entry->loop.post([server = entry->server] { server->stopAccepting(); });
    this->waitForDrain();
}

void Daemon::countBusy(const std::function<void(std::size_t)> &done)
{
    struct Tally
    {
        std::size_t remaining = 0;
        std::size_t busy = 0;
    };
    const auto tally = std::make_shared<Tally>();
    tally->remaining = this->entries.size() + this->relays.size();
    const auto addCount = [this, tally, done](std::size_t busy) {
        this->controlLoop.post([tally, done, busy] {
            tally->busy += busy;
            if (--tally->remaining == 0)
                done(tally->busy);
        });
    };
    for (const auto &entry : this->entries)
        entry->loop.post([service = entry->service.get(), server = entry->server, addCount] {
            addCount(service->runningQueries() + server->connectionCount());
        });
    for (const auto &relay : this->relays)
        relay->loop.post(
                [service = relay->service.get(), addCount] { addCount(service->idle() ? 0 : 1); });
}

void Daemon::waitForDrain()
{
    this->countBusy([this](std::size_t busy) {
        const std::size_t pendingWork = busy + this->agent->unacknowledged();
        const bool deadlinePassed = SteadyClock::now() >= this->shutdownDeadline;
        if (pendingWork == 0 || deadlinePassed) {
            this->cutOff = busy != 0;
            this->controlLoop.stop();
            return;
        }
        this->controlLoop.schedule(SteadyClock::now() + drainCheckPeriod,
                                   [this] { this->waitForDrain(); });
    });
}

void Daemon::onAdminRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string &target = exchange->request().head.getURI();
    if (target == "/healthz") {
        exchange->respond(statusOk, {}, "ok\n", "text/plain");
        return;
    }
    if (target == "/readyz") {
        const AgentStatus status = this->agent->status();
        exchange->respond(status.ready ? statusOk : statusUnavailable, {},
                          status.ready ? "ready\n" : status.notReadyReason + "\n", "text/plain");
        return;
    }
    if (target == "/metrics") {
        this->answerMetrics(exchange);
        return;
    }
    if (target == "/status") {
        this->answerStatus(*exchange);
        return;
    }
    exchange->respond(statusNotFound, {}, "{\"error\":\"no such page\"}");
}

void Daemon::answerStatus(HttpExchange &exchange)
{
    const AgentStatus status = this->agent->status();
    Poco::JSON::Object json;
    json.set("host", this->settings.name);
    json.set("zone", this->settings.zone);
    json.set("revision", status.revision.value);
    json.set("ready", status.ready);
    json.set("reason", status.notReadyReason);
    Poco::JSON::Array::Ptr members = new Poco::JSON::Array;
    for (const MemberInfo &member : status.members) {
        Poco::JSON::Object::Ptr entry = new Poco::JSON::Object;
        entry->set("name", member.name);
        entry->set("zone", member.zone);
        entry->set("state", std::string(memberStateNames[static_cast<std::size_t>(member.state)]));
        entry->set("incarnation", member.incarnation.value);
        entry->set("revision", member.revision.value);
        members->add(entry);
    }
    json.set("hosts", members);
    Poco::JSON::Array::Ptr owned = new Poco::JSON::Array;
    const auto current = this->snapshot.read();
    if (current) {
        for (const auto &[id, location] : current->searchers) {
            if (location.owner == this->self)
                owned->add(location.searcher->address);
        }
    }
    json.set("owned_searchers", owned);
    std::ostringstream text;
    json.stringify(text);
    exchange.respond(statusOk, {}, text.str());
}

std::string Daemon::agentMetrics()
{
    const AgentStatus status = this->agent->status();
    std::ostringstream out;
    out << "quetzal_tables_revision " << status.revision.value << "\n";
    out << "quetzal_ready " << (status.ready ? 1 : 0) << "\n";
    out << "quetzal_store_calls_total " << status.storeCalls << "\n";
    out << "quetzal_corrupt_chunks_total " << status.corruptChunks << "\n";
    out << "quetzal_peer_datagrams_sent_total " << status.peers.datagramsSent << "\n";
    out << "quetzal_peer_bytes_sent_total " << status.peers.bytesSent << "\n";
    out << "quetzal_peer_malformed_total " << status.peers.malformed << "\n";
    out << "quetzal_peer_duplicates_total " << status.peers.duplicates << "\n";
    out << "quetzal_peer_wrong_incarnation_total " << status.peers.wrongIncarnation << "\n";
    out << "quetzal_peer_retransmissions_total " << status.peers.retransmissions << "\n";
    out << "quetzal_peer_streams_total " << status.peers.streamsOpened << "\n";
    out << "quetzal_trace_dropped_total " << this->traces.dropped() << "\n";
    return out.str() + this->controlMetrics.text();
}

void Daemon::answerMetrics(const std::shared_ptr<HttpExchange> &exchange)
{
    struct Collection
    {
        std::size_t remaining = 0;
        std::string text;
    };
    const auto collection = std::make_shared<Collection>();
    collection->remaining = this->entries.size() + this->relays.size();
    collection->text = this->agentMetrics();
    const auto append = [this, collection, exchange](const std::string &text) {
        this->controlLoop.post([collection, exchange, text] {
            collection->text += text;
            if (--collection->remaining == 0)
                exchange->respond(statusOk, {}, collection->text, "text/plain; version=0.0.4");
        });
    };
    for (const auto &entry : this->entries)
        entry->loop.post([metrics = &entry->metrics, append] { append(metrics->text()); });
    for (const auto &relay : this->relays)
        relay->loop.post([metrics = &relay->metrics, append] { append(metrics->text()); });
}

} // namespace quetzal
