#include "request/shardpool.h"

#include <algorithm>
#include <tuple>

namespace quetzal {

// Costs are raised by a random share up to this one, so that hosts do not all choose the same
// searcher among nearly equal ones.
static constexpr double maxCostJitter = 0.15;

// Returns the preference tier of a searcher; lower tiers are chosen first. 0: usable, 1: backed
// off, 2: last resort, 3: unavailable.
static int preferenceTier(const TrackedSearcher &searcher, Millis now)
{
    const Availability availability = searcher.availability(now);
    if (availability == Availability::Unavailable || searcher.rateShare().isExhausted(now))
        return 3;
    if (availability == Availability::LastResort)
        return 2;
    return searcher.isBackedOff(now) ? 1 : 0;
}

std::shared_ptr<TrackedSearcher>
ShardPool::choose(const std::vector<const TrackedSearcher *> &excluded, Millis typicalLatency,
                  Millis now, bool includeFallbacks)
{
    std::shared_ptr<TrackedSearcher> best;
    // Until a searcher is found, this is the first tier that is not considered.
    int bestTier = includeFallbacks ? 3 : 1;
    double bestCost = 0;
    for (const auto &searcher : this->members) {
        if (std::find(excluded.begin(), excluded.end(), searcher.get()) != excluded.end())
            continue;
        const int tier = preferenceTier(*searcher, now);
        if (tier > bestTier || (!best && tier == bestTier))
            continue;
        const double randomShare = static_cast<double>(this->random() % 1000) / 1000;
        const double cost
                = searcher->cost(typicalLatency, now).count() * (1 + maxCostJitter * randomShare);
        if (best && tier == bestTier && cost >= bestCost)
            continue;
        best = searcher;
        bestTier = tier;
        bestCost = cost;
    }
    return best;
}

std::vector<std::uint32_t> ShardPool::bestForZone(const std::string &zone, std::size_t count,
                                                  Millis typicalLatency, Millis now) const
{
    std::vector<std::uint32_t> keys;
    std::vector<std::tuple<int, bool, double, std::uint32_t>> ranked;
    for (const auto &searcher : this->members)
        ranked.emplace_back(preferenceTier(*searcher, now), searcher->registration().zone != zone,
                            searcher->cost(typicalLatency, now).count(), searcher->key());
    std::sort(ranked.begin(), ranked.end());
    for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i)
        keys.push_back(std::get<3>(ranked[i]));
    return keys;
}

Millis ShardPool::availableAt(Millis now) const
{
    if (this->hasAvailableSearcher(now))
        return now;
    Millis earliest = Millis::never();
    for (const auto &searcher : this->members)
        earliest = std::min(earliest, searcher->availableAt(now));
    return earliest;
}

bool ShardPool::hasAvailableSearcher(Millis now) const
{
    return std::any_of(this->members.begin(), this->members.end(), [now](const auto &searcher) {
        return searcher->availability(now) != Availability::Unavailable;
    });
}

void ShardPool::add(std::shared_ptr<TrackedSearcher> searcher)
{
    this->members.push_back(std::move(searcher));
}

void ShardPool::remove(const TrackedSearcher &searcher)
{
    std::erase_if(this->members, [&](const auto &member) { return member.get() == &searcher; });
}

} // namespace quetzal
