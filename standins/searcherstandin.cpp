#include "standins/searcherstandin.h"

#include "quetzal/steadyclock.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

namespace quetzal {

static constexpr int statusOk = 200;
static constexpr int statusRefused = 503;
// Runs that start later than this after the searcher began to drain violate guarantee P6.
static constexpr Millis drainAllowance = Millis(5000);

SearcherStandin::SearcherStandin(EventLoop &loop, const Searcher &config,
                                 const SyntheticIndex &index, const SearcherBehaviour &behaviour,
                                 std::uint64_t seed)
    : loop(loop)
    , searcherConfig(config)
    , index(index)
    , behaviour(behaviour)
    , random(seed)
{}

void SearcherStandin::start()
{
    if (this->server)
        return;
    this->startedAt = SteadyClock::now();
    HttpServerOptions options;
    options.limits.maxBodyBytes = 67'108'864;
    // High enough that only the accept filter limits connections; it counts those that it refuses.
    options.maxConnections = 1'000'000;
    options.acceptDelay = this->searcherConfig.connectCost;
    this->server = HttpServer::listen(
            this->loop, Poco::Net::SocketAddress(this->searcherConfig.address), options,
            [this](const std::shared_ptr<HttpExchange> &exchange) { this->onRequest(exchange); });
    this->server->setAcceptFilter([this] {
        const std::uint64_t open = this->server->connectionCount() + 1;
        this->counters.peakConnections = std::max(this->counters.peakConnections, open);
        const bool full = open > this->searcherConfig.connectionCap;
        this->counters.refusedConnections += full ? 1 : 0;
        return !full;
    });
}

void SearcherStandin::stop()
{
    if (!this->server)
        return;
    const auto stoppedServer = std::move(this->server);
    this->server.reset();
    stoppedServer->closeAll();
    for (const auto &[exchange, run] : this->running)
        this->loop.cancel(run.timer);
    this->running.clear();
    this->queue.clear();
}

void SearcherStandin::silenceConnections()
{
    if (this->server)
        this->server->silenceOpenConnections();
}

void SearcherStandin::setBehaviour(const SearcherBehaviour &next)
{
    if (next.draining && !this->behaviour.draining)
        this->drainingSince = SteadyClock::now();
    this->behaviour = next;
}

Millis SearcherStandin::serviceTime()
{
    std::normal_distribution<double> normal(0, this->behaviour.serviceTimeSigma);
    std::uniform_real_distribution<double> uniform(0, 1);
    Millis time = this->behaviour.medianServiceTime * std::exp(normal(this->random));
    if (uniform(this->random) < this->behaviour.stragglerFraction)
        time = time * this->behaviour.stragglerFactor;
    if (SteadyClock::now() - this->startedAt < this->behaviour.coldPeriod)
        time = time * this->behaviour.coldFactor;
    return time * this->behaviour.slowness;
}

void SearcherStandin::onRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    const Millis now = SteadyClock::now();
    if (exchange->request().head.getURI() == "/status") {
        this->answerStatus(*exchange);
        return;
    }
    this->serve(exchange, now);
}

std::string SearcherStandin::statusText() const
{
    Poco::JSON::Array::Ptr list = new Poco::JSON::Array;
    for (const Holding &holding : this->holdings) {
        Poco::JSON::Object::Ptr entry = new Poco::JSON::Object;
        entry->set("version", holding.version.value);
        entry->set("partitions", holding.partitions);
        entry->set("shard", holding.shard);
        entry->set("documents", holding.documents);
        list->add(entry);
    }
    Poco::JSON::Object json;
    json.set("draining", this->behaviour.draining);
    json.set("load", this->running.size());
    json.set("holdings", list);
    std::ostringstream text;
    json.stringify(text);
    return text.str();
}

void SearcherStandin::answerStatus(HttpExchange &exchange)
{
    exchange.respond(statusOk, {}, this->statusText());
}

void SearcherStandin::refuse(HttpExchange &exchange, const std::string &reason)
{
    exchange.respond(
            statusRefused,
            { { "X-Quetzal-Attempt", exchange.request().head.get("X-Quetzal-Attempt", "") },
              { "X-Quetzal-Verdict", "not-run" },
              { "X-Quetzal-Reason", reason } },
            this->statusText());
}

const Holding *SearcherStandin::findHolding(const HttpExchange &exchange) const
{
    const auto &head = exchange.request().head;
    const std::string version = head.get("X-Quetzal-Version", "");
    const std::string shard = head.get("X-Quetzal-Shard", "");
    for (const Holding &holding : this->holdings) {
        if (std::to_string(holding.version.value) == version
            && std::to_string(holding.shard) == shard)
            return &holding;
    }
    return nullptr;
}

