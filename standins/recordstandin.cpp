#include "standins/recordstandin.h"

#include "quetzal/steadyclock.h"
#include "request/recordmerge.h"

#include <algorithm>

namespace quetzal {

static constexpr int statusOk = 200;
static constexpr int statusMisdirected = 421;
static constexpr int statusUnavailable = 503;
static constexpr double slowFactor = 10;

RecordStandin::RecordStandin(EventLoop &loop, const HeaderNames &names,
                             const std::vector<SearcherRegistration> &searchers,
                             const RecordBehaviour &behaviour, std::uint64_t seed)
    : loop(loop)
    , names(names)
    , behaviour(behaviour)
    , random(seed)
{
    for (const SearcherRegistration &registration : searchers) {
        this->places.push_back(std::make_unique<Place>());
        Place &place = *this->places.back();
        place.entry = registration;
        place.server = HttpServer::listen(
                loop, Poco::Net::SocketAddress(registration.address), HttpServerOptions(),
                [this, &place](const auto &exchange) { this->onRequest(place, exchange); });
    }
}

std::vector<HttpField> RecordStandin::fieldsFor(const Place &place,
                                                const HttpExchange &exchange) const
{
    return { { this->names.requestId, exchange.request().head.get(this->names.requestId, "") },
             { this->names.load, std::to_string(place.running) + ","
                                         + std::to_string(place.waiting.size()) + ","
                                         + std::to_string(place.entry.slots) } };
}

void RecordStandin::refuse(const Place &place, HttpExchange &exchange, int status) const
{
    std::vector<HttpField> fields = this->fieldsFor(place, exchange);
    fields.push_back({ this->names.notRun, "1" });
    exchange.respond(status, fields, "");
}

void RecordStandin::onRequest(Place &place, const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string meant = exchange->request().head.get(this->names.target, place.entry.id);
    if (meant != place.entry.id)
        return this->refuse(place, *exchange, statusMisdirected);
    if (place.running < place.entry.slots)
        return this->run(place, exchange);
    if (place.waiting.size() >= longestQueue)
        return this->refuse(place, *exchange, statusUnavailable);
    place.waiting.push_back(exchange);
    exchange->setDisconnectHandler([&place, raw = exchange.get()] {
        std::erase_if(place.waiting, [raw](const auto &item) { return item.get() == raw; });
    });
}

void RecordStandin::run(Place &place, const std::shared_ptr<HttpExchange> &exchange)
{
    static constexpr std::uint64_t steps = 1'000'000;
    place.running += 1;
    this->ran += 1;
    exchange->setDisconnectHandler([] {});
    const double draw = static_cast<double>(this->random() % steps) / steps;
    const double factor = draw < this->behaviour.slowFraction ? slowFactor : 1;
    this->loop.schedule(SteadyClock::now() + this->behaviour.service * factor,
                        [this, &place, exchange] { this->finish(place, exchange); });
}

std::string RecordStandin::recordsOf(const Place &place)
{
    std::string records;
    for (std::size_t i = 0; i < this->behaviour.records; ++i) {
        std::string record = std::to_string(this->random()) + place.entry.pool;
        record.resize(recordBytes, '.');
        records += record;
    }
    return records;
}

void RecordStandin::finish(Place &place, const std::shared_ptr<HttpExchange> &exchange)
{
    std::vector<HttpField> fields = this->fieldsFor(place, *exchange);
    fields.push_back({ this->names.seal, place.entry.id + "." + std::to_string(++this->sealed) });
    exchange->respond(statusOk, fields, this->recordsOf(place), "application/octet-stream");
    place.running -= 1;
    if (place.waiting.empty())
        return;
    const std::shared_ptr<HttpExchange> next = place.waiting.front();
    place.waiting.erase(place.waiting.begin());
    this->run(place, next);
}

} // namespace quetzal
