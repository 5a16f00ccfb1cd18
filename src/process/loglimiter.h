// Limits how often a kind of log line is written.
#pragma once

#include "quetzal/millis.h"

#include <cstdint>
#include <optional>

namespace quetzal {

// Admits one line per period and counts the others. Addresses events that a crowd of peers can
// cause thousands of times a second.
class LogLimiter
{
public:
    explicit LogLimiter(Millis period)
        : period(period)
    {}

    // Returns the number of lines that were not admitted since the last one that was, or nothing if
    // this one is not admitted either.
    std::optional<std::uint64_t> admit(Millis now)
    {
        if (this->admittedAt && now - *this->admittedAt < this->period) {
            ++this->suppressed;
            return std::nullopt;
        }
        this->admittedAt = now;
        const std::uint64_t count = this->suppressed;
        this->suppressed = 0;
        return count;
    }

private:
    Millis period;
    std::optional<Millis> admittedAt;
    std::uint64_t suppressed = 0;
};

} // namespace quetzal
