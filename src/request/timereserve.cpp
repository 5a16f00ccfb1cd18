#include "request/timereserve.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

// Weights of a new observation in the mean and in the deviation.
static constexpr double meanGain = 0.125;
static constexpr double deviationGain = 0.25;
// Number of deviations that are reserved in addition to the mean.
static constexpr double reservedDeviations = 2;

void TimeReserve::observe(Millis duration)
{
    const Millis sample = std::clamp(duration, Millis(), this->limit);
    if (this->isEmpty) {
        this->isEmpty = false;
        this->mean = sample;
        this->deviation = sample / 2;
        return;
    }
    const Millis error = sample - this->mean;
    this->mean += error * meanGain;
    this->deviation += (Millis(std::abs(error.count())) - this->deviation) * deviationGain;
}

Millis TimeReserve::value() const
{
    if (this->isEmpty)
        return this->initial;
    return std::min(this->limit, this->mean + this->deviation * reservedDeviations);
}

} // namespace quetzal
