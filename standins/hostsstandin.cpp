#include "standins/hostsstandin.h"

#include "quetzal/steadyclock.h"
#include "standins/requesttarget.h"

#include <sstream>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

namespace quetzal {

static constexpr int statusOk = 200;
static constexpr int statusBadRequest = 400;

static Poco::JSON::Object::Ptr parseList(const std::string &text)
{
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
}

HostsStandin::HostsStandin(EventLoop &loop, const std::string &address, const std::string &list)
    : loop(loop)
    , hostList(parseList(list))
{
    this->server = HttpServer::listen(
            loop, Poco::Net::SocketAddress(address), HttpServerOptions(),
            [this](const std::shared_ptr<HttpExchange> &exchange) { this->onRequest(exchange); });
}

void HostsStandin::scheduleChange(const std::function<void()> &change)
{
    this->loop.schedule(SteadyClock::now() + this->lag, change);
}

std::string HostsStandin::hostListFor(const std::string &zone) const
{
    Poco::JSON::Array::Ptr hosts = new Poco::JSON::Array;
    const auto allHosts = this->hostList->getArray("hosts");
    for (unsigned i = 0; allHosts && i < allHosts->size(); ++i) {
        const auto entry = allHosts->getObject(i);
        Poco::JSON::Object::Ptr host = new Poco::JSON::Object;
        host->set("name", entry->getValue<std::string>("name"));
        host->set("zone", entry->getValue<std::string>("zone"));
        const auto via = entry->getObject("via");
        const bool hasZoneAddress = via && via->has(zone);
        host->set("address", hasZoneAddress ? via->getValue<std::string>(zone)
                                            : entry->getValue<std::string>("address"));
        hosts->add(host);
    }
    Poco::JSON::Array::Ptr leaving = new Poco::JSON::Array;
    for (const std::string &searcher : this->leavingSearchers)
        leaving->add(searcher);
    Poco::JSON::Object result;
    result.set("hosts", hosts);
    result.set("leaving_searchers", leaving);
    std::ostringstream text;
    result.stringify(text);
    return text.str();
}

void HostsStandin::onRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    const RequestTarget query(exchange->request().head.getURI());
    if (query.path() == "/fault") {
        this->lag = Millis(query.number("lag_ms", this->lag.count()));
        this->outage = query.number("outage", this->outage ? 1 : 0) != 0;
        exchange->respond(statusOk, {}, "{}");
        return;
    }
    if (query.path() == "/leaving") {
        const std::string searcher = query.text("searcher");
        const bool isLeaving = query.number("on", 1) != 0;
        this->scheduleChange([this, searcher, isLeaving] {
            if (isLeaving)
                this->leavingSearchers.insert(searcher);
            else
                this->leavingSearchers.erase(searcher);
        });
        exchange->respond(statusOk, {}, "{}");
        return;
    }
    if (this->outage)
        return;
    if (exchange->request().head.getMethod() != "PUT") {
        exchange->respond(statusOk, {}, this->hostListFor(query.text("zone")));
        return;
    }
    try {
        const auto newList = parseList(exchange->request().body);
        this->scheduleChange([this, newList] { this->hostList = newList; });
        exchange->respond(statusOk, {}, "{}");
    } catch (const Poco::Exception &error) {
        exchange->respond(statusBadRequest, {}, "{\"error\":\"" + error.message() + "\"}");
    }
}

} // namespace quetzal