void SearcherStandin::serve(const std::shared_ptr<HttpExchange> &exchange, Millis arrivedAt)
{
    const auto &head = exchange->request().head;
    // The queue length is limited to the connection cap.
    if (this->behaviour.shedAll || this->queue.size() >= this->searcherConfig.connectionCap) {
        this->counters.shed += 1;
        this->refuse(*exchange, "shed");
        return;
    }
    const bool isSearch = head.has("X-Quetzal-Version");
    const Holding *holding = isSearch ? this->findHolding(*exchange) : nullptr;
    if (isSearch && holding == nullptr) {
        this->refuse(*exchange, "version-missing");
        return;
    }
    double deadline = 0;
    const bool hasDeadline
            = Poco::NumberParser::tryParseFloat(head.get("X-Quetzal-Deadline-Ms", ""), deadline);
    QueuedRequest job = { exchange, holding != nullptr ? *holding : Holding(),
                          hasDeadline ? arrivedAt + Millis(deadline) : Millis::never() };
    if (this->running.size() < this->searcherConfig.slots) {
        this->run(job);
        return;
    }
    this->counters.queuedRequests += 1;
    this->queue.push_back(job);
    exchange->setDisconnectHandler([this, raw = exchange.get()] {
        std::erase_if(this->queue,
                      [raw](const QueuedRequest &entry) { return entry.exchange.get() == raw; });
    });
}

void SearcherStandin::startNextQueued()
{
    if (this->queue.empty() || this->running.size() >= this->searcherConfig.slots)
        return;
    const QueuedRequest job = this->queue.front();
    this->queue.pop_front();
    this->run(job);
}

void SearcherStandin::run(const QueuedRequest &job)
{
    const std::shared_ptr<HttpExchange> exchange = job.exchange;
    const Holding holding = job.holding;
    const auto &head = exchange->request().head;
    const Millis now = SteadyClock::now();
    LedgerEntry entry;
    entry.requestId = head.get("X-Quetzal-Request-Id", "");
    entry.attempt = head.get("X-Quetzal-Attempt", "");
    entry.searcher = this->searcherConfig.address;
    entry.startedAt = now;
    entry.expired = now > job.deadline;
    entry.afterDrain = this->behaviour.draining && now - this->drainingSince > drainAllowance;
    entry.version = holding.version;
    entry.shard = holding.shard;
    this->ledgerEntries.push_back(entry);
    RunningRequest runningRequest;
    runningRequest.ledgerIndex = this->ledgerEntries.size() - 1;
    HttpExchange *key = exchange.get();
    runningRequest.timer
            = this->loop.schedule(now + this->serviceTime(),
                                  [this, exchange, holding] { this->finish(exchange, holding); });
    this->running[key] = runningRequest;
    this->counters.peakRunning
            = std::max<std::uint64_t>(this->counters.peakRunning, this->running.size());
    // Closing the connection cancels the request.
    exchange->setDisconnectHandler([this, key] {
        const auto found = this->running.find(key);
        if (found == this->running.end())
            return;
        LedgerEntry &cancelled = this->ledgerEntries[found->second.ledgerIndex];
        cancelled.cancelled = true;
        cancelled.endedAt = SteadyClock::now();
        this->loop.cancel(found->second.timer);
        this->running.erase(found);
        this->startNextQueued();
    });
}

void SearcherStandin::finish(const std::shared_ptr<HttpExchange> &exchange, const Holding &holding)
{
    const auto found = this->running.find(exchange.get());
    if (found == this->running.end())
        return;
    LedgerEntry &ended = this->ledgerEntries[found->second.ledgerIndex];
    ended.endedAt = SteadyClock::now();
    const Millis elapsed = ended.endedAt - ended.startedAt;
    this->running.erase(found);
    this->loop.post([this] { this->startNextQueued(); });
    const auto &head = exchange->request().head;
    std::vector<HttpField> fields = { { "X-Quetzal-Attempt", head.get("X-Quetzal-Attempt", "") },
                                      { "X-Quetzal-Verdict", "ran" },
                                      { "X-Service-Ms", std::to_string(elapsed.count()) } };
    if (this->behaviour.draining)
        fields.push_back({ "X-Quetzal-Draining", "1" });
    if (holding.partitions == 0) {
        exchange->respond(statusOk, fields,
                          "{\"done\":\"" + head.get("X-Quetzal-Request-Id", "") + "\"}");
        return;
    }
    unsigned limit = 10;
    Poco::NumberParser::tryParseUnsigned(head.get("X-Quetzal-Limit", ""), limit);
    std::string query;
    for (const auto &[name, value] : Poco::URI(head.getURI()).getQueryParameters()) {
        if (name == "q")
            query = value;
    }
    Poco::JSON::Array::Ptr hits = new Poco::JSON::Array;
    for (const Hit &hit :
         this->index.search(query, holding.version, holding.partitions, holding.shard, limit)) {
        Poco::JSON::Object::Ptr entry = new Poco::JSON::Object;
        entry->set("id", hit.id);
        entry->set("score", hit.score);
        hits->add(entry);
    }
    Poco::JSON::Object json;
    json.set("version", holding.version.value);
    json.set("partitions", holding.partitions);
    json.set("shard", holding.shard);
    json.set("documents", holding.documents);
    json.set("hits", hits);
    std::ostringstream text;
    json.stringify(text);
    exchange->respond(statusOk, fields, text.str());
}

} // namespace quetzal
