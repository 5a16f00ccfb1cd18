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

static constexpr Millis drainTime = Millis(4000);
static constexpr Millis progressPeriod = Millis(1000);
static constexpr Millis targetCheckPeriod = Millis(200);
static constexpr Millis resendPause = Millis(50);
static constexpr int mostResends = 4;
static constexpr std::size_t mostOpen = 20'000;

// One entry host as the balancer sees it.
struct Runner::Target
{
    std::string address;
    std::deque<std::shared_ptr<HttpClient>> idle;
    // A host that closes its door is left alone until it answers again.
    Millis avoidUntil = Millis(-1);
};

// A request on its way.
struct Runner::Open
{
    CallerAnswer answer;
    const RequestKind *kind = nullptr;
    std::string path;
    Target *target = nullptr;
    std::shared_ptr<HttpClient> client;
    int resends = 0;
    bool reused = false;
    double slowestService = -1;
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
    if (experiment.baselinePools.empty())
        return;
    std::ifstream file(experiment.baselinePools);
    std::stringstream text;
    text << file.rdbuf();
    const auto parsed = parseTables("routes", "routes: []", experiment.baselinePools, text.str());
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
    for (const LoadStep &step : this->experiment.load) {
        if (step.at <= sinceStart)
            rate = step.rate;
    }
    return rate;
}

Runner::Target &Runner::pickTarget(const Target *except)
{
    const Millis now = SteadyClock::now();
    std::vector<Target *> fit;
    for (const auto &target : this->targets) {
        if (target.get() != except && now >= target->avoidUntil)
            fit.push_back(target.get());
    }
    if (fit.empty())
        return *this->targets[this->random() % this->targets.size()];
    return *fit[this->random() % fit.size()];
}

void Runner::scheduleNext()
{
    const double rate = this->rateAt(this->plannedAt - this->startedAt);
    static constexpr double idleGapMs = 50;
    const double uniform = static_cast<double>(this->random() % 1'000'000 + 1) / 1e6;
    const double gap = rate > 0 ? -std::log(uniform) * 1000 / rate : idleGapMs;
    this->plannedAt += Millis(gap);
    const bool isLoad = rate > 0;
    const Millis sinceStart = this->plannedAt - this->startedAt;
    const bool hasBaseline = !this->baselineSearchers.empty();
    const Millis end = this->experiment.length * (hasBaseline ? 2 : 1);
    if (sinceStart >= end)
        return;
    // The time is planned without regard to earlier answers; a late send counts from the plan.
    this->loop.schedule(this->plannedAt, [this, isLoad, sinceStart] {
        const bool baseline = sinceStart >= this->experiment.length;
        if (isLoad && baseline)
            this->sendBaseline();
        else if (isLoad)
            this->sendNew();
        this->scheduleNext();
    });
}

void Runner::sendNew()
{
    if (this->openCount >= mostOpen)
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
    const auto open = std::make_shared<Open>();
    const std::string number = std::to_string(++this->sent);
    open->kind = kind;
    open->path = kind->path;
    const std::size_t mark = open->path.find("{n}");
    if (mark != std::string::npos)
        open->path.replace(mark, 3, number);
    const std::size_t query = open->path.find("q=");
    open->answer.search = query != std::string::npos;
    if (open->answer.search)
        open->answer.query = open->path.substr(query + 2, open->path.find('&', query) - query - 2);
    open->answer.requestId = "load-" + std::to_string(this->experiment.seed) + "-" + number;
    open->answer.repeatable = kind->repeatable;
    open->answer.sentAt = this->plannedAt;
    this->searchesSent += open->answer.search ? 1 : 0;
    this->openCount += 1;
    open->target = &this->pickTarget(nullptr);
    this->send(open);
}

