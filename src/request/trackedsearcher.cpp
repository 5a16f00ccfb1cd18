#include "request/trackedsearcher.h"

#include "quetzal/fault.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

// Weights of a new sample in the averages of slowness and refusals.
static constexpr double latencyGain = 0.25;
static constexpr double refusalRateGain = 0.2;
// Factor on the service time during warm-up.
static constexpr double warmupFactor = 1.6;
// Without new samples, the slowness decays to 1 and the refusal rate to 0.
static constexpr Millis estimateHalfLife = Millis(1500);
static constexpr Millis refusalRateHalfLife = Millis(1000);
// As estimateHalfLife, for the slowness of a searcher that reports its load. Longer, because the
// share of the queue is left out, which changes faster. With 1.5 s and the queue included, a
// searcher that is always four times slower gets too much work (docs/design/even-load.md).
static constexpr Millis reportedEstimateHalfLife = Millis(5000);
// Weight of a new sample in the mean of the queue factor.
static constexpr double queueFactorGain = 0.05;
// Share of the service time that each request ahead costs even if slots should be free, because one
// of them may delay the attempt: without and with load reports.
static constexpr double requestAheadCost = 0.1;
static constexpr double reportedRequestAheadCost = 0.2;
// An attempt open for longer than minStallAge and than stallFactor times the typical latency plus
// the round trip indicates that the searcher is paused.
static constexpr double stallFactor = 3;
static constexpr Millis minStallAge = Millis(30);
// Costs of a stall, and of a refusal rate of 1.
static constexpr Millis stallCost = Millis(150);
static constexpr Millis refusalCost = Millis(120);
static constexpr int failuresBeforeBackOff = 2;
static constexpr Millis initialBackOff = Millis(150);
static constexpr Millis maxBackOff = Millis(3000);

static double decayed(double value, Millis since, Millis halfLife)
{
    return value * std::exp2(-(since / halfLife));
}

TrackedSearcher::TrackedSearcher(const SearcherRegistration &registration, Millis roundTrip,
                                 Millis now, Millis zonePenalty)
    : currentRegistration(registration)
    , idHash(static_cast<std::uint32_t>(stableHash(registration.id)))
    , roundTrip(roundTrip)
    , zonePenalty(zonePenalty)
    , warmUntil(now + registration.warmup)
{}

void TrackedSearcher::update(const SearcherRegistration &newRegistration, Millis lastResortUntil,
                             Millis now)
{
    // Revisions may go back when the registry is restored; each new one stands for a new statement.
    if (newRegistration.revision != this->currentRegistration.revision) {
        this->replaced = false;
        // A searcher may become cold again at any moment.
        if (newRegistration.warmup > Millis())
            this->warmUntil = now + newRegistration.warmup;
    }
    this->currentRegistration = newRegistration;
    this->lastResortUntil = lastResortUntil;
}

Millis TrackedSearcher::availableAt(Millis now) const
{
    const bool isExpected = !this->replaced && !this->evacuated && now >= this->leavingUntil
                            && this->currentRegistration.state == SearcherState::Ready;
    return isExpected ? std::max(now, this->pauseEnd) : Millis::never();
}

Availability TrackedSearcher::availability(Millis now) const
{
    if (this->evacuated || this->replaced || now < this->leavingUntil || now < this->pauseEnd)
        return Availability::Unavailable;
    if (this->currentRegistration.state == SearcherState::Ready)
        return Availability::Usable;
    return now < this->lastResortUntil ? Availability::LastResort : Availability::Unavailable;
}

void TrackedSearcher::onSent(const AttemptId &attempt, Millis typicalLatency, Millis now)
{
    double queueShare = 1;
    if (this->load.hasReport()) {
        const double factor = this->queueFactor(this->serviceTime(typicalLatency, now), now);
        this->usualQueueFactor += (factor - this->usualQueueFactor) * queueFactorGain;
        queueShare = factor / this->usualQueueFactor;
    }
    this->pendingAttempts.push_back({ attempt, now, typicalLatency, queueShare });
    this->sharedRate.onSent(now);
}

// Returns true if a failure suggests that the searcher is unavailable or faulty.
static bool countsAgainstSearcher(const std::error_code &code)
{
    return code == Fault::ConnectFailed || code == Fault::ConnectionReset
           || code == Fault::SilentConnection || code == Fault::SearcherError
           || code == Fault::ReplyMismatch;
}

