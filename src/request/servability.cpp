#include "request/servability.h"

#include <algorithm>

namespace quetzal {

bool isServable(const std::vector<std::shared_ptr<ShardPool>> &pools, std::size_t maxMissing,
                Millis now)
{
    const auto unavailable = std::count_if(pools.begin(), pools.end(), [now](const auto &pool) {
        return !pool->hasAvailableSearcher(now);
    });
    return static_cast<std::size_t>(unavailable) <= maxMissing;
}

} // namespace quetzal
