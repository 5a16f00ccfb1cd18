#include "request/merge.h"

#include <algorithm>
#include <iterator>
#include <unordered_set>

namespace quetzal {

bool ranksBefore(const Hit &a, const Hit &b)
{
    if (a.score != b.score)
        return a.score > b.score;
    return a.id < b.id;
}

// Returns the first limit hits with distinct ids; sorted must be in rank order.
static std::vector<Hit> removeDuplicates(std::vector<Hit> &&sorted, std::size_t limit)
{
    std::unordered_set<std::string> seen;
    std::vector<Hit> result;
    result.reserve(std::min(limit, sorted.size()));
    for (Hit &hit : sorted) {
        if (result.size() == limit)
            break;
        if (seen.insert(hit.id).second)
            result.push_back(std::move(hit));
    }
    return result;
}

std::vector<Hit> mergeHits(std::vector<std::vector<Hit>> &&shards, std::size_t limit)
{
    std::size_t total = 0;
    for (const std::vector<Hit> &shard : shards)
        total += shard.size();
    std::vector<Hit> all;
    all.reserve(total);
    for (std::vector<Hit> &shard : shards)
        std::move(shard.begin(), shard.end(), std::back_inserter(all));
    // Shards are normally disjoint, so sorting a quarter more than limit usually leaves enough hits
    // once duplicates are removed. Otherwise the whole list is sorted.
    const std::size_t sortedCount = std::min(total, limit + limit / 4 + 1);
    const auto middle = all.begin() + static_cast<std::ptrdiff_t>(sortedCount);
    std::partial_sort(all.begin(), middle, all.end(), ranksBefore);
    std::unordered_set<std::string_view> distinct;
    for (auto hit = all.begin(); hit != middle; ++hit)
        distinct.insert(hit->id);
    if (distinct.size() < std::min(limit, total) && sortedCount < total)
        std::sort(all.begin(), all.end(), ranksBefore);
    return removeDuplicates(std::move(all), limit);
}

} // namespace quetzal
