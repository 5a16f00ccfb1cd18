#include "request/shardpool.h"

#include <algorithm>
#include <tuple>

namespace quetzal {

// Expected latencies this close are taken for equal, so that hosts do not all pick the same one.
static constexpr double jitter = 0.15;

// How willingly a searcher is used; smaller is better.
static int reluctance(const TrackedSearcher &searcher, Millis now)
{
    const Availability availability = searcher.availability(now);
    if (availability == Availability::Unavailable)
        return 3;
    if (availability == Availability::LastResort)
        return 2;
    return searcher.isBackedOff(now) ? 1 : 0;
}

std::shared_ptr<TrackedSearcher>
ShardPool::choose(const std::vector<const TrackedSearcher *> &except, Millis typical, Millis now,
                  bool anyOf)
{
    std::shared_ptr<TrackedSearcher> best;
    int bestReluctance = anyOf ? 3 : 1;
    double bestCost = 0;
    for (const auto &searcher : this->members) {
        if (std::find(except.begin(), except.end(), searcher.get()) != except.end())
            continue;
        const int unwilling = reluctance(*searcher, now);
        if (unwilling > bestReluctance || (!best && unwilling == bestReluctance))
            continue;
        const double draw = static_cast<double>(this->random() % 1000) / 1000;
        const double cost = searcher->cost(typical, now).count() * (1 + jitter * draw);
        if (best && unwilling == bestReluctance && cost >= bestCost)
            continue;
        best = searcher;
        bestReluctance = unwilling;
        bestCost = cost;
    }
    return best;
}

std::vector<std::uint32_t> ShardPool::bestForZone(const std::string &zone, std::size_t count,
                                                  Millis typical, Millis now) const
{
    std::vector<std::uint32_t> keys;
    std::vector<std::tuple<int, bool, double, std::uint32_t>> ranked;
    for (const auto &searcher : this->members)
        ranked.emplace_back(reluctance(*searcher, now), searcher->registration().zone != zone,
                            searcher->cost(typical, now).count(), searcher->key());
    std::sort(ranked.begin(), ranked.end());
    for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i)
        keys.push_back(std::get<3>(ranked[i]));
    return keys;
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
    std::erase_if(this->members, [&](const auto &item) { return item.get() == &searcher; });
}

} // namespace quetzal
