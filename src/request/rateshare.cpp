#include "request/rateshare.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

static constexpr double millisPerSecond = 1000;
// Part of the limit that all hosts together use, as their shares do not add up exactly while demand
// changes.
static constexpr double usedPart = 0.95;
// Time after which the limit is forgotten if neither the searcher nor another host states it.
static constexpr Millis limitLifetime = Millis(8000);
// Time for the other hosts' first reports to arrive.
static constexpr Millis settlingTime = Millis(1000);
static constexpr Millis reportPeriod = Millis(400);
// Time for which the end of a limit is reported.
static constexpr Millis endReportTime = Millis(1500);
static constexpr Millis demandHalfLife = Millis(4000);
// Demand from which on a host reports it and takes a part by it.
static constexpr double minDemand = 0.1;
// Part of the limit that the hosts with less demand may use in addition, divided among them like
// capacity. Together with usedPart it stays below what a searcher tolerates beyond its limit.
static constexpr double lowDemandPart = 0.4;
// Time without demand after which the tokens saved up are lost, so that hosts that were idle do not
// all send at once.
static constexpr Millis idleTime = Millis(6000);
// Time whose tokens the bucket can hold; it holds at least one.
static constexpr Millis bucketTime = Millis(600);

static double decayedCount(double count, Millis age)
{
    return count * std::exp2(-(age / demandHalfLife));
}

void RateShare::learn(std::optional<double> newLimit, Millis at, Millis now)
{
    if (at < this->statedAt)
        return;
    const bool wasLimited = this->limit(now).has_value();
    this->tokens = wasLimited ? this->tokensAt(now) : this->initialTokens;
    this->tokensUpdatedAt = now;
    if (wasLimited != newLimit.has_value())
        this->reportedAt = Millis(-1e9);
    if (!wasLimited)
        this->knownSince = now;
    this->reportsEnd = newLimit ? false : this->reportsEnd || wasLimited;
    this->currentLimit = newLimit;
    this->statedAt = at;
}

void RateShare::onStatement(std::optional<double> newLimit, Millis now)
{
    this->learn(newLimit, now, now);
}

void RateShare::onReport(HostId host, const RateReport &report, Millis now)
{
    this->learn(report.limit, now - report.age, now);
    if (report.limit)
        this->peers[host] = { report.demand, now };
    else
        this->peers.erase(host);
}

void RateShare::onDemand(Millis now)
{
    if (now - this->demandCountedAt > idleTime) {
        this->tokens = std::min(this->tokensAt(now), this->initialTokens);
        this->tokensUpdatedAt = now;
    }
    this->demandCount = decayedCount(this->demandCount, now - this->demandCountedAt) + 1;
    this->demandCountedAt = now;
}

double RateShare::demand(Millis now) const
{
    const double count = decayedCount(this->demandCount, now - this->demandCountedAt);
    return count * std::log(2) / demandHalfLife.count() * millisPerSecond;
}

std::optional<double> RateShare::limit(Millis now) const
{
    if (!this->currentLimit || now - this->statedAt > limitLifetime)
        return std::nullopt;
    return this->currentLimit;
}

double RateShare::rate(Millis now) const
{
    if (this->dividedByCapacity || now - this->knownSince < settlingTime)
        return *this->currentLimit * usedPart * this->defaultPart;
    const double own = this->demand(now);
    if (own < minDemand)
        return *this->currentLimit * lowDemandPart * this->defaultPart;
    double total = own;
    for (const auto &[host, report] : this->peers) {
        if (now - report.at <= reportLifetime)
            total += report.demand;
    }
    return *this->currentLimit * usedPart * own / total;
}

double RateShare::tokensAt(Millis now) const
{
    if (!this->currentLimit)
        return 0;
    const double rate = this->rate(now);
    const double capacity = std::max(1.0, rate * bucketTime.count() / millisPerSecond);
    const double added = rate * (now - this->tokensUpdatedAt).count() / millisPerSecond;
    return std::min(capacity, this->tokens + added);
}

bool RateShare::isExhausted(Millis now) const
{
    return this->limit(now) && this->tokensAt(now) < 1;
}

void RateShare::onSent(Millis now)
{
    if (!this->limit(now))
        return;
    this->tokens = this->tokensAt(now) - 1;
    this->tokensUpdatedAt = now;
}

std::optional<RateReport> RateShare::takeReport(Millis now)
{
    if (now - this->reportedAt < reportPeriod)
        return std::nullopt;
    const Millis age = now - this->statedAt;
    const std::optional<double> known = this->limit(now);
    this->reportsEnd = this->reportsEnd && age < endReportTime;
    const bool reportsUse = known && this->demand(now) >= minDemand;
    if (!reportsUse && !this->reportsEnd)
        return std::nullopt;
    this->reportedAt = now;
    std::erase_if(this->peers,
                  [now](const auto &item) { return now - item.second.at > reportLifetime; });
    return RateReport{ known, age, known ? this->demand(now) : 0 };
}

} // namespace quetzal
