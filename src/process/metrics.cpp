#include "process/metrics.h"

#include <sstream>
#include <vector>

namespace quetzal {

namespace acc = boost::accumulators;

static constexpr std::array<double, 4> quantiles = { 0.5, 0.9, 0.99, 0.999 };

template <typename Distribution>
static Distribution makeDistribution()
{
    return Distribution(acc::tag::extended_p_square::probabilities = quantiles);
}

Metrics::Metrics(std::string loopName)
    : loopName(std::move(loopName))
    , timings{ makeDistribution<Distribution>(), makeDistribution<Distribution>(),
               makeDistribution<Distribution>(), makeDistribution<Distribution>() }
{}

std::string Metrics::text() const
{
    std::ostringstream out;
    for (std::size_t i = 0; i < counterNames.size(); ++i)
        out << "quetzal_" << counterNames[i] << "{loop=\"" << this->loopName << "\"} "
            << this->counters[i] << "\n";
    for (std::size_t i = 0; i < timingNames.size(); ++i) {
        const Distribution &distribution = this->timings[i];
        const std::string name = "quetzal_" + std::string(timingNames[i]);
        for (std::size_t q = 0; q < quantiles.size(); ++q) {
            out << name << "{loop=\"" << this->loopName << "\",quantile=\"" << quantiles[q]
                << "\"} " << acc::extended_p_square(distribution)[static_cast<std::ptrdiff_t>(q)]
                << "\n";
        }
        out << name << "_sum{loop=\"" << this->loopName << "\"} " << acc::sum(distribution) << "\n";
        out << name << "_count{loop=\"" << this->loopName << "\"} " << acc::count(distribution)
            << "\n";
    }
    return out.str();
}

} // namespace quetzal
