#include "hunt/huntstore.h"

#include "hunt/pause.h"

#include <chrono>
#include <sstream>

#include <Poco/Base64Encoder.h>
#include <Poco/URI.h>

namespace quetzal {

static constexpr std::size_t pageSize = 6;

HuntStore::HuntStore(std::size_t gateways)
{
    for (std::size_t i = 0; i < gateways; ++i) {
        Link &link = *this->links.emplace_back(std::make_unique<Link>());
        link.server
                = std::make_unique<FunctionServer>([this, &link](auto &request, auto &response) {
                      this->handle(link, request, response);
                  });
    }
}

HuntStore::~HuntStore()
{
    this->stopping = true;
    this->changed.notify_all();
}

std::string HuntStore::address(std::size_t gateway) const
{
    return this->links[gateway]->server->address();
}

void HuntStore::change(const std::string &jsonKey, const Item &item)
{
    const std::lock_guard lock(this->mutex);
    Item &stored = this->items[jsonKey];
    stored = item;
    stored.revision = ++this->revision;
    this->changed.notify_all();
}

void HuntStore::put(const std::string &jsonKey, const std::string &value)
{
    this->change(jsonKey, { value, 0, false });
}

void HuntStore::erase(const std::string &jsonKey)
{
    this->change(jsonKey, { "", 0, true });
}

void HuntStore::silenceConnections(std::size_t gateway)
{
    const std::lock_guard lock(this->mutex);
    this->links[gateway]->silentPorts = this->links[gateway]->openPorts;
}

void HuntStore::endWatches(std::size_t gateway)
{
    const std::lock_guard lock(this->mutex);
    this->links[gateway]->watchEnds += 1;
    this->changed.notify_all();
}

void HuntStore::dropHistory(std::size_t gateway)
{
    const std::lock_guard lock(this->mutex);
    this->links[gateway]->historyStart = this->revision;
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

static std::string itemText(const std::string &jsonKey, const std::string &value,
                            std::uint64_t revision, bool deleted)
{
    return R"({"key":")" + jsonKey + R"(","revision":)" + std::to_string(revision)
           + (deleted ? R"(,"deleted":true})" : R"(,"value":")" + base64(value) + "\"}");
}

std::string HuntStore::list(const std::string &after)
{
    const std::lock_guard lock(this->mutex);
    std::string text;
    std::size_t count = 0;
    for (const auto &[key, item] : this->items) {
        if (item.deleted || key <= after)
            continue;
        if (++count > pageSize)
            break;
        text += (text.empty() ? "" : ",") + itemText(key, item.value, item.revision, false);
    }
    return R"({"items":[)" + text + R"(],"hasMore":)" + (count > pageSize ? "true" : "false")
           + R"(,"currentRev":)" + std::to_string(this->revision) + "}";
}

std::string HuntStore::watch(Link &link, std::uint64_t after, Millis wait)
{
    std::unique_lock lock(this->mutex);
    const int ends = link.watchEnds;
    this->changed.wait_for(lock, std::chrono::duration<double, std::milli>(wait.count()), [&] {
        return this->stopping || this->revision > after || link.watchEnds != ends;
    });
    if (after < link.historyStart)
        return {};
    std::string text;
    for (const auto &[key, item] : this->items) {
        if (item.revision > after)
            text += (text.empty() ? "" : ",")
                    + itemText(key, item.value, item.revision, item.deleted);
    }
    return R"({"events":[)" + text + R"(],"currentRev":)" + std::to_string(this->revision) + "}";
}

static std::string oddPage(std::uint64_t revision)
{
    static constexpr std::array pages = {
        R"({"events":{},"items":7,"currentRev":1})",
        R"({"items":[],"hasMore":true,"currentRev":"x"})",
        R"({"events":[{"key":7}],"currentRev":-3})",
        R"({"events":[null],"items":[[]],"currentRev":1e99})",
        "[]",
    };
    return pages[revision % pages.size()];
}

void HuntStore::handle(Link &link, Poco::Net::HTTPServerRequestImpl &request,
                       Poco::Net::HTTPServerResponse &response)
{
    Poco::Net::StreamSocket &socket = request.socket();
    const std::uint16_t port = request.clientAddress().port();
    const auto isSilent = [&] {
        const std::lock_guard lock(this->mutex);
        return link.silentPorts.contains(port);
    };
    const auto hold = [&] {
        while (!this->stopping
               && !(socket.poll(Poco::Timespan(50'000), Poco::Net::Socket::SELECT_READ)
                    && socket.available() == 0))
            pause(Millis(5));
        const std::lock_guard lock(this->mutex);
        link.silentPorts.erase(port);
        link.openPorts.erase(port);
        response.setKeepAlive(false);
    };
    {
        const std::lock_guard lock(this->mutex);
        link.openPorts.insert(port);
    }
    const Poco::URI uri(request.getURI());
    std::map<std::string, std::string> query;
    for (const auto &[name, value] : uri.getQueryParameters())
        query[name] = value;
    StoreFault fault = link.fault;
    std::string body;
    if (fault == StoreFault::None || fault == StoreFault::Slow || fault == StoreFault::Cut) {
        const bool isWatch = uri.getPath().ends_with("watch");
        body = isWatch ? this->watch(link, std::stoull(query["after"]),
                                     Millis(std::stod(query["waitMs"])))
                       : this->list(query["after"]);
        fault = link.fault;
    }
    if (fault == StoreFault::Silent || fault == StoreFault::LoseAnswer || isSilent()) {
        hold();
        return;
    }
    if (fault == StoreFault::Reset) {
        socket.setLinger(true, 0);
        socket.close();
        return;
    }
    if (fault == StoreFault::Slow)
        pause(Millis(700));
    int status = body.empty() ? 410 : 200;
    if (fault == StoreFault::Refuse503 || fault == StoreFault::Refuse429)
        status = fault == StoreFault::Refuse503 ? 503 : 429;
    if (fault == StoreFault::NoJson || fault == StoreFault::OddPage) {
        status = 200;
        body = fault == StoreFault::NoJson ? "{\"events\":[{" : oddPage(this->revision);
    }
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType("application/json");
    response.setContentLength64(static_cast<Poco::Int64>(body.size()));
    const bool isCut = fault == StoreFault::Cut;
    response.send() << (isCut ? body.substr(0, body.size() / 2) : body) << std::flush;
    if (isCut)
        response.setKeepAlive(false);
}

} // namespace quetzal
