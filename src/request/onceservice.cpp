#include "request/onceservice.h"

#include "quetzal/fault.h"
#include "quetzal/steadyclock.h"

#include <algorithm>
#include <chrono>

namespace quetzal {

// Number of hosts that hold the record of a request id: the owner and the next ones in rank.
static constexpr std::size_t recordReplicas = 3;
static constexpr std::size_t recordsPerMessage = 64;
static constexpr Millis sweepPeriod = Millis(5000);
// Time beyond the deadline for which an answer that is still in transit is awaited.
static constexpr Millis answerTransitTime = Millis(50);
static constexpr std::uint32_t statusBadGateway = 502;
static constexpr std::uint32_t statusTimeout = 504;

// Returns an error answer that says that the request may have run.
static OnceAnswer mayHaveRunAnswer(std::uint32_t status, Fault fault)
{
    OnceAnswer answer;
    answer.status = status;
    answer.verdict = std::string(nameOf(Verdict::MayHaveRun));
    answer.body = "{\"error\":\"" + make_error_code(fault).message() + "\",\"verdict\":\""
                  + answer.verdict + "\"}";
    return answer;
}

OnceService::OnceService(EventLoop &loop, HostId self, std::uint64_t loopIndex, OnceHooks hooks)
    : loop(loop)
    , self(self)
    , loopIndex(loopIndex)
    , hooks(std::move(hooks))
    , registry(SteadyClock::now())
    // Starts at the wall-clock time, so that claim ids do not repeat after a restart of the host.
    , lastClaimNumber(static_cast<std::uint64_t>(
              std::chrono::system_clock::now().time_since_epoch().count()))
{
    this->loop.schedule(SteadyClock::now() + sweepPeriod, [this] { this->sweep(); });
}

void OnceService::sweep()
{
    this->loop.schedule(SteadyClock::now() + sweepPeriod, [this] { this->sweep(); });
    this->registry.removeExpired(SteadyClock::now());
}

std::vector<HostId> OnceService::replicasFor(const std::string &key) const
{
    std::vector<HostId> replicas;
    const std::uint64_t hash = stableHash(key);
    for (std::size_t rank = 0; replicas.size() + 1 < recordReplicas; ++rank) {
        const HostId host = this->ownership.ownerOfRequest(hash, rank);
        if (host == HostId())
            break;
        if (host != this->self)
            replicas.push_back(host);
    }
    return replicas;
}

void OnceService::forward(const std::shared_ptr<HttpExchange> &exchange, OnceMessage message)
{
    const std::uint64_t token = ++this->lastToken;
    PendingRequest &entry = this->pending[token];
    entry.exchange = exchange;
    entry.requestId = message.request.requestId;
    entry.owner = this->ownership.ownerOfRequest(stableHash(message.key));
    const Millis end = SteadyClock::now() + Millis(message.budgetMs) + answerTransitTime;
    entry.timer = this->loop.schedule(end, [this, token] {
        this->answerCaller(token, mayHaveRunAnswer(statusTimeout, Fault::DeadlinePassed));
    });
    message.kind = OnceMessageKind::Forward;
    message.loopIndex = this->loopIndex;
    message.token = token;
    this->hooks.send(entry.owner, std::move(message));
}

void OnceService::answerCaller(std::uint64_t token, const OnceAnswer &answer)
{
    const auto found = this->pending.find(token);
    if (found == this->pending.end())
        return;
    const PendingRequest entry = std::move(found->second);
    this->pending.erase(found);
    this->loop.cancel(entry.timer);
    std::vector<HttpField> fields = { { "X-Quetzal-Request-Id", entry.requestId },
                                      { "X-Quetzal-Verdict", answer.verdict } };
    if (answer.verdict == nameOf(Verdict::NotRun))
        fields.push_back({ "Retry-After", "1" });
    entry.exchange->respond(static_cast<int>(answer.status), fields, answer.body);
}

void OnceService::onMessage(HostId from, const OnceMessage &message, bool stale)
{
    const Millis now = SteadyClock::now();
    switch (message.kind) {
    case OnceMessageKind::Forward:
        this->onForward(from, message, stale);
        break;
    case OnceMessageKind::Answer:
        this->onAnswer(message);
        break;
    case OnceMessageKind::Claim:
        this->onClaim(from, message);
        break;
    case OnceMessageKind::ClaimReply: {
        std::optional<OnceRecord> record;
        if (message.hasRecord && !message.records.empty())
            record = message.records.front();
        this->applyDecision(message.key, this->registry.onClaimReply(message.key, from, record,
                                                                     message.synced, now));
        break;
    }
    case OnceMessageKind::Records:
        for (const OnceRecord &record : message.records)
            this->registry.addRecord(record, now);
        break;
    case OnceMessageKind::Release:
        this->registry.releaseClaim(message.key, message.claimId);
        break;
    }
}

void OnceService::onClaim(HostId from, const OnceMessage &message)
{
    const Millis now = SteadyClock::now();
    OnceMessage reply;
    reply.kind = OnceMessageKind::ClaimReply;
    reply.key = message.key;
    reply.synced = this->registry.isSynced(now);
    if (const auto record = this->registry.onClaim(message.key, message.claimId, now)) {
        reply.hasRecord = true;
        reply.records.push_back(*record);
    }
    this->hooks.send(from, std::move(reply));
}

OnceAnswer OnceService::recordedAnswer(const std::string &key) const
{
    const auto record = this->registry.find(key);
    if (record && record->state == OnceState::Done)
        return record->answer;
    return mayHaveRunAnswer(statusBadGateway, Fault::Unvouched);
}

void OnceService::onForward(HostId from, const OnceMessage &message, bool stale)
{
    const Waiter waiter = { from, message.loopIndex, message.token };
    if (stale) {
        // Another host may have become the owner and run it while this process was paused.
        this->sendAnswer(waiter, mayHaveRunAnswer(statusBadGateway, Fault::ProcessPaused));
        return;
    }
    const auto running = this->owned.find(message.key);
    if (running != this->owned.end()) {
        running->second.waiters.push_back(waiter);
        return;
    }
    const std::vector<HostId> replicas = this->replicasFor(message.key);
    const Millis now = SteadyClock::now();
    const std::uint64_t claimId = stableHash(this->self.value, ++this->lastClaimNumber);
    const OnceDecision decision = this->registry.begin(message.key, claimId, replicas, now);
    if (decision == OnceDecision::AlreadyRecorded) {
        this->sendAnswer(waiter, this->recordedAnswer(message.key));
        return;
    }
    OwnedRequest &entry = this->owned[message.key];
    entry.forwardMessage = message;
    entry.waiters.push_back(waiter);
    entry.claimHosts = replicas;
    entry.claimId = claimId;
    entry.arrivedAt = now;
    if (decision == OnceDecision::Wait) {
        for (const HostId host : replicas) {
            OnceMessage claim;
            claim.kind = OnceMessageKind::Claim;
            claim.key = message.key;
            claim.claimId = claimId;
            this->hooks.send(host, std::move(claim));
        }
        entry.timer = this->loop.schedule(now + OnceRegistry::claimTimeout, [this,
                                                                             key = message.key] {
            this->applyDecision(key, this->registry.onClaimTimeout(key, SteadyClock::now()));
        });
    }
    this->applyDecision(message.key, decision);
}

void OnceService::applyDecision(const std::string &key, OnceDecision decision)
{
    if (!this->owned.contains(key))
        return;
    switch (decision) {
    case OnceDecision::Wait:
        return;
    case OnceDecision::Run:
        this->runRequest(key);
        return;
    case OnceDecision::AlreadyRecorded:
    case OnceDecision::Unconfirmed:
        // Without a confirmation that the id is new, an earlier request with it may have run;
        // recordedAnswer() says so.
        this->answerWaiters(key, this->recordedAnswer(key));
        return;
    }
}

void OnceService::runRequest(const std::string &key)
{
    OwnedRequest &entry = this->owned.at(key);
    this->loop.cancel(entry.timer);
    entry.forwardMessage.budgetMs -= (SteadyClock::now() - entry.arrivedAt).count();
    this->hooks.run(entry.forwardMessage,
                    [this, key](const HttpAnswer &answer) { this->finishRequest(key, answer); });
}

// Returns the verdict in an answer's header fields. Without one, the request may have run.
static std::string verdictOf(const HttpAnswer &answer)
{
    for (const HttpField &field : answer.fields) {
        if (field.name == "X-Quetzal-Verdict")
            return field.value;
    }
    return std::string(nameOf(Verdict::MayHaveRun));
}

void OnceService::finishRequest(const std::string &key, const HttpAnswer &answer)
{
    OnceAnswer result;
    result.status = static_cast<std::uint32_t>(answer.status);
    result.verdict = verdictOf(answer);
    result.body = answer.body;
    const bool notRun = result.verdict == nameOf(Verdict::NotRun);
    this->registry.finish(key, result, notRun);
    const OwnedRequest &entry = this->owned.at(key);
    for (const HostId host : entry.claimHosts) {
        OnceMessage update;
        update.key = key;
        update.claimId = entry.claimId;
        update.kind = notRun ? OnceMessageKind::Release : OnceMessageKind::Records;
        if (!notRun)
            update.records.push_back({ key, entry.claimId, OnceState::Done, result });
        this->hooks.send(host, std::move(update));
    }
    this->answerWaiters(key, result);
}

void OnceService::answerWaiters(const std::string &key, const OnceAnswer &answer)
{
    const OwnedRequest entry = std::move(this->owned.at(key));
    this->owned.erase(key);
    this->loop.cancel(entry.timer);
    for (const Waiter &waiter : entry.waiters)
        this->sendAnswer(waiter, answer);
}

void OnceService::sendAnswer(const Waiter &waiter, const OnceAnswer &answer)
{
    OnceMessage message;
    message.kind = OnceMessageKind::Answer;
    message.loopIndex = waiter.loop;
    message.token = waiter.token;
    message.answer = answer;
    this->hooks.send(waiter.host, std::move(message));
}

void OnceService::onAnswer(const OnceMessage &message)
{
    this->answerCaller(message.token, message.answer);
}

void OnceService::onHostLost(HostId host)
{
    std::vector<std::uint64_t> lost;
    for (const auto &[token, entry] : this->pending) {
        if (entry.owner == host)
            lost.push_back(token);
    }
    for (const std::uint64_t token : lost)
        this->answerCaller(token, mayHaveRunAnswer(statusBadGateway, Fault::RelayLost));
}

void OnceService::onOwnershipChanged(const Ownership &next)
{
    const Ownership previous = std::move(this->ownership);
    this->ownership = next;
    std::map<HostId, std::vector<OnceRecord>> recordsByHost;
    for (const OnceRecord &record : this->registry.records()) {
        const std::uint64_t hash = stableHash(record.key);
        std::vector<HostId> previousReplicas;
        for (std::size_t rank = 0; rank < recordReplicas; ++rank)
            previousReplicas.push_back(previous.ownerOfRequest(hash, rank));
        for (std::size_t rank = 0; rank < recordReplicas; ++rank) {
            const HostId host = next.ownerOfRequest(hash, rank);
            // A host that was restarted has lost its records.
            const bool isNew = std::find(previousReplicas.begin(), previousReplicas.end(), host)
                                       == previousReplicas.end()
                               || next.incarnationOf(host) != previous.incarnationOf(host);
            if (isNew && host != HostId() && host != this->self)
                recordsByHost[host].push_back(record);
        }
    }
    for (auto &[host, records] : recordsByHost) {
        for (std::size_t offset = 0; offset < records.size(); offset += recordsPerMessage) {
            OnceMessage message;
            message.kind = OnceMessageKind::Records;
            const std::size_t end = std::min(records.size(), offset + recordsPerMessage);
            message.records.assign(records.begin() + static_cast<std::ptrdiff_t>(offset),
                                   records.begin() + static_cast<std::ptrdiff_t>(end));
            this->hooks.send(host, std::move(message));
        }
    }
}

} // namespace quetzal
