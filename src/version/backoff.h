// Pauses between repeated calls that fail.
#pragma once

#include "quetzal/millis.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

// Doubles the pause with each failure, up to a maximum, and varies it at random, so that callers
// that failed together do not call together again.
class Backoff
{
public:
    Backoff(Millis initial, Millis max)
        : initial(initial)
        , max(max)
    {}

    // Counts a failure and returns the pause before the next call, of 0.75 to 1.25 times the mean.
    // The fraction is a random number from 0 up to, but not including, 1.
    Millis next(double fraction)
    {
        const Millis mean
                = std::min(this->max, this->initial * std::exp2(std::min(this->failureCount, 10)));
        this->failureCount += 1;
        return mean * (0.75 + 0.5 * fraction);
    }

    void reset() { this->failureCount = 0; }
    // Returns the number of failures since the last reset.
    int failures() const { return this->failureCount; }

private:
    Millis initial;
    Millis max;
    int failureCount = 0;
};

} // namespace quetzal
