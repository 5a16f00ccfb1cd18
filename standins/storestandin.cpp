#include "standins/storestandin.h"

#include "quetzal/steadyclock.h"

#include <algorithm>

namespace quetzal {

static constexpr int statusOk = 200;
static constexpr int statusNotFound = 404;
static constexpr int statusPreconditionFailed = 412;
static constexpr int statusUnavailable = 503;
static constexpr std::string_view keyPath = "/kv/";
static constexpr std::size_t maxValueBytes = 1'048'576;

StoreStandin::StoreStandin(EventLoop &loop, const std::string &address, std::uint64_t seed)
    : loop(loop)
    , random(seed)
{
    HttpServerOptions options;
    options.limits.maxBodyBytes = maxValueBytes;
    this->server = HttpServer::listen(
            loop, Poco::Net::SocketAddress(address), options,
            [this](const std::shared_ptr<HttpExchange> &exchange) { this->onRequest(exchange); });
}

bool StoreStandin::losesReply()
{
    static constexpr double steps = 1'000'000;
    return static_cast<double>(this->random() % static_cast<std::uint64_t>(steps))
           < this->replyLossFraction * steps;
}

void StoreStandin::setFault(const RequestTarget &query)
{
    this->outage = query.text("outage", this->outage);
    this->delay = Millis(query.number("delay_ms", this->delay.count()));
    this->replyLossFraction = query.number("lose", this->replyLossFraction);
    this->suppressesWatches = query.number("deaf_watches", this->suppressesWatches ? 1 : 0) != 0;
}

void StoreStandin::onRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    const RequestTarget query(exchange->request().head.getURI());
    if (query.path() == "/fault") {
        this->setFault(query);
        exchange->respond(statusOk, {}, "{}");
        return;
    }
    if (query.path() == "/calls") {
        exchange->respond(statusOk, {}, std::to_string(this->callCount), "text/plain");
        return;
    }
    this->callCount += 1;
    if (this->outage == "hang")
        return;
    if (this->outage == "refuse") {
        exchange->respond(statusUnavailable, {}, "{}");
        return;
    }
    if (this->delay > Millis(0)) {
        this->loop.schedule(SteadyClock::now() + this->delay,
                            [this, exchange] { this->serve(exchange); });
        return;
    }
    this->serve(exchange);
}

void StoreStandin::serve(const std::shared_ptr<HttpExchange> &exchange)
{
    const RequestTarget query(exchange->request().head.getURI());
    const std::string &method = exchange->request().head.getMethod();
    if (query.path() == "/list") {
        std::string keys;
        for (const auto &[key, entry] : this->entries) {
            if (key.starts_with(query.text("prefix")))
                keys += key + "\n";
        }
        exchange->respond(statusOk, {}, keys, "text/plain");
        return;
    }
    if (!query.path().starts_with(keyPath)) {
        exchange->respond(statusNotFound, {}, "{}");
        return;
    }
    if (method == "PUT")
        this->write(*exchange, query);
    else if (method == "DELETE")
        this->remove(*exchange, query.path().substr(keyPath.size()));
    else
        this->read(exchange, query);
}

void StoreStandin::respondWithEntry(HttpExchange &exchange, const std::string &key)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end()) {
        exchange.respond(statusNotFound, { { "X-Store-Version", "0" } }, "");
        return;
    }
    exchange.respond(statusOk, { { "X-Store-Version", std::to_string(found->second.version) } },
                     found->second.value, "application/octet-stream");
}

void StoreStandin::read(const std::shared_ptr<HttpExchange> &exchange, const RequestTarget &query)
{
    const std::string key = query.path().substr(keyPath.size());
    const auto found = this->entries.find(key);
    const std::uint64_t version = found == this->entries.end() ? 0 : found->second.version;
    const auto knownVersion = static_cast<std::uint64_t>(query.number("wait", -1));
    if (!query.has("wait") || knownVersion != version) {
        this->respondWithEntry(*exchange, key);
        return;
    }
    this->watches.push_back({ key, version, exchange });
    const Millis timeout(query.number("timeout_ms", 10'000));
    this->loop.schedule(SteadyClock::now() + timeout, [this, exchange, key] {
        const auto watch = std::find_if(this->watches.begin(), this->watches.end(),
                                        [&](const Watch &w) { return w.exchange == exchange; });
        if (watch == this->watches.end())
            return;
        this->watches.erase(watch);
        this->respondWithEntry(*exchange, key);
    });
}

void StoreStandin::notifyWatches(const std::string &key)
{
    if (this->suppressesWatches)
        return;
    std::vector<Watch> completed;
    std::erase_if(this->watches, [&](const Watch &watch) {
        if (watch.key != key)
            return false;
        completed.push_back(watch);
        return true;
    });
    for (const Watch &watch : completed)
        this->respondWithEntry(*watch.exchange, key);
}

bool StoreStandin::satisfiesIfMatch(const HttpExchange &exchange, const std::string &key) const
{
    const Poco::Net::HTTPRequest &head = exchange.request().head;
    if (!head.has("If-Match"))
        return true;
    const auto found = this->entries.find(key);
    const std::uint64_t version = found == this->entries.end() ? 0 : found->second.version;
    return head.get("If-Match") == std::to_string(version);
}

void StoreStandin::write(HttpExchange &exchange, const RequestTarget &query)
{
    const std::string key = query.path().substr(keyPath.size());
    if (!this->satisfiesIfMatch(exchange, key)) {
        exchange.respond(statusPreconditionFailed, {}, "{}");
        return;
    }
    Entry &entry = this->entries[key];
    entry.value = exchange.request().body;
    entry.version = ++this->lastVersion;
    entry.expiresAt = Millis::never();
    if (query.has("ttl_ms")) {
        const Millis timeToLive(query.number("ttl_ms", 0));
        entry.expiresAt = SteadyClock::now() + timeToLive;
        this->loop.schedule(entry.expiresAt, [this, key] {
            const auto found = this->entries.find(key);
            const bool expired
                    = found != this->entries.end() && SteadyClock::now() >= found->second.expiresAt;
            if (expired)
                this->entries.erase(found);
        });
    }
    const std::uint64_t version = entry.version;
    this->notifyWatches(key);
    // Simulates a lost reply: the write has taken effect, but the writer gets no confirmation.
    if (this->losesReply())
        return;
    exchange.respond(statusOk, { { "X-Store-Version", std::to_string(version) } }, "{}");
}

void StoreStandin::remove(HttpExchange &exchange, const std::string &key)
{
    if (!this->satisfiesIfMatch(exchange, key)) {
        exchange.respond(statusPreconditionFailed, {}, "{}");
        return;
    }
    this->entries.erase(key);
    this->notifyWatches(key);
    if (!this->losesReply())
        exchange.respond(statusOk, {}, "{}");
}

} // namespace quetzal
