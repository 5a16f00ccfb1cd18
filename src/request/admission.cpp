#include "request/admission.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace quetzal {

static constexpr double minLimit = 1;
static constexpr double maxLimit = 10'000;
static constexpr double decreaseFactor = 0.9;
// Shares of the limit available to routes of low, normal and high priority.
static constexpr std::array<double, 3> priorityShares = { 0.7, 0.9, 1.0 };
// Weight of a new sample in the average latency.
static constexpr double latencyGain = 0.05;

bool Admission::admit(Priority priority, Millis now)
{
    const double share = priorityShares[static_cast<std::size_t>(priority)];
    const double priorityLimit = std::max(minLimit, this->limit * share);
    if (this->enabled && this->running >= priorityLimit) {
        this->lastRefusedAt = now;
        return false;
    }
    ++this->running;
    return true;
}

void Admission::onEnd(Millis now, Millis latency, bool refused, bool late)
{
    const double concurrentQueries = this->running;
    --this->running;
    this->typicalLatency = this->typicalLatency * (1 - latencyGain) + latency * latencyGain;
    if (refused || late) {
        // At most one decrease per typical latency: queries that were in flight together all report
        // the same overload.
        if (now - this->limitReducedAt < this->typicalLatency)
            return;
        this->limitReducedAt = now;
        this->limit = std::max(minLimit, std::min(this->limit, concurrentQueries) * decreaseFactor);
        return;
    }
    // Success at less than half the limit does not show that the pool can sustain a higher one. The
    // limit grows by about one when as many queries as the limit allows have succeeded.
    if (concurrentQueries * 2 >= this->limit)
        this->limit = std::min(maxLimit, this->limit + 1 / this->limit);
}

Millis Admission::retryAfter() const
{
    return std::max(Millis(1000), this->typicalLatency * 4);
}

} // namespace quetzal
