#include "request/replicachooser.h"

#include "quetzal/fault.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

// Weight of a new sample in the latency estimate of one searcher.
static constexpr double latencyGain = 0.15;
// Weight of a new sample in the estimate over all searchers.
static constexpr double typicalGain = 0.01;
// Time constant with which an estimate without new samples decays to the typical latency.
static constexpr Millis estimateLifetime = Millis(3000);
// Time after appearing or recovering during which a searcher without samples costs more.
static constexpr Millis slowStartPeriod = Millis(5000);
static constexpr double slowStartFactor = 4;
static constexpr Millis initialBackOff = Millis(100);
static constexpr Millis maxBackOff = Millis(2000);
// Cost in milliseconds added while a searcher is backed off; exceeds any latency within a deadline.
static constexpr double backedOffCost = 1e6;

ReplicaChooser::ReplicaChooser(std::uint64_t seed, const ChooserOptions &options)
    : options(options)
    , random(seed)
{}

void ReplicaChooser::setSearcher(SearcherId searcher, std::uint32_t slots, Millis zoneCost,
                                 Millis now)
{
    const auto [entry, isNew] = this->stats.try_emplace(searcher);
    SearcherStats &stats = entry->second;
    stats.slots = std::max(1U, slots);
    stats.zoneCost = zoneCost;
    if (isNew)
        stats.slowStartSince = now;
}

void ReplicaChooser::keepOnly(std::span<const SearcherId> searchers)
{
    const std::vector<SearcherId> kept = [&] {
        std::vector<SearcherId> sorted(searchers.begin(), searchers.end());
        std::sort(sorted.begin(), sorted.end());
        return sorted;
    }();
    std::erase_if(this->stats, [&](const auto &entry) {
        return !std::binary_search(kept.begin(), kept.end(), entry.first);
    });
}

static bool contains(std::span<const SearcherId> list, SearcherId searcher)
{
    return std::find(list.begin(), list.end(), searcher) != list.end();
}

Millis ReplicaChooser::expectedLatency(const SearcherStats &stats, Millis now) const
{
    if (!this->options.useObservations || !stats.hasLatency)
        return this->typicalLatency;
    // An estimate without new samples decays to the typical latency, so that a searcher that was
    // slow is tried again.
    const double age = (now - stats.latencyUpdatedAt) / estimateLifetime;
    return this->typicalLatency + (stats.latency - this->typicalLatency) * std::exp(-age);
}

double ReplicaChooser::cost(const SearcherStats &stats, Millis now) const
{
    const double outstanding = this->options.useOutstanding ? stats.outstanding : 0;
    double cost = this->expectedLatency(stats, now).count() * (1 + outstanding / stats.slots);
    if (this->options.useZoneCost)
        cost += stats.zoneCost.count();
    if (this->options.useSlowStart && now - stats.slowStartSince < slowStartPeriod
        && !stats.hasLatency)
        cost *= slowStartFactor;
    if (this->options.useBackoff && now < stats.backOffUntil)
        cost += backedOffCost;
    // After a failure, only one request at a time probes whether the searcher has recovered.
    const bool probing = stats.consecutiveFailures > 0 && stats.outstanding >= 1;
    if (this->options.useBackoff && probing)
        cost += backedOffCost;
    return cost;
}

std::optional<SearcherId> ReplicaChooser::choose(std::span<const SearcherId> candidates,
                                                 std::span<const SearcherId> excluded, Millis now)
{
    // Power of two choices: compare two candidates drawn at random.
    std::vector<SearcherId> remaining;
    remaining.reserve(candidates.size());
    for (const SearcherId candidate : candidates) {
        if (!contains(excluded, candidate))
            remaining.push_back(candidate);
    }
    if (remaining.empty())
        return std::nullopt;
    if (remaining.size() == 1)
        return remaining.front();
    const std::size_t first = this->random() % remaining.size();
    std::size_t second = this->random() % (remaining.size() - 1);
    if (second >= first)
        ++second;
    const double firstCost = this->cost(this->stats[remaining[first]], now);
    const double secondCost = this->cost(this->stats[remaining[second]], now);
    return remaining[firstCost <= secondCost ? first : second];
}

void ReplicaChooser::onSent(SearcherId searcher)
{
    this->stats[searcher].outstanding += 1;
}

void ReplicaChooser::recordFailure(SearcherStats &stats, Millis now)
{
    const double doubled = std::pow(2.0, std::min(stats.consecutiveFailures, 10));
    const Millis span = std::min(maxBackOff, initialBackOff * doubled);
    // Jitter prevents entry hosts from probing the searcher simultaneously.
    const double jitter = 0.75 + 0.5 * static_cast<double>(this->random() % 1000) / 1000;
    stats.backOffUntil = now + span * jitter;
    stats.consecutiveFailures += 1;
    // The searcher may have been restarted, so slow start begins at the end of the back-off.
    stats.slowStartSince = stats.backOffUntil;
}

// Returns true if a failure suggests that the searcher is unavailable or faulty.
static bool countsAgainstSearcher(const std::error_code &code)
{
    return code == Fault::ConnectFailed || code == Fault::ConnectionReset
           || code == Fault::SilentConnection || code == Fault::SearcherError
           || code == Fault::Draining || code == Fault::RelayLost;
}

void ReplicaChooser::onEnd(SearcherId searcher, Millis now, Millis latency, const Outcome &outcome)
{
    SearcherStats &stats = this->stats[searcher];
    stats.outstanding = std::max(0.0, stats.outstanding - 1);
    if (countsAgainstSearcher(outcome.code)) {
        this->recordFailure(stats, now);
        return;
    }
    // A cancelled attempt gives a lower bound of the latency: the time it had taken so far.
    const bool isLowerBound = outcome.code == Fault::Cancelled;
    if (!outcome.succeeded() && !isLowerBound)
        return;
    if (isLowerBound && stats.hasLatency && latency < stats.latency)
        return;
    if (!isLowerBound && stats.consecutiveFailures > 0) {
        // The searcher may have been restarted, so slow start begins anew.
        stats.consecutiveFailures = 0;
        stats.slowStartSince = now;
    }
    stats.latency = stats.hasLatency ? stats.latency * (1 - latencyGain) + latency * latencyGain
                                     : latency;
    stats.hasLatency = true;
    stats.latencyUpdatedAt = now;
    this->typicalLatency = this->typicalLatency * (1 - typicalGain) + latency * typicalGain;
}

bool ReplicaChooser::isBackedOff(SearcherId searcher, Millis now) const
{
    const auto found = this->stats.find(searcher);
    return found != this->stats.end() && now < found->second.backOffUntil;
}

std::vector<SearcherId> ReplicaChooser::outliers(double factor) const
{
    std::vector<double> latencies;
    for (const auto &[id, stats] : this->stats) {
        if (stats.hasLatency)
            latencies.push_back(stats.latency.count());
    }
    if (latencies.empty())
        return {};
    const auto median = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), median, latencies.end());
    std::vector<SearcherId> result;
    for (const auto &[id, stats] : this->stats) {
        if (stats.hasLatency && stats.latency.count() > factor * *median)
            result.push_back(id);
    }
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace quetzal
