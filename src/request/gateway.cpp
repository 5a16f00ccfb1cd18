#include "request/gateway.h"

#include "process/eventlog.h"
#include "quetzal/fault.h"
#include "quetzal/steadyclock.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

// Time reserved for sending an answer after its target, and for its delivery, until observed.
static constexpr Millis initialTargetReserve = Millis(2);
static constexpr Millis initialDeliveryReserve = Millis(2);
// Longest time reserved for the delivery.
static constexpr Millis maxDeliveryReserve = Millis(30);
// Time beyond the target for which a relay's answer that is in transit is awaited.
static constexpr Millis relayAnswerGrace = Millis(2);
// Time beyond the target after which a relay that has not answered is treated as failed.
static constexpr Millis relayOverdueDelay = Millis(60);
// Minimum time left before the deadline for gathering missing parts again.
static constexpr Millis minRetryTime = Millis(20);

Gateway::Gateway(EventLoop &loop, Metrics &metrics, const HttpCodec &codec, const ServingView &view,
                 ScatterExecutor &scatterExecutor, PartRelay &partRelay, std::string zone)
    : loop(loop)
    , metrics(metrics)
    , codec(codec)
    , view(view)
    , scatterExecutor(scatterExecutor)
    , partRelay(partRelay)
    , zone(std::move(zone))
    , targetReserve(initialTargetReserve, maxTargetReserve)
    , deliveryReserve(initialDeliveryReserve, maxDeliveryReserve)
{}

void Gateway::begin(const std::shared_ptr<HttpExchange> &exchange, const Route &route,
                    const CallerFields &fields, const Workspace *workspace, Millis now)
{
    const std::uint64_t number = ++this->lastNumber;
    RunningRequest &entry = this->running[number];
    const Millis timeout = fields.timeout.value_or(route.deadline);
    entry.exchange = exchange;
    entry.tables = this->view.tables();
    entry.route = &route;
    entry.workspace = workspace;
    entry.arrivedAt = now;
    const Millis transit = exchange->networkTime() + this->answerReserve();
    entry.target = now + route.targetLatency - transit;
    entry.deadline = now + std::min(timeout - transit, route.deadline);
    const auto request = std::make_shared<OutboundRequest>();
    request->method = exchange->request().head.getMethod();
    request->target = exchange->request().head.getURI();
    request->requestId = fields.requestId;
    request->forwardedFields = fields.forwardedFields;
    request->body = exchange->request().body;
    request->repeatable = route.repeatable;
    entry.request = request;
    exchange->setDisconnectHandler([this, number] { this->onCallerGone(number); });
    try {
        if (route.shardPools.empty())
            this->beginSingle(number);
        else
            this->beginMerged(number);
    } catch (const std::exception &) {
        // The server answers for the handler, so nothing else would end the request.
        const auto found = this->running.find(number);
        if (found != this->running.end()) {
            this->abandonBatches(found->second);
            this->running.erase(found);
        }
        throw;
    }
}

ScatterPlan Gateway::planFor(const RunningRequest &entry) const
{
    ScatterPlan plan;
    plan.repeatable = entry.route->repeatable;
    plan.target = entry.target;
    plan.deadline = entry.deadline;
    plan.minCoverage = entry.route->minCoverage;
    plan.resultSize = entry.route->resultSize;
    plan.maxAttempts = std::max(1U, entry.route->maxAttempts);
    return plan;
}

void Gateway::beginSingle(std::uint64_t number)
{
    const RunningRequest &entry = this->running.at(number);
    ScatterRequest scatterRequest;
    scatterRequest.plan = this->planFor(entry);
    scatterRequest.plan.id = this->scatterExecutor.nextId();
    const Route &route = *entry.route;
    scatterRequest.pools = { this->scatterExecutor.pool(
            route.trafficSplit.empty() ? route.pool : this->trafficSplit.nextPool(route)) };
    scatterRequest.request = entry.request;
    scatterRequest.routeLatency = &this->partRelay.routeLatency(route.name);
    scatterRequest.done = [this, number](ScatterAnswer &&answer) {
        this->respondSingle(number, std::move(answer));
    };
    Batch batch;
    batch.id = scatterRequest.plan.id;
    this->running.at(number).batches.push_back(batch);
    this->scatterExecutor.start(std::move(scatterRequest));
}

