#include "request/servability.h"

#include <algorithm>

namespace quetzal {

Millis servableAt(const std::vector<std::shared_ptr<ShardPool>> &pools, std::size_t maxMissing,
                  Millis now)
{
    std::vector<Millis> times;
    times.reserve(pools.size());
    for (const auto &pool : pools)
        times.push_back(pool->availableAt(now));
    std::sort(times.begin(), times.end());
    const std::size_t needed = times.size() - std::min(times.size(), maxMissing);
    return needed == 0 ? now : times[needed - 1];
}

bool isServable(const std::vector<std::shared_ptr<ShardPool>> &pools, std::size_t maxMissing,
                Millis now)
{
    return servableAt(pools, maxMissing, now) <= now;
}

} // namespace quetzal
