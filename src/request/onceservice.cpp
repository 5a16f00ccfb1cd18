#include "request/onceservice.h"

#include "quetzal/fault.h"
#include "quetzal/steadyclock.h"

#include <algorithm>
#include <chrono>

namespace quetzal {

// Hosts that remember an id: its owner and the next ones in rank.
static constexpr std::size_t holders = 3;
static constexpr std::size_t recordsPerMessage = 64;
static constexpr Millis sweepPeriod = Millis(5000);
// Beyond the deadline, for an answer that is on its way.
static constexpr Millis answerAllowance = Millis(50);
static constexpr std::uint32_t statusBadGateway = 502;
static constexpr std::uint32_t statusTimeout = 504;

static OnceAnswer unclear(std::uint32_t status, Fault fault)
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
    , directory(SteadyClock::now())
    // Claims of different lives of a host differ.
    , lastClaim(static_cast<std::uint64_t>(
              std::chrono::system_clock::now().time_since_epoch().count()))
{
    this->loop.schedule(SteadyClock::now() + sweepPeriod, [this] { this->sweep(); });
}

void OnceService::sweep()
{
    this->directory.sweep(SteadyClock::now());
    this->loop.schedule(SteadyClock::now() + sweepPeriod, [this] { this->sweep(); });
}

std::vector<HostId> OnceService::othersFor(const std::string &key) const
{
    std::vector<HostId> others;
    const std::uint64_t hash = stableHash(key);
    for (std::size_t rank = 0; others.size() + 1 < holders; ++rank) {
        const HostId host = this->ownership.ownerOfRequest(hash, rank);
        if (host == HostId())
            break;
        if (host != this->self)
            others.push_back(host);
    }
    return others;
}

void OnceService::forward(const std::shared_ptr<HttpExchange> &exchange, OnceMessage message)
{
    const std::uint64_t token = ++this->lastToken;
    Pending &entry = this->pending[token];
    entry.exchange = exchange;
    entry.requestId = message.request.requestId;
    entry.owner = this->ownership.ownerOfRequest(stableHash(message.key));
    const Millis end = SteadyClock::now() + Millis(message.budgetMs) + answerAllowance;
    entry.timer = this->loop.schedule(end, [this, token] {
        this->answerCaller(token, unclear(statusTimeout, Fault::DeadlinePassed));
    });
    message.kind = OnceKind::Forward;
    message.loop = this->loopIndex;
    message.token = token;
    this->hooks.send(entry.owner, std::move(message));
}

void OnceService::answerCaller(std::uint64_t token, const OnceAnswer &answer)
{
    const auto found = this->pending.find(token);
    if (found == this->pending.end())
        return;
    const Pending entry = std::move(found->second);
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
    case OnceKind::Forward:
        this->onForward(from, message, stale);
        break;
    case OnceKind::Answer:
        this->onAnswer(message);
        break;
    case OnceKind::Claim:
        this->onClaim(from, message);
        break;
    case OnceKind::Claimed: {
        std::optional<OnceRecord> record;
        if (message.known && !message.records.empty())
            record = message.records.front();
        this->act(message.key,
                  this->directory.onClaimed(message.key, from, record, message.settled, now));
        break;
    }
    case OnceKind::Records:
        for (const OnceRecord &record : message.records)
            this->directory.learn(record, now);
        break;
    case OnceKind::Release:
        this->directory.release(message.key, message.claim);
        break;
    }
}

void OnceService::onClaim(HostId from, const OnceMessage &message)
{
    const Millis now = SteadyClock::now();
    OnceMessage reply;
    reply.kind = OnceKind::Claimed;
    reply.key = message.key;
    reply.settled = this->directory.settled(now);
    if (const auto record = this->directory.claim(message.key, message.claim, now)) {
        reply.known = true;
        reply.records.push_back(*record);
    }
    this->hooks.send(from, std::move(reply));
}

OnceAnswer OnceService::knownAnswer(const std::string &key) const
{
    const auto record = this->directory.find(key);
    if (record && record->state == OnceState::Done)
        return record->answer;
    return unclear(statusBadGateway, Fault::Unvouched);
}

