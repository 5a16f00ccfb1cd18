// A small stand-in for the platform's key-value store, for tests of gateway processes and feeds.
#pragma once

#include "connection/httpserver.h"
#include "platform/documents.h"
#include "quetzal/steadyclock.h"

#include <algorithm>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <Poco/Base64Encoder.h>
#include <Poco/URI.h>

namespace quetzal {

// Lists and watches its items. Calls that arrive while it is silent never get a response, and their
// connections stay open.
class PlatformStore
{
public:
    explicit PlatformStore(EventLoop &loop)
        : loop(loop)
        , server(HttpServer::listen(loop, Poco::Net::SocketAddress("127.0.0.1", 0),
                                    HttpServerOptions(),
                                    [this](const auto &exchange) { this->onCall(exchange); }))
    {}

    std::string address() const { return this->server->address().toString(); }

    // Writes a value and answers the watches that wait, unless the store is silent.
    void put(const std::string &key, const std::string &value)
    {
        this->revision += 1;
        this->items[key] = { value, this->revision };
        for (const auto &[exchange, after] : std::exchange(this->waitingWatches, {})) {
            if (this->silent)
                this->lostCalls.push_back(exchange);
            else
                exchange->respond(200, {}, this->page("events", after));
        }
    }

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
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
    };

    void onCall(const std::shared_ptr<HttpExchange> &exchange)
    {
        const Poco::URI uri(exchange->request().head.getURI());
        const bool isWatch = uri.getPath().ends_with("watch");
        this->watchCount += isWatch;
        if (this->silent) {
            this->lostCalls.push_back(exchange);
            return;
        }
        if (!isWatch) {
            exchange->respond(200, {}, this->page("items", 0));
            return;
        }
        if (this->breaksWatches) {
            exchange->respond(200, {}, "{");
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
        if (after < this->revision) {
            exchange->respond(200, {}, this->page("events", after));
            return;
        }
        this->waitingWatches.emplace_back(exchange, after);
        this->loop.schedule(SteadyClock::now() + Millis(waitMs), [this, exchange, after] {
            if (std::erase(this->waitingWatches, std::pair(exchange, after)) > 0)
                exchange->respond(200, {}, this->page("events", after));
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

    // Returns a response with the items that changed after a revision.
    std::string page(const std::string &list, std::uint64_t after) const
    {
        std::string text;
        for (const auto &[key, item] : this->items) {
            if (item.revision <= after)
                continue;
            text += (text.empty() ? "" : ",") + std::string(R"({"key":")") + key + R"(","value":")"
                    + base64(item.value) + R"(","revision":)" + std::to_string(item.revision) + "}";
        }
        return "{\"" + list + "\":[" + text
               + "],\"hasMore\":false,\"currentRev\":" + std::to_string(this->revision) + "}";
    }

    EventLoop &loop;
    std::map<std::string, Item> items;
    std::uint64_t revision = 0;
    bool silent = false;
    std::vector<std::pair<std::shared_ptr<HttpExchange>, std::uint64_t>> waitingWatches;
    std::vector<std::shared_ptr<HttpExchange>> lostCalls;
    std::shared_ptr<HttpServer> server;
};

} // namespace quetzal
