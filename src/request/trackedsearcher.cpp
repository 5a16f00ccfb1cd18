#include "request/trackedsearcher.h"

#include "quetzal/fault.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

static constexpr double latencyGain = 0.25;
static constexpr double refusalGain = 0.2;
static constexpr double coldFactor = 1.6;
// An estimate that nobody refreshes returns to the usual one.
static constexpr Millis estimateHalfLife = Millis(1500);
static constexpr Millis refusalHalfLife = Millis(1000);
static constexpr Millis loadFreshness = Millis(40);
// An attempt open for longer than both is taken as a sign of a pause.
static constexpr double stallFactor = 3;
static constexpr Millis shortestStall = Millis(30);
static constexpr Millis stallCost = Millis(150);
static constexpr Millis refusalCost = Millis(120);
static constexpr int failuresBeforeBackOff = 2;
static constexpr Millis firstBackOff = Millis(150);
static constexpr Millis longestBackOff = Millis(3000);

static double decayed(double value, Millis since, Millis halfLife)
{
    return value * std::exp2(-(since / halfLife));
}

TrackedSearcher::TrackedSearcher(const SearcherRegistration &registration, Millis distance,
                                 Millis now, Millis reluctance)
    : entry(registration)
    , idHash(static_cast<std::uint32_t>(stableHash(registration.id)))
    , roundTrip(distance)
    , zonePenalty(reluctance)
    , warmUntil(now + registration.warmup)
{}

void TrackedSearcher::update(const SearcherRegistration &next, Millis until)
{
    if (next.revision > this->entry.revision)
        this->replaced = false;
    this->entry = next;
    this->lastResortUntil = until;
}

Availability TrackedSearcher::availability(Millis now) const
{
    if (this->replaced)
        return Availability::Unavailable;
    if (this->entry.state == SearcherState::Ready)
        return Availability::Usable;
    return now < this->lastResortUntil ? Availability::LastResort : Availability::Unavailable;
}

void TrackedSearcher::onSent(const AttemptId &attempt, Millis typical, Millis now)
{
    this->pendingAttempts.push_back({ attempt, now, typical });
}

static bool countsAgainstSearcher(const std::error_code &code)
{
    return code == Fault::ConnectFailed || code == Fault::ConnectionReset
           || code == Fault::SilentConnection || code == Fault::SearcherError
           || code == Fault::ReplyMismatch;
}

void TrackedSearcher::onEnd(const AttemptId &attempt, const Outcome &outcome, Millis now)
{
    const auto found = std::find_if(this->pendingAttempts.begin(), this->pendingAttempts.end(),
                                    [&](const OpenAttempt &item) { return item.id == attempt; });
    if (found == this->pendingAttempts.end())
        return;
    const OpenAttempt ended = *found;
    this->pendingAttempts.erase(found);
    const bool refused = outcome.code == Fault::Shed;
    if (refused || outcome.succeeded()) {
        const double before
                = decayed(this->refusalRate, now - this->refusalRateAt, refusalHalfLife);
        this->refusalRate = before + ((refused ? 1 : 0) - before) * refusalGain;
        this->refusalRateAt = now;
    }
    if (outcome.code == Fault::WrongIncarnation) {
        this->replaced = true;
        return;
    }
    if (countsAgainstSearcher(outcome.code)) {
        this->recordFailure(now);
        return;
    }
    if (outcome.succeeded() || refused)
        this->consecutiveFailures = 0;
    if (outcome.succeeded() || outcome.code == Fault::Cancelled)
        this->recordLatency(ended, now - ended.sentAt, !outcome.succeeded(), now);
}

void TrackedSearcher::recordLatency(const OpenAttempt &attempt, Millis latency, bool isFloor,
                                    Millis now)
{
    const double usual = std::max(1.0, attempt.typicalLatency.count());
    const double ratio = std::max(0.0, (latency - this->roundTrip).count()) / usual;
    const double before = this->currentSlowness(now);
    if (isFloor && ratio < before)
        return;
    this->slowness = before + (std::min(ratio, 20.0) - before) * latencyGain;
    this->slownessAt = now;
}

void TrackedSearcher::recordFailure(Millis now)
{
    this->consecutiveFailures += 1;
    if (this->consecutiveFailures < failuresBeforeBackOff)
        return;
    const int doublings = std::min(this->consecutiveFailures - failuresBeforeBackOff, 6);
    this->backOffUntil = now + std::min(longestBackOff, firstBackOff * std::exp2(doublings));
}

void TrackedSearcher::onLoad(const LoadReport &report, Millis now)
{
    this->load = report;
    this->loadReceivedAt = now;
}

double TrackedSearcher::currentSlowness(Millis now) const
{
    return 1 + decayed(this->slowness - 1, now - this->slownessAt, estimateHalfLife);
}

bool TrackedSearcher::isStalled(Millis now) const
{
    return std::any_of(this->pendingAttempts.begin(), this->pendingAttempts.end(),
                       [&](const OpenAttempt &attempt) {
                           const Millis limit
                                   = std::max(shortestStall, attempt.typicalLatency * stallFactor
                                                                     + this->roundTrip);
                           return now - attempt.sentAt > limit;
                       });
}

bool TrackedSearcher::isBackedOff(Millis now) const
{
    if (now < this->backOffUntil)
        return true;
    return this->consecutiveFailures >= failuresBeforeBackOff && !this->pendingAttempts.empty();
}

Millis TrackedSearcher::cost(Millis typical, Millis now) const
{
    const double slots = std::max(1U, this->entry.slots);
    double ahead = static_cast<double>(this->pendingAttempts.size());
    if (now - this->loadReceivedAt < loadFreshness)
        ahead = std::max(ahead, static_cast<double>(this->load.running + this->load.waiting));
    Millis service = typical * std::max(0.3, this->currentSlowness(now));
    if (now < this->warmUntil)
        service = service * coldFactor;
    Millis cost = service + service * (std::max(0.0, ahead + 1 - slots) / slots) + this->roundTrip
                  + this->zonePenalty;
    // Half a slot's work is likelier to be in the way the more is open.
    cost += service * (0.1 * ahead);
    cost += refusalCost * decayed(this->refusalRate, now - this->refusalRateAt, refusalHalfLife);
    if (this->pendingAttempts.size() >= this->connectionLimit)
        cost += service;
    if (this->isStalled(now))
        cost += stallCost;
    return cost;
}

} // namespace quetzal
