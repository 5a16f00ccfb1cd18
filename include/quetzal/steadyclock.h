// The process's monotonic clock.
#pragma once

#include "quetzal/millis.h"

#include <chrono>
#include <ctime>

namespace quetzal {

// Reads the monotonic clock. Code that makes decisions takes the current time as a parameter, so
// that it can be tested in virtual time.
class SteadyClock
{
public:
    // Returns the current time.
    static Millis now()
    {
        const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
        return Millis(std::chrono::duration<double, std::milli>(sinceEpoch).count());
    }

    // Returns how long the machine has been suspended since it booted, to about a millisecond.
    static Millis suspendedTime() { return read(CLOCK_BOOTTIME) - read(CLOCK_MONOTONIC); }

private:
    static Millis read(clockid_t clock)
    {
        timespec time = {};
        clock_gettime(clock, &time);
        static constexpr double millisPerSecond = 1000;
        static constexpr double nanosPerMilli = 1e6;
        return Millis(static_cast<double>(time.tv_sec) * millisPerSecond
                      + static_cast<double>(time.tv_nsec) / nanosPerMilli);
    }
};

} // namespace quetzal
