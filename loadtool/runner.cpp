#include "loadtool/runner.h"

#include "quetzal/steadyclock.h"
#include "version/tablesyaml.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>

namespace quetzal {

// Time after the arrivals end during which responses are still awaited.
static constexpr Millis drainTime = Millis(4000);
static constexpr Millis progressPeriod = Millis(1000);
// Time for which a target gets no requests after a connection to it was lost.
static constexpr Millis targetBackoff = Millis(200);
static constexpr Millis resendDelay = Millis(50);
static constexpr int maxResends = 4;
// Arrivals beyond this number of pending requests are not sent.
static constexpr std::size_t maxPending = 20'000;

// A host that requests are sent to, with the state that a load balancer would keep for it.
struct Runner::Target
{
    std::string address;
    std::deque<std::shared_ptr<HttpClient>> idleConnections;
    // Gets no requests before this time, after a connection to it was lost.
    Millis backOffUntil = Millis(-1);
};

// A request that has no final answer yet.
struct Runner::PendingRequest
{
    CallerAnswer answer;
    const RequestKind *kind = nullptr;
    std::string path;
    Target *target = nullptr;
    std::shared_ptr<HttpClient> client;
    int resends = 0;
    // Whether it was sent on an idle connection.
    bool usesIdleConnection = false;
    // Service time of the slowest shard in ms; negative if unknown.
    double slowestServiceMs = -1;
};

Runner::Runner(const Experiment &experiment, const RunnerOptions &options)
    : experiment(experiment)
    , options(options)
    , random(experiment.seed)
{
    for (const std::string &address : experiment.targets) {
        this->targets.push_back(std::make_unique<Target>());
        this->targets.back()->address = address;
    }
    if (experiment.baselinePoolsFile.empty())
        return;
    std::ifstream file(experiment.baselinePoolsFile);
    std::stringstream text;
    text << file.rdbuf();
    // The baseline uses no routes, so an empty table stands in for them.
    const auto parsed
            = parseTables("routes", "routes: []", experiment.baselinePoolsFile, text.str());
    for (const Pool &pool : parsed.value.pools) {
        if (pool.name != experiment.baselinePool)
            continue;
        this->baselineSearchers = pool.searchers;
        this->baselineShards = pool.shards;
    }
}

Runner::~Runner() = default;

double Runner::rateAt(Millis sinceStart) const
{
    double rate = 0;
    for (const LoadStep &step : this->experiment.loadSteps) {
        if (step.at <= sinceStart)
            rate = step.rate;
    }
    return rate;
}

Runner::Target &Runner::pickTarget(const Target *except)
{
    const Millis now = SteadyClock::now();
    std::vector<Target *> available;
    for (const auto &target : this->targets) {
        if (target.get() != except && now >= target->backOffUntil)
            available.push_back(target.get());
    }
    if (available.empty())
        return *this->targets[this->random() % this->targets.size()];
    return *available[this->random() % available.size()];
}

void Runner::scheduleNextRequest()
{
    const double rate = this->rateAt(this->plannedAt - this->startedAt);
    // Step by which the planned time advances while the rate is zero.
    static constexpr double zeroRateStepMs = 50;
    const double uniform = static_cast<double>(this->random() % 1'000'000 + 1) / 1e6;
    const double gap = rate > 0 ? -std::log(uniform) * 1000 / rate : zeroRateStepMs;
    this->plannedAt += Millis(gap);
    const bool isLoad = rate > 0;
    const Millis sinceStart = this->plannedAt - this->startedAt;
    const bool hasBaseline = !this->baselineSearchers.empty();
    const Millis end = this->experiment.length * (hasBaseline ? 2 : 1);
    if (sinceStart >= end)
        return;
    // Open loop: the arrival time does not depend on earlier answers, and latency is measured from
    // it even if the request is sent late.
    this->loop.schedule(this->plannedAt, [this, isLoad, sinceStart] {
        const bool baseline = sinceStart >= this->experiment.length;
        if (isLoad && baseline)
            this->sendBaseline();
        else if (isLoad)
            this->sendNewRequest();
        this->scheduleNextRequest();
    });
}

void Runner::sendNewRequest()
{
    if (this->pendingCount >= maxPending)
        return;
    double total = 0;
    for (const RequestKind &kind : this->experiment.requests)
        total += kind.weight;
    double draw = static_cast<double>(this->random() % 1'000'000) / 1e6 * total;
    const RequestKind *kind = &this->experiment.requests.back();
    for (const RequestKind &candidate : this->experiment.requests) {
        if (draw < candidate.weight) {
            kind = &candidate;
            break;
        }
        draw -= candidate.weight;
    }
    const auto pending = std::make_shared<PendingRequest>();
    const std::string number = std::to_string(++this->requestsSent);
    pending->kind = kind;
    pending->path = kind->path;
    const std::size_t placeholder = pending->path.find("{n}");
    if (placeholder != std::string::npos)
        pending->path.replace(placeholder, 3, number);
    const std::size_t query = pending->path.find("q=");
    pending->answer.isSearch = query != std::string::npos;
    if (pending->answer.isSearch)
        pending->answer.query
                = pending->path.substr(query + 2, pending->path.find('&', query) - query - 2);
    pending->answer.requestId = "load-" + std::to_string(this->experiment.seed) + "-" + number;
    pending->answer.repeatable = kind->repeatable;
    pending->answer.sentAt = this->plannedAt;
    this->searchesSent += pending->answer.isSearch ? 1 : 0;
    this->pendingCount += 1;
    pending->target = &this->pickTarget(nullptr);
    this->send(pending);
}

void Runner::send(const std::shared_ptr<PendingRequest> &pending)
{
    const auto transmit = [pending] {
        std::vector<HttpField> fields = { { "X-Quetzal-Request-Id", pending->answer.requestId } };
        if (pending->answer.isSearch)
            fields.push_back({ "X-Quetzal-Explain", "1" });
        const bool hasBody = pending->kind->method != "GET";
        pending->client->send(pending->kind->method, pending->path, fields, hasBody ? "{}" : "");
    };
    Target &target = *pending->target;
    if (!target.idleConnections.empty()) {
        pending->client = target.idleConnections.front();
        target.idleConnections.pop_front();
        pending->usesIdleConnection = true;
    } else {
        pending->usesIdleConnection = false;
    }
    HttpClientCallbacks callbacks;
    callbacks.onConnected = transmit;
    callbacks.onResponse = [this, pending](const HttpResponse &response) {
        this->onResponse(pending, response);
    };
    callbacks.onClosed
            = [this, pending](bool bytesSent) { this->onConnectionLost(pending, bytesSent); };
    if (pending->usesIdleConnection) {
        pending->client->setCallbacks(callbacks);
        transmit();
        return;
    }
    pending->client = HttpClient::connect(this->loop, target.address, callbacks);
}

// Parses a response into the answer.
static void readAnswer(const HttpResponse &response, CallerAnswer &answer, double &slowestServiceMs)
{
    answer.answered = true;
    answer.status = static_cast<int>(response.head.getStatus());
    answer.verdict = response.head.get("X-Quetzal-Verdict", "");
    answer.replyRequestId = response.head.get("X-Quetzal-Request-Id", "");
    if (!answer.isSearch)
        return;
    try {
        Poco::JSON::Parser parser;
        const auto json = parser.parse(response.body).extract<Poco::JSON::Object::Ptr>();
        answer.replyRequestId = json->optValue<std::string>("request_id", "");
        if (!json->has("coverage"))
            return;
        answer.version = { json->getValue<Poco::UInt64>("version") };
        const auto coverage = json->getObject("coverage");
        answer.shardsAnswered = coverage->getValue<Poco::UInt32>("shards_answered");
        answer.shardsTotal = coverage->getValue<Poco::UInt32>("shards_total");
        answer.documentsAnswered = coverage->getValue<Poco::UInt64>("documents_answered");
        if (!coverage->isNull("documents_total"))
            answer.documentsTotal = coverage->getValue<Poco::Int64>("documents_total");
        const auto missing = coverage->getArray("missing");
        for (unsigned i = 0; i < missing->size(); ++i)
            answer.missingShards.push_back(missing->getObject(i)->getValue<Poco::UInt32>("shard"));
        const auto hits = json->getArray("hits");
        for (unsigned i = 0; i < hits->size(); ++i)
            answer.hits.push_back({ hits->getObject(i)->getValue<std::string>("id"),
                                    hits->getObject(i)->getValue<double>("score") });
        const auto explain = json->getArray("explain");
        for (unsigned i = 0; explain && i < explain->size(); ++i) {
            const auto attempt = explain->getObject(i);
            if (attempt->optValue<std::string>("verdict", "") == "ran")
                slowestServiceMs
                        = std::max(slowestServiceMs, attempt->getValue<double>("service_ms"));
        }
    } catch (const Poco::Exception &) {
        // A response whose body cannot be parsed does not count as an answer from a run.
        answer.verdict = "unreadable";
    }
}

// Keeps a connection open for later requests until the server closes it.
static void keepIdleConnection(std::deque<std::shared_ptr<HttpClient>> &idleConnections,
                               const std::shared_ptr<HttpClient> &client)
{
    idleConnections.push_back(client);
    HttpClientCallbacks callbacks;
    callbacks.onClosed = [&idleConnections, raw = client.get()](bool) {
        std::erase_if(idleConnections, [raw](const auto &entry) { return entry.get() == raw; });
    };
    client->setCallbacks(callbacks);
}

void Runner::onResponse(const std::shared_ptr<PendingRequest> &pending,
                        const HttpResponse &response)
{
    pending->answer.latency = SteadyClock::now() - pending->answer.sentAt;
    readAnswer(response, pending->answer, pending->slowestServiceMs);
    if (response.head.getKeepAlive())
        keepIdleConnection(pending->target->idleConnections, pending->client);
    else
        pending->client->setCallbacks({});
    const bool isUnconfirmed = pending->kind->resend && pending->answer.verdict != "ran";
    if (isUnconfirmed && pending->resends < maxResends) {
        this->resend(pending);
        return;
    }
    this->finish(pending);
}

void Runner::resend(const std::shared_ptr<PendingRequest> &pending)
{
    pending->resends += 1;
    // The connection was returned to the idle list, released or lost.
    pending->client.reset();
    this->loop.schedule(SteadyClock::now() + resendDelay, [this, pending] {
        pending->target = &this->pickTarget(pending->target);
        this->send(pending);
    });
}

void Runner::onConnectionLost(const std::shared_ptr<PendingRequest> &pending, bool bytesSent)
{
    pending->target->backOffUntil = SteadyClock::now() + targetBackoff;
    pending->target->idleConnections.clear();
    // Another host may be tried if no bytes were sent, as on an idle connection that the server had
    // closed, or if the request may be sent again.
    const bool canResend = !bytesSent || pending->kind->repeatable || pending->kind->resend;
    if (canResend && pending->resends < maxResends) {
        this->resend(pending);
        return;
    }
    pending->answer.latency = SteadyClock::now() - pending->answer.sentAt;
    this->finish(pending);
}

void Runner::finish(const std::shared_ptr<PendingRequest> &pending)
{
    this->pendingCount -= 1;
    pending->answer.slowestServiceMs = pending->slowestServiceMs;
    this->answers.push_back(std::move(pending->answer));
    pending->client.reset();
}

namespace {

// A baseline query that still waits for replies.
struct BaselineQuery
{
    Millis sentAt;
    // Number of shards without a reply.
    std::uint32_t pendingShards = 0;
    // Service time of the slowest shard so far, in ms.
    double slowestServiceMs = 0;
    bool failed = false;
};

} // namespace

void Runner::sendBaseline()
{
    const auto query = std::make_shared<BaselineQuery>();
    query->sentAt = this->plannedAt;
    query->pendingShards = this->baselineShards;
    const std::string number = std::to_string(++this->baselineSent);
    const std::string zone
            = this->baselineSearchers[this->random() % this->baselineSearchers.size()].zone;
    for (std::uint32_t shard = 0; shard < this->baselineShards; ++shard) {
        std::vector<const Searcher *> replicas;
        for (const Searcher &searcher : this->baselineSearchers) {
            if (searcher.shard == shard)
                replicas.push_back(&searcher);
        }
        const Searcher &chosen = *replicas[this->random() % replicas.size()];
        const Millis oneWayDelay
                = chosen.zone == zone ? Millis(0) : this->experiment.baselineZoneDelay;
        const auto client = std::make_shared<std::shared_ptr<HttpClient>>();
        auto &idleConnections = this->baselineIdleConnections[chosen.address];
        // The searchers' stand-in ignores the path and starts with version 1.
        const auto transmit = [client, shard, number] {
            (*client)->send("GET", "/shopfront/search?q=" + number,
                            { { "X-Quetzal-Request-Id", "baseline-" + number },
                              { "X-Quetzal-Attempt", "baseline-" + number },
                              { "X-Quetzal-Version", "1" },
                              { "X-Quetzal-Shard", std::to_string(shard) } },
                            "");
        };
        const auto finishShard = [this, query](Millis returnDelay) {
            this->loop.schedule(SteadyClock::now() + returnDelay, [this, query] {
                query->pendingShards -= 1;
                if (query->pendingShards > 0 || query->failed)
                    return;
                const double total = (SteadyClock::now() - query->sentAt).count();
                this->baselineLatencies.push_back(total - query->slowestServiceMs);
            });
        };
        HttpClientCallbacks callbacks;
        callbacks.onConnected = transmit;
        callbacks.onResponse = [query, client, finishShard, oneWayDelay,
                                &idleConnections](const HttpResponse &response) {
            double service = 0;
            Poco::NumberParser::tryParseFloat(response.head.get("X-Service-Ms", "0"), service);
            query->slowestServiceMs = std::max(query->slowestServiceMs, service);
            query->failed = query->failed || response.head.getStatus() != 200;
            keepIdleConnection(idleConnections, *client);
            finishShard(oneWayDelay);
        };
        callbacks.onClosed = [query, finishShard](bool) {
            query->failed = true;
            finishShard(Millis(0));
        };
        this->loop.schedule(
                SteadyClock::now() + oneWayDelay,
                [this, client, callbacks, transmit, &idleConnections, address = chosen.address] {
                    if (idleConnections.empty()) {
                        *client = HttpClient::connect(this->loop, address, callbacks);
                        return;
                    }
                    *client = idleConnections.front();
                    idleConnections.pop_front();
                    (*client)->setCallbacks(callbacks);
                    transmit();
                });
    }
}

std::string Runner::fetch(const std::string &address, const std::string &target) const
{
    using namespace Poco::Net;
    HTTPClientSession session{ SocketAddress(address) };
    static constexpr int timeoutSeconds = 30;
    session.setTimeout(Poco::Timespan(timeoutSeconds, 0));
    HTTPRequest request(HTTPRequest::HTTP_GET, target, HTTPMessage::HTTP_1_1);
    session.sendRequest(request);
    HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
    return body;
}

void Runner::applyTimelineEntry(const TimelineEntry &entry)
{
    if (!entry.pidFile.empty()) {
        std::ifstream file(entry.pidFile);
        pid_t pid = 0;
        // Signals only the process that the experiment's file names; with an id below 2, kill()
        // would reach a process group or init.
        if (file >> pid && pid > 1)
            kill(pid, entry.signal);
        return;
    }
    const std::size_t slash = entry.post.find('/');
    const std::string address = entry.post.substr(0, slash);
    const std::string target = entry.post.substr(slash);
    const auto client = std::make_shared<std::shared_ptr<HttpClient>>();
    HttpClientCallbacks callbacks;
    callbacks.onConnected = [client, target] { (*client)->send("POST", target, {}, ""); };
    callbacks.onResponse = [this, client](const HttpResponse &) {
        this->loop.post([client] { (*client)->close(); });
    };
    *client = HttpClient::connect(this->loop, address, callbacks);
}

void Runner::showProgress()
{
    if (!this->options.showsProgress)
        return;
    const double seconds = (SteadyClock::now() - this->startedAt).count() / 1000;
    std::cerr << "\r" << static_cast<int>(seconds) << " s, " << this->answers.size()
              << " answered, " << this->pendingCount << " pending   " << std::flush;
    this->loop.schedule(SteadyClock::now() + progressPeriod, [this] { this->showProgress(); });
}

bool Runner::run()
{
    this->startedAt = SteadyClock::now();
    this->plannedAt = this->startedAt;
    this->scheduleNextRequest();
    this->showProgress();
    for (const TimelineEntry &entry : this->experiment.timeline)
        this->loop.schedule(this->startedAt + entry.at,
                            [this, entry] { this->applyTimelineEntry(entry); });
    const bool hasBaseline = !this->baselineSearchers.empty();
    const Millis end = this->experiment.length * (hasBaseline ? 2 : 1) + drainTime;
    this->loop.schedule(this->startedAt + end, [this] { this->loop.stop(); });
    this->loop.run();
    if (this->options.showsProgress)
        std::cerr << "\n";
    this->writeFiles();
    return this->printReport();
}

} // namespace quetzal
