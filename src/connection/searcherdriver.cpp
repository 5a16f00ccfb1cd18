#include "connection/searcherdriver.h"

#include "process/eventlog.h"
#include "quetzal/steadyclock.h"

#include <algorithm>

namespace quetzal {

static constexpr int statusOk = 200;
static constexpr int statusError = 500;
static constexpr const char *attemptField = "X-Quetzal-Attempt";
static constexpr const char *verdictField = "X-Quetzal-Verdict";
static constexpr const char *reasonField = "X-Quetzal-Reason";
static constexpr const char *drainingField = "X-Quetzal-Draining";
// Number of status periods after which an unanswered status request is repeated on a new
// connection.
static constexpr double statusTimeoutPeriods = 2;

SearcherDriver::SearcherDriver(RelayContext &context, const std::string &address,
                               const SearcherLimits &limits)
    : context(context)
    , address(address)
    , id{ stableHash(address) }
    , queue(limits, RelayOptions())
{
    this->currentReport.searcher = this->id;
}

SearcherDriver::~SearcherDriver()
{
    *this->alive = false;
    for (const auto &[number, connection] : this->connections)
        connection->close();
    if (this->statusConnection)
        this->statusConnection->close();
    this->context.loop.cancel(this->timer);
    this->context.loop.cancel(this->statusTimer);
}

void SearcherDriver::submit(const RelayWork &work, Millis deadline)
{
    const WorkKey key = { work.entry, { work.batch->query, work.item.ordinal } };
    if (this->pendingWork.contains(key))
        return;
    this->pendingWork[key] = work;
    this->context.metrics.add(Counter::RelayWork);
    RelayActions actions;
    this->queue.submit({ key, deadline, work.batch->repeatable }, SteadyClock::now(), actions);
    this->perform(actions);
}

void SearcherDriver::cancel(HostId entry, const AttemptId &attempt)
{
    RelayActions actions;
    this->queue.cancel({ entry, attempt }, SteadyClock::now(), actions);
    this->perform(actions);
}

void SearcherDriver::onPaused()
{
    RelayActions actions;
    this->queue.onPaused(SteadyClock::now(), actions);
    this->perform(actions);
}

void SearcherDriver::perform(const RelayActions &actions)
{
    for (const RelayAction &action : actions) {
        switch (action.kind) {
        case RelayActionKind::Open:
            this->openConnection(action.connection);
            break;
        case RelayActionKind::Send:
            this->sendWork(action.connection, action.work);
            break;
        case RelayActionKind::Probe:
            this->connections.at(action.connection)->send("GET", "/status", {}, {});
            break;
        case RelayActionKind::Close:
            if (const auto found = this->connections.find(action.connection);
                found != this->connections.end()) {
                found->second->close();
                this->connections.erase(found);
            }
            this->workOnConnection.erase(action.connection);
            break;
        case RelayActionKind::Report:
            this->reportWork(action.work, action.outcome);
            break;
        }
    }
    const std::uint64_t silent = this->queue.silentConnections();
    if (silent > this->countedSilentConnections) {
        this->context.metrics.add(Counter::SilentConnections,
                                  silent - this->countedSilentConnections);
        logEvent(LogEvent::SilentConnections,
                 "searcher=" + this->address
                         + " count=" + std::to_string(silent - this->countedSilentConnections));
        this->countedSilentConnections = silent;
    }
    this->armTimer();
}

void SearcherDriver::openConnection(ConnectionNumber number)
{
    this->context.metrics.add(Counter::Connects);
    const std::weak_ptr<bool> weakAlive = this->alive;
    HttpClientCallbacks callbacks;
    callbacks.onConnected = [this, weakAlive, number] {
        if (weakAlive.expired())
            return;
        RelayActions actions;
        this->queue.onConnected(number, SteadyClock::now(), actions);
        this->perform(actions);
    };
    callbacks.onResponse = [this, weakAlive, number](const HttpResponse &response) {
        if (!weakAlive.expired())
            this->onResponse(number, response);
    };
    callbacks.onClosed = [this, weakAlive, number](bool bytesSent) {
        if (weakAlive.expired())
            return;
        this->connections.erase(number);
        this->workOnConnection.erase(number);
        RelayActions actions;
        this->queue.onClosed(number, bytesSent, SteadyClock::now(), actions);
        this->perform(actions);
    };
    if (auto connection = this->connect(callbacks))
        this->connections[number] = std::move(connection);
}

std::shared_ptr<HttpClient> SearcherDriver::connect(const HttpClientCallbacks &callbacks)
{
    try {
        return HttpClient::connect(this->context.loop, this->address, callbacks);
    } catch (const std::exception &) {
        // The address cannot be parsed. Posted, because the failure of a connection is reported
        // after this function has returned.
        this->context.loop.post([onClosed = callbacks.onClosed] { onClosed(false); });
        return nullptr;
    }
}

void SearcherDriver::sendWork(ConnectionNumber number, const WorkKey &key)
{
    RelayWork &work = this->pendingWork.at(key);
    const SubRequests &batch = *work.batch;
    const Millis now = SteadyClock::now();
    work.sentAt = now;
    work.span = this->context.spans.next();
    this->workOnConnection[number] = key;
    this->context.metrics.add(Timing::RelayQueue, now - work.arrivedAt);
    const Millis remaining = Millis(work.item.budgetMs) - (now - work.arrivedAt);
    std::vector<HttpField> fields = {
        { "X-Quetzal-Request-Id", batch.request.requestId },
        { attemptField, std::to_string(key.entry.value) + "-"
                                + std::to_string(key.attempt.query.value) + "-"
                                + std::to_string(key.attempt.ordinal) },
        { "X-Quetzal-Deadline-Ms", std::to_string(remaining.count()) },
    };
    if (batch.version.value != 0) {
        fields.push_back({ "X-Quetzal-Version", std::to_string(batch.version.value) });
        fields.push_back({ "X-Quetzal-Shard", std::to_string(work.item.shard) });
        fields.push_back({ "X-Quetzal-Limit", std::to_string(batch.request.limit) });
    }
    if (!batch.request.contentType.empty())
        fields.push_back({ "Content-Type", batch.request.contentType });
    if (batch.trace.sampled) {
        TraceContext context = batch.trace;
        context.span = work.span;
        fields.push_back({ "traceparent", formatTraceparent(context) });
    }
    this->connections.at(number)->send(batch.request.method, batch.request.target, fields,
                                       batch.request.body);
}

void SearcherDriver::onResponse(ConnectionNumber number, const HttpResponse &response)
{
    if (this->workOnConnection.contains(number)) {
        this->finishWork(number, response);
        return;
    }
    if (const auto status = parseSearcherStatus(response.body))
        this->updateReport(*status);
    RelayActions actions;
    this->queue.onProbeReply(number, SteadyClock::now(), actions);
    this->perform(actions);
}

void SearcherDriver::finishWork(ConnectionNumber number, const HttpResponse &response)
{
    const WorkKey key = this->workOnConnection.at(number);
    this->workOnConnection.erase(number);
    const Millis now = SteadyClock::now();
    AttemptResult result = this->readAnswer(this->pendingWork.at(key), response);
    RelayActions actions;
    this->queue.onReply(number, now, actions);
    if (response.head.has(drainingField) && !this->reportedDraining) {
        this->reportedDraining = true;
        this->applyDraining();
    }
    this->finishAttempt(key, std::move(result));
    this->perform(actions);
}

AttemptResult SearcherDriver::readAnswer(const RelayWork &work, const HttpResponse &response)
{
    AttemptResult result;
    result.id = { work.batch->query, work.item.ordinal };
    result.serviceTime = SteadyClock::now() - work.sentAt;
    const std::string expected = std::to_string(work.entry.value) + "-"
                                 + std::to_string(result.id.query.value) + "-"
                                 + std::to_string(result.id.ordinal);
    const int status = response.head.getStatus();
    if (response.head.get(attemptField, "") != expected) {
        // The answer belongs to another attempt and must not be forwarded.
        this->context.metrics.add(Counter::ReplyMismatches);
        logEvent(LogEvent::ReplyMismatch, "searcher=" + this->address + " attempt=" + expected);
        result.outcome = { Verdict::MayHaveRun, Fault::ReplyMismatch, Hop::Relay };
        return result;
    }
    if (response.head.get(verdictField, "") == nameOf(Verdict::NotRun)) {
        this->readRefusal(response, result);
        return result;
    }
    if (work.batch->version.value == 0) {
        result.answer.status = static_cast<std::uint32_t>(status);
        result.answer.body = response.body;
        result.outcome = { Verdict::Ran, {}, Hop::Searcher };
        if (status >= statusError)
            result.outcome = { Verdict::MayHaveRun, Fault::SearcherError, Hop::Searcher };
        return result;
    }
    if (status != statusOk) {
        result.outcome = { Verdict::MayHaveRun, Fault::SearcherError, Hop::Searcher };
        return result;
    }
    this->readSearch(work, response, result);
    return result;
}

void SearcherDriver::readSearch(const RelayWork &work, const HttpResponse &response,
                                AttemptResult &result)
{
    std::optional<SearchReply> reply = parseSearchReply(response.body);
    if (!reply) {
        result.outcome = { Verdict::Ran, Fault::SearcherError, Hop::Relay };
        return;
    }
    const bool matches = reply->answer.version == work.batch->version
                         && reply->answer.shard == work.item.shard;
    if (!matches) {
        this->context.metrics.add(Counter::ReplyMismatches);
        logEvent(LogEvent::ReplyMismatch,
                 "searcher=" + this->address + " shard=" + std::to_string(reply->answer.shard)
                         + " version=" + std::to_string(reply->answer.version.value));
        result.outcome = { Verdict::Ran, Fault::ReplyMismatch, Hop::Relay };
        return;
    }
    result.answer = std::move(reply->answer);
    result.outcome = { Verdict::Ran, {}, Hop::Searcher };
}

void SearcherDriver::readRefusal(const HttpResponse &response, AttemptResult &result)
{
    Fault fault = Fault::Shed;
    const std::string reason = response.head.get(reasonField, "");
    for (const Fault candidate :
         { Fault::VersionMissing, Fault::Draining, Fault::DeadlinePassed }) {
        if (make_error_code(candidate).message() == reason)
            fault = candidate;
    }
    result.outcome = { Verdict::NotRun, fault, Hop::Searcher };
    if (fault == Fault::VersionMissing) {
        if (const auto status = parseSearcherStatus(response.body)) {
            result.holdings = status->holdings;
            this->updateReport(*status);
        }
    }
}

void SearcherDriver::reportWork(const WorkKey &key, const Outcome &outcome)
{
    if (!this->pendingWork.contains(key))
        return;
    AttemptResult result;
    result.id = key.attempt;
    result.outcome = outcome;
    this->finishAttempt(key, std::move(result));
}

void SearcherDriver::finishAttempt(const WorkKey &key, AttemptResult result)
{
    const RelayWork work = std::move(this->pendingWork.at(key));
    this->pendingWork.erase(key);
    const Millis now = SteadyClock::now();
    if (result.outcome.succeeded())
        this->context.metrics.add(Timing::Service, result.serviceTime);
    if (result.outcome.verdict == Verdict::NotRun)
        this->context.metrics.add(Counter::RelayNotRun);
    if (result.outcome.verdict == Verdict::MayHaveRun)
        this->context.metrics.add(Counter::RelayMayHaveRun);
    if (work.batch->trace.sampled) {
        Span relay;
        relay.parent = work.batch->trace;
        relay.id = this->context.spans.next();
        relay.name = "relay";
        relay.start = work.arrivedAt;
        relay.end = now;
        relay.attributes = { { "shard", std::to_string(work.item.shard) },
                             { "verdict", std::string(nameOf(result.outcome.verdict)) },
                             { "reason", result.outcome.code.message() } };
        if (work.span != 0) {
            Span searcher;
            searcher.parent = work.batch->trace;
            searcher.parent.span = relay.id;
            searcher.id = work.span;
            searcher.name = "searcher";
            searcher.start = work.sentAt;
            searcher.end = now;
            searcher.attributes = { { "searcher", this->address } };
            this->context.traces.write(std::move(searcher));
        }
        this->context.traces.write(std::move(relay));
    }
    this->context.reply(work.entry, std::move(result));
}

void SearcherDriver::armTimer()
{
    const Millis next = this->queue.nextTimer();
    if (next == this->timerAt)
        return;
    this->context.loop.cancel(this->timer);
    this->timerAt = next;
    if (next == Millis::never())
        return;
    this->timer = this->context.loop.schedule(next, [this] {
        this->timerAt = Millis::never();
        RelayActions actions;
        this->queue.onTimer(SteadyClock::now(), actions);
        this->perform(actions);
    });
}

void SearcherDriver::setOwned(bool nowOwned)
{
    if (nowOwned == this->owned)
        return;
    this->owned = nowOwned;
    if (nowOwned) {
        this->pollStatus();
        return;
    }
    this->context.loop.cancel(this->statusTimer);
    if (this->statusConnection)
        this->statusConnection->close();
    this->statusConnection.reset();
    this->statusPending = false;
    RelayActions actions;
    this->queue.closeIdle(actions);
    this->perform(actions);
}

void SearcherDriver::pollStatus()
{
    const Millis now = SteadyClock::now();
    // Spreads the polls of different searchers over time. The span id serves as a random number.
    const double jitter = 0.8 + 0.4 * static_cast<double>(this->context.spans.next() % 1000) / 1000;
    this->statusTimer = this->context.loop.schedule(now + this->context.statusPeriod * jitter,
                                                    [this] { this->pollStatus(); });
    if (this->statusPending
        && now - this->statusSentAt < this->context.statusPeriod * statusTimeoutPeriods)
        return;
    if (this->statusPending && this->statusConnection) {
        this->statusConnection->close();
        this->statusConnection.reset();
    }
    this->statusPending = true;
    this->statusSentAt = now;
    if (this->statusConnection) {
        this->statusConnection->send("GET", "/status", {}, {});
        return;
    }
    const std::weak_ptr<bool> weakAlive = this->alive;
    HttpClientCallbacks callbacks;
    callbacks.onConnected = [this, weakAlive] {
        if (!weakAlive.expired() && this->statusConnection)
            this->statusConnection->send("GET", "/status", {}, {});
    };
    callbacks.onResponse = [this, weakAlive](const HttpResponse &response) {
        if (!weakAlive.expired())
            this->onStatus(response);
    };
    callbacks.onClosed = [this, weakAlive](bool) {
        if (weakAlive.expired())
            return;
        this->statusConnection.reset();
        this->statusPending = false;
        if (!this->statusLost)
            logEvent(LogEvent::SearcherStatusLost, "searcher=" + this->address);
        this->statusLost = true;
    };
    this->statusConnection = this->connect(callbacks);
}

void SearcherDriver::onStatus(const HttpResponse &response)
{
    this->statusPending = false;
    this->statusLost = false;
    const auto status = parseSearcherStatus(response.body);
    if (!status)
        return;
    this->reportedDraining = status->draining;
    this->updateReport(*status);
    this->applyDraining();
}

void SearcherDriver::updateReport(const SearcherStatus &status)
{
    SearcherReport next = this->currentReport;
    next.holdings = status.holdings;
    next.draining = this->reportedDraining || status.draining;
    if (next == this->currentReport)
        return;
    this->currentReport = next;
    this->context.report(this->currentReport);
}

void SearcherDriver::setLeaving(bool nowLeaving)
{
    this->leaving = nowLeaving;
    this->applyDraining();
}

void SearcherDriver::applyDraining()
{
    const bool draining = this->leaving || this->reportedDraining;
    if (this->currentReport.draining != this->reportedDraining) {
        this->currentReport.draining = this->reportedDraining;
        this->context.report(this->currentReport);
    }
    if (draining == this->drainApplied)
        return;
    this->drainApplied = draining;
    logEvent(draining ? LogEvent::SearcherDrain : LogEvent::SearcherReturned,
             "searcher=" + this->address
                     + " source=" + (this->reportedDraining ? "searcher" : "platform"));
    RelayActions actions;
    this->queue.setDraining(draining, SteadyClock::now(), actions);
    this->perform(actions);
}

} // namespace quetzal