void TrackedSearcher::onEnd(const AttemptId &attempt, const Outcome &outcome, Millis now)
{
    const auto found = std::find_if(
            this->pendingAttempts.begin(), this->pendingAttempts.end(),
            [&](const OpenAttempt &openAttempt) { return openAttempt.id == attempt; });
    if (found == this->pendingAttempts.end())
        return;
    const OpenAttempt ended = *found;
    this->pendingAttempts.erase(found);
    const bool refused = outcome.code == Fault::Shed;
    if (refused || outcome.succeeded()) {
        const double previous
                = decayed(this->refusalRate, now - this->refusalRateAt, refusalRateHalfLife);
        this->refusalRate = previous + ((refused ? 1 : 0) - previous) * refusalRateGain;
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

void TrackedSearcher::recordLatency(const OpenAttempt &attempt, Millis latency, bool isLowerBound,
                                    Millis now)
{
    const double typicalMs = std::max(1.0, attempt.typicalLatency.count() * attempt.queueShare);
    const double ratio = std::max(0.0, (latency - this->roundTrip).count()) / typicalMs;
    const double previous = this->currentSlowness(now);
    if (isLowerBound && ratio < previous)
        return;
    // The ratio is capped, so that one very slow attempt does not dominate the average.
    this->slowness = previous + (std::min(ratio, 20.0) - previous) * latencyGain;
    this->slownessAt = now;
}

void TrackedSearcher::recordFailure(Millis now)
{
    this->consecutiveFailures += 1;
    if (this->consecutiveFailures < failuresBeforeBackOff)
        return;
    const int doublings = std::min(this->consecutiveFailures - failuresBeforeBackOff, 6);
    this->backOffUntil = now + std::min(maxBackOff, initialBackOff * std::exp2(doublings));
}

void TrackedSearcher::onLoad(const LoadReport &report, Millis now)
{
    this->load.onReport(report, now);
}

void TrackedSearcher::refreshWarmupLimit(Millis now)
{
    const bool isLimited = this->warmupRate > 0 && this->isCold(now);
    if (isLimited)
        this->sharedRate.onStatement(
                std::min(this->warmupRate, this->statedLimit.value_or(this->warmupRate)), now);
    else if (this->limitsWarmup)
        this->sharedRate.onStatement(this->statedLimit, now);
    this->limitsWarmup = isLimited;
    // The limit of a cold searcher also binds hosts that do not hear each other.
    this->sharedRate.setDividedByCapacity(isLimited);
}

bool TrackedSearcher::onStatement(const SearcherStatement &statement, Millis now)
{
    const bool mentionsLimit = statement.requestLimit || !statement.isInterim;
    const bool isLimitChanged = mentionsLimit && statement.requestLimit != this->statedLimit;
    if (mentionsLimit) {
        this->statedLimit = statement.requestLimit;
        if (!this->limitsWarmup && (statement.requestLimit || this->sharedRate.limit(now)))
            this->sharedRate.onStatement(statement.requestLimit, now);
    }
    if (statement.coldFor)
        this->warmUntil = now + *statement.coldFor;
    this->refreshWarmupLimit(now);
    const bool beginsLeaving = statement.leaving && !this->statedLeaving;
    this->statedLeaving = this->statedLeaving || statement.leaving;
    const bool beginsPause = statement.pause && now >= this->pauseEnd;
    if (statement.pause)
        this->pauseEnd = std::max(this->pauseEnd, now + *statement.pause);
    return isLimitChanged || beginsLeaving || beginsPause;
}

double TrackedSearcher::currentSlowness(Millis now) const
{
    if (this->slowness == 1)
        return 1;
    const Millis halfLife = this->load.hasReport() ? reportedEstimateHalfLife : estimateHalfLife;
    return 1 + decayed(this->slowness - 1, now - this->slownessAt, halfLife);
}

bool TrackedSearcher::isStalled(Millis now) const
{
    return std::any_of(this->pendingAttempts.begin(), this->pendingAttempts.end(),
                       [&](const OpenAttempt &attempt) {
                           const Millis limit
                                   = std::max(minStallAge, attempt.typicalLatency * stallFactor
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

Millis TrackedSearcher::serviceTime(Millis typicalLatency, Millis now) const
{
    const double factor = std::max(0.3, this->currentSlowness(now)) * this->load.slowness(now);
    return typicalLatency * (now < this->warmUntil ? factor * warmupFactor : factor);
}

double TrackedSearcher::requestsAhead(Millis service, Millis now) const
{
    const double open = static_cast<double>(this->pendingAttempts.size());
    if (!this->load.hasReport())
        return open;
    // Attempts sent later than this had not arrived when the searcher sent its report.
    const Millis countedUntil = this->load.reportedAt() - this->roundTrip;
    const auto uncounted = std::count_if(
            this->pendingAttempts.begin(), this->pendingAttempts.end(),
            [&](const OpenAttempt &attempt) { return attempt.sentAt > countedUntil; });
    return std::max(open, this->load.requests(service, now) + static_cast<double>(uncounted));
}

double TrackedSearcher::queueFactor(Millis service, Millis now) const
{
    const double slots = std::max(1U, this->currentRegistration.slots);
    const double ahead = this->requestsAhead(service, now);
    const double perRequest = this->load.hasReport() ? reportedRequestAheadCost : requestAheadCost;
    return 1 + std::max(0.0, ahead + 1 - slots) / slots + perRequest * ahead;
}

Millis TrackedSearcher::cost(Millis typicalLatency, Millis now) const
{
    const Millis service = this->serviceTime(typicalLatency, now);
    Millis cost = service * this->queueFactor(service, now) + this->roundTrip + this->zonePenalty;
    if (this->refusalRate > 0)
        cost += refusalCost
                * decayed(this->refusalRate, now - this->refusalRateAt, refusalRateHalfLife);
    if (this->pendingAttempts.size() >= this->connectionLimit)
        cost += service;
    if (this->isStalled(now))
        cost += stallCost;
    return cost;
}

} // namespace quetzal