void Gateway::beginMerged(std::uint64_t number)
{
    RunningRequest &entry = this->running.at(number);
    entry.seals.resize(entry.route->shardPools.size());
    const GatherPlan gatherPlan = this->partRelay.planGather(*entry.route, SteadyClock::now());
    ScatterPlan plan = this->planFor(entry);
    plan.merged = true;
    plan.isBatch = !gatherPlan.relayShares.empty();
    plan.maxMissing = entry.seals.size() - this->requiredParts(*entry.route);
    entry.retriedMissing = gatherPlan.relayShares.empty();
    // Set before the batches start: one that ends immediately may end the request and its entry.
    if (plan.isBatch)
        entry.timer = this->loop.schedule(entry.target + relayAnswerGrace,
                                          [this, number] { this->onTarget(number); });
    if (plan.isBatch) {
        entry.allowedSearchers.resize(entry.seals.size());
        this->assignSearchers(entry, gatherPlan.localShards, this->zone);
        for (const RelayShare &share : gatherPlan.relayShares)
            this->assignSearchers(entry, share.shards, share.zone);
    }
    for (const RelayShare &share : gatherPlan.relayShares)
        this->sendToRelay(number, share);
    if (!gatherPlan.localShards.empty())
        this->gatherLocally(number, gatherPlan.localShards, plan);
}

void Gateway::assignSearchers(RunningRequest &entry, const std::vector<std::uint32_t> &shards,
                              const std::string &nearZone)
{
    const Millis now = SteadyClock::now();
    const Millis typical = this->partRelay.routeLatency(entry.route->name).typical(now);
    for (const std::uint32_t shard : shards)
        entry.allowedSearchers[shard]
                = this->scatterExecutor.pool(entry.route->shardPools[shard])
                          ->bestForZone(nearZone, std::max(1U, entry.route->maxAttempts), typical,
                                        now);
}

void Gateway::gatherLocally(std::uint64_t number, std::vector<std::uint32_t> shards,
                            ScatterPlan plan)
{
    const auto found = this->running.find(number);
    if (found == this->running.end())
        return;
    RunningRequest &entry = found->second;
    plan.id = this->scatterExecutor.nextId();
    ScatterRequest scatterRequest;
    scatterRequest.plan = plan;
    for (const std::uint32_t shard : shards) {
        scatterRequest.pools.push_back(this->scatterExecutor.pool(entry.route->shardPools[shard]));
        if (!entry.allowedSearchers.empty())
            scatterRequest.allowedSearchers.push_back(entry.allowedSearchers[shard]);
    }
    scatterRequest.request = entry.request;
    scatterRequest.routeLatency = &this->partRelay.routeLatency(entry.route->name);
    scatterRequest.done = [this, number, id = plan.id](ScatterAnswer &&answer) {
        this->onLocalBatchEnd(number, id, std::move(answer));
    };
    Batch batch;
    batch.shards = std::move(shards);
    batch.id = plan.id;
    entry.batches.push_back(std::move(batch));
    this->scatterExecutor.start(std::move(scatterRequest));
}

