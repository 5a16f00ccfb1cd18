// How Gateway answers callers: replies, merged answers, failures and refusals.
#include "process/eventlog.h"
#include "quetzal/fault.h"
#include "quetzal/steadyclock.h"
#include "request/gateway.h"
#include "request/recordmerge.h"

#include <cmath>
#include <set>
#include <sstream>

namespace quetzal {

static constexpr int statusOk = 200;
static constexpr int statusUnauthorized = 401;
static constexpr int statusTooManyRequests = 429;
static constexpr int statusBadGateway = 502;
static constexpr int statusUnavailable = 503;
static constexpr int statusGatewayTimeout = 504;
// Minimum time between two observed deliveries, as each is polled for.
static constexpr Millis deliveryObservationPeriod = Millis(100);

void Gateway::respondSingle(std::uint64_t number, ScatterAnswer &&answer)
{
    const auto found = this->running.find(number);
    if (found == this->running.end())
        return;
    RunningRequest &entry = found->second;
    entry.sent = answer.sent;
    entry.hedges = answer.hedges;
    entry.retries = answer.retries;
    entry.mayHaveRun = answer.outcome.verdict != Verdict::NotRun;
    entry.lastFailure = answer.outcome.code;
    if (answer.replies.empty() || !answer.replies.front()) {
        this->respondFailure(number);
        return;
    }
    const SearcherReply &reply = *answer.replies.front();
    this->metrics.add(Counter::Answered);
    this->metrics.add(Timing::Query, SteadyClock::now() - entry.arrivedAt);
    entry.exchange->respond(reply.status, reply.fields, reply.body, "");
    this->logEnd(entry, reply.status, 1);
    this->running.erase(number);
}

void Gateway::respondMerged(std::uint64_t number)
{
    RunningRequest &entry = this->running.at(number);
    const Millis decidedAt = SteadyClock::now();
    std::vector<std::string_view> seals;
    std::set<std::string_view> distinct;
    for (const std::string &seal : entry.seals) {
        if (!seal.empty() && distinct.insert(seal).second)
            seals.push_back(seal);
    }
    // With a duplicate signature it is not known which parts the records belong to.
    if (seals.size() != entry.receivedParts) {
        entry.lastFailure = Fault::ReplyMismatch;
        this->respondFailure(number);
        return;
    }
    const std::size_t missing = entry.seals.size() - seals.size();
    this->abandonBatches(entry);
    this->metrics.add(Counter::Answered);
    if (missing > 0)
        this->metrics.add(Counter::Incomplete);
    this->metrics.add(Timing::Query, SteadyClock::now() - entry.arrivedAt);
    const std::vector<std::string_view> records(entry.records.begin(), entry.records.end());
    const std::string body = mergeRecords(records, entry.route->resultSize);
    this->observeAnswer(entry, decidedAt);
    entry.exchange->respond(statusOk, this->codec.mergedReplyFields(seals, missing), body,
                            "application/octet-stream");
    this->logEnd(entry, statusOk, seals.size());
    this->running.erase(number);
}

Millis Gateway::answerReserve() const
{
    return this->targetReserve.value() + this->deliveryReserve.value();
}

void Gateway::observeAnswer(RunningRequest &entry, Millis decidedAt)
{
    const Millis afterTarget = decidedAt - entry.target;
    if (afterTarget >= Millis() && afterTarget <= maxTargetReserve)
        this->targetReserve.observe(afterTarget);
    if (decidedAt - this->deliveryObservedAt < deliveryObservationPeriod)
        return;
    this->deliveryObservedAt = decidedAt;
    const Millis merging = SteadyClock::now() - decidedAt;
    entry.exchange->setDeliveryHandler([this, merging](Millis delivery) {
        this->deliveryReserve.observe(merging + delivery);
    });
}

static std::string failureBody(const std::error_code &code, Verdict verdict)
{
    return "{\"error\":\"" + code.message() + "\",\"verdict\":\"" + std::string(nameOf(verdict))
           + "\"}";
}

// Formats a time in seconds, with tenths only if there are any.
static HttpField retryAfterField(Millis time)
{
    std::ostringstream seconds;
    seconds << std::ceil(time.count() / 100) / 10;
    return { "Retry-After", seconds.str() };
}

void Gateway::respondFailure(std::uint64_t number)
{
    RunningRequest &entry = this->running.at(number);
    this->abandonBatches(entry);
    this->metrics.add(Counter::Failed);
    if (!entry.lastFailure)
        entry.lastFailure = Fault::BelowCoverage;
    const std::error_code code = entry.lastFailure;
    int status = statusUnavailable;
    std::vector<HttpField> fields = { retryAfterField(defaultRetryAfter) };
    if (entry.mayHaveRun) {
        const bool isLate = code == Fault::DeadlinePassed || SteadyClock::now() >= entry.deadline;
        status = isLate ? statusGatewayTimeout : statusBadGateway;
        fields.clear();
    }
    entry.exchange->respond(
            status, fields,
            failureBody(code, entry.mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun));
    this->logEnd(entry, status, entry.receivedParts);
    this->running.erase(number);
}

void Gateway::refuse(HttpExchange &exchange, int status, Fault fault, const CallerFields &fields,
                     Millis retryAfter)
{
    this->metrics.add(Counter::Refused);
    std::vector<HttpField> extra;
    if (status == statusUnavailable || status == statusTooManyRequests)
        extra.push_back(retryAfterField(retryAfter));
    else if (status == statusUnauthorized)
        extra.push_back({ "WWW-Authenticate", "Bearer" });
    exchange.respond(status, extra, failureBody(fault, Verdict::NotRun));
    logEvent(LogEvent::RequestRefused,
             "id=" + fields.requestId + " status=" + std::to_string(status)
                     + " code=" + make_error_code(fault).message() + " host=" + fields.host
                     + " tables=" + std::to_string(this->view.tablesRevision().value));
}

void Gateway::logEnd(const RunningRequest &entry, int status, std::size_t parts) const
{
    std::ostringstream line;
    line << "id=" << entry.request->requestId << " route=" << entry.route->name;
    if (entry.workspace != nullptr)
        line << " workspace=" << entry.workspace->name;
    line << " status=" << status
         << " code=" << (entry.lastFailure ? entry.lastFailure.message() : "none")
         << " parts=" << parts << "/" << std::max<std::size_t>(1, entry.seals.size())
         << " batches=" << entry.batches.size() << " sent=" << entry.sent
         << " hedges=" << entry.hedges << " retries=" << entry.retries
         << " ms=" << (SteadyClock::now() - entry.arrivedAt).count()
         << " tables=" << entry.tables->revision.value
         << " directory=" << this->view.position().toString();
    const char *separator = " missing=";
    for (std::size_t shard = 0; shard < entry.seals.size(); ++shard) {
        if (!entry.seals[shard].empty())
            continue;
        line << separator << entry.route->shardPools[shard];
        separator = ",";
    }
    logEvent(LogEvent::RequestEnded, line.str());
}

} // namespace quetzal
