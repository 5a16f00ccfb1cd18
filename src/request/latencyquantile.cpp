#include "request/latencyquantile.h"

namespace quetzal {

static constexpr int binCount = 280;
static constexpr double minLatencyMs = 0.05;
static constexpr double maxLatencyMs = 60'000;

LatencyQuantile::LatencyQuantile(Millis halfLife)
    : halfLife(halfLife)
    , histogram(boost::histogram::make_histogram_with(std::vector<double>(),
                                                      Axis(binCount, minLatencyMs, maxLatencyMs)))
{}

void LatencyQuantile::add(Millis now, Millis latency)
{
    if (this->weight == 0)
        this->halvedAt = now;
    if (now - this->halvedAt >= this->halfLife) {
        this->histogram *= 0.5;
        this->weight *= 0.5;
        this->halvedAt = now;
    }
    this->histogram(latency.count());
    this->weight += 1;
}

Millis LatencyQuantile::quantile(double fraction, Millis fallback) const
{
    if (this->weight < minSamples)
        return fallback;
    const double targetWeight = fraction * this->weight;
    // Bin -1 holds the samples below minLatencyMs.
    double cumulativeWeight = this->histogram.at(-1);
    const Axis &axis = this->histogram.axis();
    for (int bin = 0; bin < axis.size(); ++bin) {
        cumulativeWeight += this->histogram.at(bin);
        if (cumulativeWeight >= targetWeight)
            return Millis(axis.bin(bin).upper());
    }
    return Millis(maxLatencyMs);
}

} // namespace quetzal