void Runner::send(const std::shared_ptr<Open> &open)
{
    const auto transmit = [open] {
        std::vector<HttpField> fields = { { "X-Quetzal-Request-Id", open->answer.requestId } };
        if (open->answer.search)
            fields.push_back({ "X-Quetzal-Explain", "1" });
        const bool hasBody = open->kind->method != "GET";
        open->client->send(open->kind->method, open->path, fields, hasBody ? "{}" : "");
    };
    Target &target = *open->target;
    if (!target.idle.empty()) {
        open->client = target.idle.front();
        target.idle.pop_front();
        open->reused = true;
    } else {
        open->reused = false;
    }
    HttpClientCallbacks callbacks;
    callbacks.onConnected = transmit;
    callbacks.onResponse
            = [this, open](const HttpResponse &response) { this->onResponse(open, response); };
    callbacks.onClosed = [this, open](bool bytesSent) { this->onLost(open, bytesSent); };
    if (open->reused) {
        open->client->setCallbacks(callbacks);
        transmit();
        return;
    }
    open->client = HttpClient::connect(this->loop, target.address, callbacks);
}

static void readAnswer(const HttpResponse &response, CallerAnswer &answer, double &slowestService)
{
    answer.answered = true;
    answer.status = static_cast<int>(response.head.getStatus());
    answer.verdict = response.head.get("X-Quetzal-Verdict", "");
    answer.bodyRequestId = response.head.get("X-Quetzal-Request-Id", "");
    if (!answer.search)
        return;
    try {
        Poco::JSON::Parser parser;
        const auto json = parser.parse(response.body).extract<Poco::JSON::Object::Ptr>();
        answer.bodyRequestId = json->optValue<std::string>("request_id", "");
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
            answer.missing.push_back(missing->getObject(i)->getValue<Poco::UInt32>("shard"));
        const auto hits = json->getArray("hits");
        for (unsigned i = 0; i < hits->size(); ++i)
            answer.hits.push_back({ hits->getObject(i)->getValue<std::string>("id"),
                                    hits->getObject(i)->getValue<double>("score") });
        const auto explain = json->getArray("explain");
        for (unsigned i = 0; explain && i < explain->size(); ++i) {
            const auto attempt = explain->getObject(i);
            if (attempt->optValue<std::string>("verdict", "") == "ran")
                slowestService = std::max(slowestService, attempt->getValue<double>("service_ms"));
        }
    } catch (const Poco::Exception &) {
        // An answer that cannot be read is not a true answer.
        answer.verdict = "unreadable";
    }
}

// Keeps a connection for a later request, until its server closes it.
static void keepIdle(std::deque<std::shared_ptr<HttpClient>> &idle,
                     const std::shared_ptr<HttpClient> &client)
{
    idle.push_back(client);
    HttpClientCallbacks callbacks;
    callbacks.onClosed = [&idle, raw = client.get()](bool) {
        std::erase_if(idle, [raw](const auto &entry) { return entry.get() == raw; });
    };
    client->setCallbacks(callbacks);
}

void Runner::onResponse(const std::shared_ptr<Open> &open, const HttpResponse &response)
{
    open->answer.latency = SteadyClock::now() - open->answer.sentAt;
    readAnswer(response, open->answer, open->slowestService);
    if (response.head.getKeepAlive())
        keepIdle(open->target->idle, open->client);
    else
        open->client->setCallbacks({});
    const bool unclear = open->kind->resend && open->answer.verdict != "ran";
    if (unclear && open->resends < mostResends) {
        this->resend(open);
        return;
    }
    this->finish(open);
}

void Runner::resend(const std::shared_ptr<Open> &open)
{
    open->resends += 1;
    // The client belongs to this request no longer.
    open->client.reset();
    this->loop.schedule(SteadyClock::now() + resendPause, [this, open] {
        open->target = &this->pickTarget(open->target);
        this->send(open);
    });
}

void Runner::onLost(const std::shared_ptr<Open> &open, bool bytesSent)
{
    open->target->avoidUntil = SteadyClock::now() + targetCheckPeriod;
    open->target->idle.clear();
    // Nothing was sent, or an idle connection had been closed by then: another host may be asked.
    const bool safe = !bytesSent || open->kind->repeatable || open->kind->resend;
    if (safe && open->resends < mostResends) {
        this->resend(open);
        return;
    }
    open->answer.latency = SteadyClock::now() - open->answer.sentAt;
    this->finish(open);
}

void Runner::finish(const std::shared_ptr<Open> &open)
{
    this->openCount -= 1;
    open->answer.serviceMs = open->slowestService;
    this->answers.push_back(std::move(open->answer));
    open->client.reset();
}