void Gateway::sendToRelay(std::uint64_t number, const RelayShare &share)
{
    RunningRequest &entry = this->running.at(number);
    const Millis now = SteadyClock::now();
    RelayQuery query;
    const QueryId id = this->scatterExecutor.nextId();
    query.number = id.value;
    query.route = entry.route->name;
    query.method = entry.request->method;
    query.target = entry.request->target;
    query.requestId = entry.request->requestId;
    query.forwardedFields = entry.request->forwardedFields;
    query.body = entry.request->body;
    // The relay gets less time, so that its answer arrives here by the target time.
    const Millis answerTime = this->partRelay.answerTime(share.host);
    query.targetMs = (entry.target - now - answerTime).count();
    query.deadlineMs = (entry.deadline - now - answerTime).count();
    query.maxMissing
            = static_cast<std::uint16_t>(entry.seals.size() - this->requiredParts(*entry.route));
    query.resultSize = entry.route->resultSize;
    query.maxAttempts = std::max(1U, entry.route->maxAttempts);
    for (const std::uint32_t shard : share.shards) {
        query.pools.push_back(entry.route->shardPools[shard]);
        query.allowedSearchers.push_back(entry.allowedSearchers[shard]);
    }
    Batch batch;
    batch.shards = share.shards;
    batch.id = id;
    batch.relayed = true;
    entry.batches.push_back(std::move(batch));
    this->partRelay.sendQuery(share.host, query, entry.target + relayOverdueDelay,
                              [this, number, id](RelayResult &&result) {
                                  this->onRelayedBatchEnd(number, id, std::move(result));
                              });
}

void Gateway::recordPart(RunningRequest &entry, std::uint32_t shard, const std::string &seal)
{
    if (seal.empty() || !entry.seals[shard].empty())
        return;
    entry.seals[shard] = seal;
    entry.receivedParts += 1;
}

void Gateway::onLocalBatchEnd(std::uint64_t number, QueryId batchId, ScatterAnswer &&answer)
{
    const auto found = this->running.find(number);
    if (found == this->running.end())
        return;
    RunningRequest &entry = found->second;
    const auto batch = std::find_if(entry.batches.begin(), entry.batches.end(),
                                    [&](const Batch &item) { return item.id == batchId; });
    batch->open = false;
    entry.sent += answer.sent;
    entry.hedges += answer.hedges;
    entry.retries += answer.retries;
    entry.mayHaveRun = entry.mayHaveRun || answer.mayHaveRun;
    if (answer.lastFailure)
        entry.lastFailure = answer.lastFailure;
    for (std::size_t i = 0; i < answer.replies.size(); ++i) {
        const std::uint32_t shard = batch->shards[i];
        if (!answer.replies[i] || !entry.seals[shard].empty())
            continue;
        this->recordPart(entry, shard, answer.replies[i]->seal);
        entry.records.push_back(std::move(answer.replies[i]->body));
    }
    if (answer.outcome.code == Fault::DeadlinePassed)
        entry.lastFailure = answer.outcome.code;
    this->finishIfDue(number);
}

void Gateway::onRelayedBatchEnd(std::uint64_t number, QueryId batchId, RelayResult &&result)
{
    const auto found = this->running.find(number);
    if (found == this->running.end())
        return;
    RunningRequest &entry = found->second;
    const auto batch = std::find_if(entry.batches.begin(), entry.batches.end(),
                                    [&](const Batch &item) { return item.id == batchId; });
    batch->open = false;
    const std::vector<std::uint32_t> shards = batch->shards;
    if (!result.answer) {
        // The relay did not answer or rejected the request: gather the parts locally.
        entry.mayHaveRun = entry.mayHaveRun || result.mayHaveRun;
        if (SteadyClock::now() >= entry.target) {
            this->finishIfDue(number);
            return;
        }
        ScatterPlan plan = this->planFor(entry);
        plan.merged = true;
        plan.isBatch = true;
        plan.maxMissing = entry.seals.size() - this->requiredParts(*entry.route);
        plan.isResend = result.mayHaveRun;
        this->gatherLocally(number, shards, plan);
        return;
    }
    const RelayAnswer &answer = *result.answer;
    entry.mayHaveRun = entry.mayHaveRun || answer.mayHaveRun;
    // The relay merged the records of all its parts, so they are used only if none of these parts
    // has arrived in another way.
    const bool noneReceived = std::all_of(shards.begin(), shards.end(), [&](std::uint32_t shard) {
        return entry.seals[shard].empty();
    });
    if (noneReceived && answer.seals.size() == shards.size()) {
        for (std::size_t i = 0; i < shards.size(); ++i)
            this->recordPart(entry, shards[i], answer.seals[i]);
        entry.records.push_back(answer.records);
    }
    this->finishIfDue(number);
}

