#include "standins/recordstandin.h"

#include "quetzal/steadyclock.h"
#include "request/recordmerge.h"

#include <algorithm>

namespace quetzal {

static constexpr int statusOk = 200;
static constexpr int statusMisdirected = 421;
static constexpr int statusUnavailable = 503;
static constexpr double stragglerFactor = 10;

RecordStandin::RecordStandin(EventLoop &loop, const HeaderNames &names,
                             const std::vector<SearcherRegistration> &searchers,
                             const RecordBehaviour &behaviour, std::uint64_t seed)
    : loop(loop)
    , names(names)
    , behaviour(behaviour)
    , random(seed)
{
    for (const SearcherRegistration &registration : searchers) {
        this->instances.push_back(std::make_unique<Instance>());
        Instance &instance = *this->instances.back();
        instance.registration = registration;
        instance.server = HttpServer::listen(
                loop, Poco::Net::SocketAddress(registration.address), HttpServerOptions(),
                [this, &instance](const auto &exchange) { this->onRequest(instance, exchange); });
    }
}

std::vector<HttpField> RecordStandin::replyFields(const Instance &instance,
                                                  const HttpExchange &exchange) const
{
    std::vector<HttpField> fields
            = { { this->names.requestId, exchange.request().head.get(this->names.requestId, "") },
                { this->names.load, std::to_string(instance.runningCount) + ","
                                            + std::to_string(instance.queue.size()) + ","
                                            + std::to_string(instance.registration.slots) } };
    const SearcherStatement &statement = this->behaviour.statement;
    if (statement.requestLimit)
        fields.push_back({ this->names.requestLimit, std::to_string(*statement.requestLimit) });
    if (statement.leaving)
        fields.push_back({ this->names.leaving, "1" });
    return fields;
}

void RecordStandin::refuse(const Instance &instance, HttpExchange &exchange, int status) const
{
    std::vector<HttpField> fields = this->replyFields(instance, exchange);
    fields.push_back({ this->names.notRun, "1" });
    static constexpr double millisPerSecond = 1000;
    if (status == statusUnavailable && this->behaviour.statement.pause)
        fields.push_back({ "Retry-After", std::to_string(this->behaviour.statement.pause->count()
                                                         / millisPerSecond) });
    exchange.respond(status, fields, "");
}

void RecordStandin::onRequest(Instance &instance, const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string targetId
            = exchange->request().head.get(this->names.target, instance.registration.id);
    if (targetId != instance.registration.id)
        return this->refuse(instance, *exchange, statusMisdirected);
    if (instance.runningCount < instance.registration.slots)
        return this->run(instance, exchange);
    if (instance.queue.size() >= maxQueueLength)
        return this->refuse(instance, *exchange, statusUnavailable);
    instance.queue.push_back(exchange);
    exchange->setDisconnectHandler([&instance, raw = exchange.get()] {
        std::erase_if(instance.queue, [raw](const auto &item) { return item.get() == raw; });
    });
}

void RecordStandin::run(Instance &instance, const std::shared_ptr<HttpExchange> &exchange)
{
    static constexpr std::uint64_t steps = 1'000'000;
    instance.runningCount += 1;
    this->runCount += 1;
    // A running request completes even if its connection is closed.
    exchange->setDisconnectHandler([] {});
    const double draw = static_cast<double>(this->random() % steps) / steps;
    const double factor = draw < this->behaviour.stragglerFraction ? stragglerFactor : 1;
    this->loop.schedule(SteadyClock::now() + this->behaviour.serviceTime * factor,
                        [this, &instance, exchange] { this->finish(instance, exchange); });
}

std::string RecordStandin::makeRecords(const Instance &instance)
{
    std::string records;
    for (std::size_t i = 0; i < this->behaviour.recordsPerReply; ++i) {
        std::string record = std::to_string(this->random()) + instance.registration.pool;
        record.resize(recordBytes, '.');
        records += record;
    }
    return records;
}

void RecordStandin::finish(Instance &instance, const std::shared_ptr<HttpExchange> &exchange)
{
    std::vector<HttpField> fields = this->replyFields(instance, *exchange);
    fields.push_back({ this->names.seal,
                       instance.registration.id + "." + std::to_string(++this->sealCount) });
    exchange->respond(statusOk, fields, this->makeRecords(instance), "application/octet-stream");
    instance.runningCount -= 1;
    if (instance.queue.empty())
        return;
    const std::shared_ptr<HttpExchange> next = instance.queue.front();
    instance.queue.erase(instance.queue.begin());
    this->run(instance, next);
}

} // namespace quetzal