namespace {

// A baseline query on its way.
struct BaselineQuery
{
    Millis sentAt;
    std::uint32_t waiting = 0;
    double slowestService = 0;
    bool failed = false;
};

} // namespace

void Runner::sendBaseline()
{
    const auto query = std::make_shared<BaselineQuery>();
    query->sentAt = this->plannedAt;
    query->waiting = this->baselineShards;
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
        const Millis way = chosen.zone == zone ? Millis(0) : this->experiment.baselineZoneDelay;
        const auto client = std::make_shared<std::shared_ptr<HttpClient>>();
        auto &idle = this->baselineIdle[chosen.address];
        const auto transmit = [client, shard, number] {
            (*client)->send("GET", "/shopfront/search?q=" + number,
                            { { "X-Quetzal-Request-Id", "baseline-" + number },
                              { "X-Quetzal-Attempt", "baseline-" + number },
                              { "X-Quetzal-Version", "1" },
                              { "X-Quetzal-Shard", std::to_string(shard) } },
                            "");
        };
        const auto done = [this, query](Millis back) {
            this->loop.schedule(SteadyClock::now() + back, [this, query] {
                query->waiting -= 1;
                if (query->waiting > 0 || query->failed)
                    return;
                const double total = (SteadyClock::now() - query->sentAt).count();
                this->baselineLatencies.push_back(total - query->slowestService);
            });
        };
        HttpClientCallbacks callbacks;
        callbacks.onConnected = transmit;
        callbacks.onResponse = [query, client, done, way, &idle](const HttpResponse &response) {
            double service = 0;
            Poco::NumberParser::tryParseFloat(response.head.get("X-Service-Ms", "0"), service);
            query->slowestService = std::max(query->slowestService, service);
            query->failed = query->failed || response.head.getStatus() != 200;
            keepIdle(idle, *client);
            done(way);
        };
        callbacks.onClosed = [query, done](bool) {
            query->failed = true;
            done(Millis(0));
        };
        this->loop.schedule(SteadyClock::now() + way,
                            [this, client, callbacks, transmit, &idle, address = chosen.address] {
                                if (idle.empty()) {
                                    *client = HttpClient::connect(this->loop, address, callbacks);
                                    return;
                                }
                                *client = idle.front();
                                idle.pop_front();
                                (*client)->setCallbacks(callbacks);
                                transmit();
                            });
    }
}

std::string Runner::fetch(const std::string &address, const std::string &target) const
{
    using namespace Poco::Net;
    HTTPClientSession session{ SocketAddress(address) };
    static constexpr int patienceSeconds = 30;
    session.setTimeout(Poco::Timespan(patienceSeconds, 0));
    HTTPRequest request(HTTPRequest::HTTP_GET, target, HTTPMessage::HTTP_1_1);
    session.sendRequest(request);
    HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
    return body;
}

void Runner::act(const TimelineEntry &entry)
{
    if (!entry.pidFile.empty()) {
        std::ifstream file(entry.pidFile);
        pid_t pid = 0;
        // Only a process named by a trial's own file is signalled.
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
    if (!this->options.progress)
        return;
    const double seconds = (SteadyClock::now() - this->startedAt).count() / 1000;
    std::cerr << "\r" << static_cast<int>(seconds) << " s, " << this->answers.size()
              << " answered, " << this->openCount << " open   " << std::flush;
    this->loop.schedule(SteadyClock::now() + progressPeriod, [this] { this->showProgress(); });
}

bool Runner::run()
{
    this->startedAt = SteadyClock::now();
    this->plannedAt = this->startedAt;
    this->scheduleNext();
    this->showProgress();
    for (const TimelineEntry &entry : this->experiment.timeline)
        this->loop.schedule(this->startedAt + entry.at, [this, entry] { this->act(entry); });
    const bool hasBaseline = !this->baselineSearchers.empty();
    const Millis end = this->experiment.length * (hasBaseline ? 2 : 1) + drainTime;
    this->loop.schedule(this->startedAt + end, [this] { this->loop.stop(); });
    this->loop.run();
    if (this->options.progress)
        std::cerr << "\n";
    this->writeFiles();
    return this->report();
}

} // namespace quetzal
