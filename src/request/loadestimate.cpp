#include "request/loadestimate.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

// Half-life of a report's weight, as a share of the searcher's service time. Between 0.35 and 1 the
// swing hardly differs, with 2 it is greater (docs/design/even-load.md).
static constexpr double weightHalfLife = 0.5;
// Half-life of the mean of the reports, long beside the queues' usual changes.
static constexpr Millis typicalHalfLife = Millis(5000);
// Without reports for longer than forgetAfter, the mean decays to 0, so that a searcher that was
// overloaded when it last reported is tried again also by hosts with few requests.
static constexpr Millis forgetAfter = Millis(1000);
static constexpr Millis forgetHalfLife = Millis(10000);
// The speed of a machine changes several times a second.
static constexpr Millis slownessHalfLife = Millis(200);
// After this many half-lives the weight is below 0.1 %, and is not computed.
static constexpr double negligibleAfter = 10;
// Beyond this number of reports, only their age matters for their share in the mean.
static constexpr unsigned maxReports = 1000;

// Returns the weight of what is known since a time.
static double weight(Millis since, Millis halfLife)
{
    const double halfLives = since / halfLife;
    if (halfLives <= 0)
        return 1;
    return halfLives < negligibleAfter ? std::exp2(-halfLives) : 0;
}

void LoadEstimate::onReport(const LoadReport &report, Millis now)
{
    this->lastRequests = static_cast<double>(report.running) + static_cast<double>(report.waiting);
    this->lastSlowness = report.slowness;
    this->reports = std::min(this->reports + 1, maxReports);
    // The first reports have equal shares in the mean.
    const double gain = std::max(1 - weight(now - this->lastAt, typicalHalfLife),
                                 1.0 / static_cast<double>(this->reports));
    this->typicalRequests += (this->lastRequests - this->typicalRequests) * gain;
    this->lastAt = now;
}

double LoadEstimate::requests(Millis service, Millis now) const
{
    const Millis age = now - this->lastAt;
    const double reportWeight = weight(age, std::max(Millis(1), service) * weightHalfLife);
    const double typical = this->typicalRequests * weight(age - forgetAfter, forgetHalfLife);
    return reportWeight * this->lastRequests + (1 - reportWeight) * typical;
}

double LoadEstimate::slowness(Millis now) const
{
    if (this->lastSlowness == 1)
        return 1;
    return 1 + (this->lastSlowness - 1) * weight(now - this->lastAt, slownessHalfLife);
}

} // namespace quetzal
