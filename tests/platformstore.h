// A small stand-in for the platform's key-value store, for tests of gateway processes and feeds.
#pragma once

#include "connection/httpserver.h"
#include "platform/documents.h"
#include "quetzal/steadyclock.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <Poco/Base64Encoder.h>
#include <Poco/URI.h>

namespace quetzal {

// Lists and watches its items. Calls that arrive while it is silent never get a response, and their
// connections stay open. Can be taken down and restored from a copy of an earlier state.
class PlatformStore
{
public:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    // A state of the store that it can be restored to.
    struct Copy
    {
        std::map<std::string, Item> items;
        std::uint64_t revision = 0;
    };

    explicit PlatformStore(EventLoop &loop)
        : loop(loop)
        , server(HttpServer::listen(loop, Poco::Net::SocketAddress("127.0.0.1", 0),
                                    HttpServerOptions(),
                                    [this](const auto &exchange) { this->onCall(exchange); }))
    {}

    std::string address() const { return this->server->address().toString(); }

    // Writes a value and answers the watches that wait, unless the store is silent.
    void put(const std::string &key, const std::string &value) { this->change(key, value, false); }

    void erase(const std::string &key) { this->change(key, "", true); }

    // Returns the value of a key, or nothing if it is absent.
    std::optional<std::string> value(const std::string &key) const
    {
        const auto found = this->items.find(key);
        if (found == this->items.end() || found->second.deleted)
            return std::nullopt;
        return found->second.value;
    }

    Copy copy() const { return { this->items, this->revision }; }

    // Answers every call with status 503 from now on.
    void takeDown()
    {
        this->down = true;
        for (const auto &[exchange, after] : std::exchange(this->waitingWatches, {}))
            this->respond(*exchange, 503, "{}");
    }

    // Answers again, with the state of the copy and in the next era.
    void restore(const Copy &copy)
    {
        this->items = copy.items;
        this->revision = copy.revision;
        this->era += 1;
        this->down = false;
    }

    std::uint64_t currentRevision() const { return this->revision; }

    // Writes tables without routes; their version is the next revision, which is returned.
    std::uint64_t putTables()
    {
        const std::uint64_t version = this->revision + 1;
        this->put(platform::tablesKey,
                  R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})");
        return version;
    }

    // Loses the watches that wait, and all calls from now on.
    void setSilent(bool isSilent)
    {
        this->silent = isSilent;
        for (const auto &[exchange, after] : std::exchange(this->waitingWatches, {}))
            this->lostCalls.push_back(exchange);
    }

    std::size_t waitingCount() const { return this->waitingWatches.size(); }

    int watchCount = 0;
    // The longest time for which a watch was allowed to wait.
    int longestWaitMs = 0;
    // Watches are answered with text that is no JSON.
    bool breaksWatches = false;

private:
    void change(const std::string &key, const std::string &value, bool deleted)
    {
        this->revision += 1;
        this->items[key] = { value, this->revision, deleted };
        for (const auto &[exchange, after] : std::exchange(this->waitingWatches, {})) {
            if (this->silent)
                this->lostCalls.push_back(exchange);
            else
                this->respond(*exchange, 200, this->page("events", after));
        }
    }

    void respond(HttpExchange &exchange, int status, const std::string &body) const
    {
        exchange.respond(status, { { "Store-Era", std::to_string(this->era) } }, body);
    }

    void onCall(const std::shared_ptr<HttpExchange> &exchange)
    {
        const Poco::URI uri(exchange->request().head.getURI());
        const bool isWatch = uri.getPath().ends_with("watch");
        this->watchCount += isWatch;
        if (this->silent) {
            this->lostCalls.push_back(exchange);
            return;
        }
        if (this->down) {
            this->respond(*exchange, 503, "{}");
            return;
        }
        if (!isWatch) {
            this->respond(*exchange, 200, this->page("items", 0));
            return;
        }
        if (this->breaksWatches) {
            this->respond(*exchange, 200, "{");
            return;
        }
        std::uint64_t after = 0;
        int waitMs = 0;
        for (const auto &[name, value] : uri.getQueryParameters()) {
            if (name == "after")
                after = std::stoull(value);
            if (name == "waitMs")
                waitMs = std::stoi(value);
        }
        this->longestWaitMs = std::max(this->longestWaitMs, waitMs);
        if (after > this->revision) {
            this->respond(*exchange, 410, "{}");
            return;
        }
        if (after < this->revision) {
            this->respond(*exchange, 200, this->page("events", after));
            return;
        }
        this->waitingWatches.emplace_back(exchange, after);
        this->loop.schedule(SteadyClock::now() + Millis(waitMs), [this, exchange, after] {
            if (std::erase(this->waitingWatches, std::pair(exchange, after)) > 0)
                this->respond(*exchange, 200, this->page("events", after));
        });
    }

    static std::string base64(const std::string &text)
    {
        std::ostringstream out;
        Poco::Base64Encoder encoder(out);
        encoder.rdbuf()->setLineLength(0);
        encoder << text;
        encoder.close();
        return out.str();
    }

    // Returns a response with the items that changed after a revision; deleted ones only in events.
    std::string page(const std::string &list, std::uint64_t after) const
    {
        std::string text;
        for (const auto &[key, item] : this->items) {
            if (item.revision <= after || (item.deleted && list == "items"))
                continue;
            text += (text.empty() ? "" : ",") + std::string(R"({"key":")") + key + R"(",)"
                    + (item.deleted ? R"("deleted":true)"
                                    : R"("value":")" + base64(item.value) + "\"")
                    + R"(,"revision":)" + std::to_string(item.revision) + "}";
        }
        return "{\"" + list + "\":[" + text
               + "],\"hasMore\":false,\"currentRev\":" + std::to_string(this->revision) + "}";
    }

    EventLoop &loop;
    std::map<std::string, Item> items;
    std::uint64_t revision = 0;
    std::uint64_t era = 1;
    bool silent = false;
    bool down = false;
    std::vector<std::pair<std::shared_ptr<HttpExchange>, std::uint64_t>> waitingWatches;
    std::vector<std::shared_ptr<HttpExchange>> lostCalls;
    std::shared_ptr<HttpServer> server;
};

} // namespace quetzal