std::size_t Gateway::requiredParts(const Route &route)
{
    // Keeps a product such as 0.55 * 100 = 55.00000000000001 from rounding up to the next integer.
    static constexpr double tolerance = 1e-9;
    if (route.shardPools.empty())
        return 1;
    const double exact = route.minCoverage * static_cast<double>(route.shardPools.size());
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(exact - tolerance)));
}

void Gateway::finishIfDue(std::uint64_t number)
{
    const RunningRequest &entry = this->running.at(number);
    const bool anyOpen = std::any_of(entry.batches.begin(), entry.batches.end(),
                                     [](const Batch &batch) { return batch.open; });
    if (entry.receivedParts == entry.seals.size()
        || (!anyOpen && entry.receivedParts >= this->requiredParts(*entry.route))) {
        this->respondMerged(number);
        return;
    }
    // Fail early if the open batches cannot provide enough parts any more. From the target time on,
    // the missing parts are gathered again first, unless they already were.
    std::size_t pending = 0;
    for (const Batch &batch : entry.batches) {
        for (const std::uint32_t shard : batch.shards)
            pending += batch.open && entry.seals[shard].empty() ? 1 : 0;
    }
    const bool outOfReach = entry.receivedParts + pending < this->requiredParts(*entry.route);
    if (outOfReach && (entry.retriedMissing || SteadyClock::now() < entry.target)) {
        this->respondFailure(number);
        return;
    }
    if (anyOpen) {
        if (entry.retriedMissing && SteadyClock::now() >= entry.target
            && entry.receivedParts >= this->requiredParts(*entry.route))
            this->respondMerged(number);
        return;
    }
    if (!entry.retriedMissing && entry.deadline - SteadyClock::now() > minRetryTime)
        this->retryMissing(number);
    else
        this->respondFailure(number);
}

void Gateway::retryMissing(std::uint64_t number)
{
    RunningRequest &entry = this->running.at(number);
    entry.retriedMissing = true;
    std::vector<std::uint32_t> missing;
    for (std::uint32_t shard = 0; shard < entry.seals.size(); ++shard) {
        if (entry.seals[shard].empty())
            missing.push_back(shard);
    }
    ScatterPlan plan = this->planFor(entry);
    plan.merged = true;
    plan.isResend = true;
    plan.minCoverage = static_cast<double>(this->requiredParts(*entry.route) - entry.receivedParts)
                       / static_cast<double>(missing.size());
    this->gatherLocally(number, std::move(missing), plan);
}

void Gateway::onTarget(std::uint64_t number)
{
    const auto found = this->running.find(number);
    if (found == this->running.end())
        return;
    found->second.timer = 0;
    if (found->second.receivedParts >= this->requiredParts(*found->second.route))
        this->respondMerged(number);
}

void Gateway::abandonBatches(RunningRequest &entry)
{
    this->loop.cancel(entry.timer);
    for (Batch &batch : entry.batches) {
        if (!batch.open)
            continue;
        batch.open = false;
        if (batch.relayed)
            this->partRelay.cancel(batch.id);
        else
            this->scatterExecutor.abandon(batch.id);
    }
}

void Gateway::failRemaining()
{
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, entry] : this->running)
        numbers.push_back(number);
    for (const std::uint64_t number : numbers) {
        RunningRequest &entry = this->running.at(number);
        entry.mayHaveRun = true;
        entry.lastFailure = Fault::Stopping;
        this->respondFailure(number);
    }
}

void Gateway::onCallerGone(std::uint64_t number)
{
    const auto found = this->running.find(number);
    if (found == this->running.end())
        return;
    this->metrics.add(Counter::CallersGone);
    this->abandonBatches(found->second);
    logEvent(LogEvent::CallerGone, "id=" + found->second.request->requestId);
    this->running.erase(number);
}

} // namespace quetzal