void OnceService::onForward(HostId from, const OnceMessage &message, bool stale)
{
    const Waiter waiter = { from, message.loop, message.token };
    if (stale) {
        // Another host may have run it while this one was paused.
        this->tell(waiter, unclear(statusBadGateway, Fault::ProcessPaused));
        return;
    }
    const auto open = this->owned.find(message.key);
    if (open != this->owned.end()) {
        open->second.waiters.push_back(waiter);
        return;
    }
    const std::vector<HostId> others = this->othersFor(message.key);
    const Millis now = SteadyClock::now();
    const std::uint64_t claimId = stableHash(this->self.value, ++this->lastClaim);
    const OnceDecision decision = this->directory.begin(message.key, claimId, others, now);
    if (decision == OnceDecision::Known) {
        this->tell(waiter, this->knownAnswer(message.key));
        return;
    }
    Owned &entry = this->owned[message.key];
    entry.forward = message;
    entry.waiters.push_back(waiter);
    entry.claimedAt = others;
    entry.claim = claimId;
    entry.arrivedAt = now;
    if (decision == OnceDecision::Wait) {
        for (const HostId host : others) {
            OnceMessage claim;
            claim.kind = OnceKind::Claim;
            claim.key = message.key;
            claim.claim = claimId;
            this->hooks.send(host, std::move(claim));
        }
        entry.timer
                = this->loop.schedule(now + OnceDirectory::claimTime, [this, key = message.key] {
                      this->act(key, this->directory.onClaimTimeout(key, SteadyClock::now()));
                  });
    }
    this->act(message.key, decision);
}

void OnceService::act(const std::string &key, OnceDecision decision)
{
    if (!this->owned.contains(key))
        return;
    switch (decision) {
    case OnceDecision::Wait:
        return;
    case OnceDecision::Run:
        this->runOwned(key);
        return;
    case OnceDecision::Known:
    case OnceDecision::Unvouched:
        this->answerWaiters(key, this->knownAnswer(key));
        return;
    }
}

void OnceService::runOwned(const std::string &key)
{
    Owned &entry = this->owned.at(key);
    this->loop.cancel(entry.timer);
    entry.forward.budgetMs -= (SteadyClock::now() - entry.arrivedAt).count();
    this->hooks.run(entry.forward,
                    [this, key](const HttpAnswer &answer) { this->endOwned(key, answer); });
}

static std::string verdictOf(const HttpAnswer &answer)
{
    for (const HttpField &field : answer.fields) {
        if (field.name == "X-Quetzal-Verdict")
            return field.value;
    }
    return std::string(nameOf(Verdict::MayHaveRun));
}

void OnceService::endOwned(const std::string &key, const HttpAnswer &answer)
{
    OnceAnswer result;
    result.status = static_cast<std::uint32_t>(answer.status);
    result.verdict = verdictOf(answer);
    result.body = answer.body;
    const bool notRun = result.verdict == nameOf(Verdict::NotRun);
    this->directory.finish(key, result, notRun);
    const Owned &entry = this->owned.at(key);
    for (const HostId host : entry.claimedAt) {
        OnceMessage news;
        news.key = key;
        news.claim = entry.claim;
        news.kind = notRun ? OnceKind::Release : OnceKind::Records;
        if (!notRun)
            news.records.push_back({ key, entry.claim, OnceState::Done, result });
        this->hooks.send(host, std::move(news));
    }
    this->answerWaiters(key, result);
}

void OnceService::answerWaiters(const std::string &key, const OnceAnswer &answer)
{
    const Owned entry = std::move(this->owned.at(key));
    this->owned.erase(key);
    this->loop.cancel(entry.timer);
    for (const Waiter &waiter : entry.waiters)
        this->tell(waiter, answer);
}

void OnceService::tell(const Waiter &waiter, const OnceAnswer &answer)
{
    OnceMessage message;
    message.kind = OnceKind::Answer;
    message.loop = waiter.loop;
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
        this->answerCaller(token, unclear(statusBadGateway, Fault::RelayLost));
}

void OnceService::onOwnership(const Ownership &next)
{
    const Ownership before = std::move(this->ownership);
    this->ownership = next;
    std::map<HostId, std::vector<OnceRecord>> missing;
    for (const OnceRecord &record : this->directory.records()) {
        const std::uint64_t hash = stableHash(record.key);
        std::vector<HostId> had;
        for (std::size_t rank = 0; rank < holders; ++rank)
            had.push_back(before.ownerOfRequest(hash, rank));
        for (std::size_t rank = 0; rank < holders; ++rank) {
            const HostId host = next.ownerOfRequest(hash, rank);
            // A later life of a host remembers nothing of the earlier one.
            const bool isNew = std::find(had.begin(), had.end(), host) == had.end()
                               || next.incarnationOf(host) != before.incarnationOf(host);
            if (isNew && host != HostId() && host != this->self)
                missing[host].push_back(record);
        }
    }
    for (auto &[host, records] : missing) {
        for (std::size_t at = 0; at < records.size(); at += recordsPerMessage) {
            OnceMessage message;
            message.kind = OnceKind::Records;
            const std::size_t end = std::min(records.size(), at + recordsPerMessage);
            message.records.assign(records.begin() + static_cast<std::ptrdiff_t>(at),
                                   records.begin() + static_cast<std::ptrdiff_t>(end));
            this->hooks.send(host, std::move(message));
        }
    }
}

} // namespace quetzal
