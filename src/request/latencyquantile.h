// Quantiles of recent latencies.
#pragma once

#include "quetzal/millis.h"

#include <boost/histogram.hpp>

namespace quetzal {

// Estimates quantiles of recent latencies from a histogram with logarithmic bins, each about 5 % of
// its value wide, from 0.05 ms to 60 s. All weights are halved when a sample arrives a half-life or
// more after the last halving.
class LatencyQuantile
{
public:
    explicit LatencyQuantile(Millis halfLife);

    // Records a latency observed at the given time.
    void add(Millis now, Millis latency);

    // Returns the upper bound of the bin that holds the given quantile (0 to 1), or the fallback
    // while the total weight of the samples is below minSamples.
    Millis quantile(double fraction, Millis fallback) const;

    // Total weight of samples needed for an estimate.
    static constexpr double minSamples = 20;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram_with(std::vector<double>(),
                                                                     std::declval<Axis>()));

    Millis halfLife;
    Millis halvedAt;
    double weight = 0;
    Histogram histogram;
};

} // namespace quetzal
