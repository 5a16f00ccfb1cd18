#include "request/admission.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace quetzal {

static constexpr double smallestLimit = 1;
static constexpr double largestLimit = 10'000;
static constexpr double shrinkFactor = 0.9;
// Parts of the limit open to routes of low, normal and high priority.
static constexpr std::array<double, 3> priorityShares = { 0.7, 0.9, 1.0 };
static constexpr double latencyGain = 0.05;

bool Admission::admit(Priority priority, Millis now)
{
    const double share = priorityShares[static_cast<std::size_t>(priority)];
    const double open = std::max(smallestLimit, this->limit * share);
    if (this->enabled && this->running >= open) {
        this->lastRefusedAt = now;
        return false;
    }
    ++this->running;
    return true;
}

void Admission::onEnd(Millis now, Millis latency, bool refused, bool late)
{
    const double used = this->running;
    --this->running;
    this->typicalLatency = this->typicalLatency * (1 - latencyGain) + latency * latencyGain;
    if (refused || late) {
        // One shrink per round trip: the queries in flight all tell of the same overload.
        if (now - this->limitReducedAt < this->typicalLatency)
            return;
        this->limitReducedAt = now;
        this->limit = std::max(smallestLimit, std::min(this->limit, used) * shrinkFactor);
        return;
    }
    // A limit that is not in use says nothing about what the pool could bear.
    if (used * 2 >= this->limit)
        this->limit = std::min(largestLimit, this->limit + 1 / this->limit);
}

Millis Admission::retryAfter() const
{
    return std::max(Millis(1000), this->typicalLatency * 4);
}

} // namespace quetzal
