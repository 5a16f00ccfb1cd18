// Searchers that limit the requests that they accept from all hosts together.
#include "bench/virtual/virtualgateways.h"

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

// An installation in which one searcher of each shard limits its requests to half of what it gets.
GatewaySetup limitedSetup(std::uint64_t seed)
{
    GatewaySetup setup;
    setup.seed = seed;
    setup.duration = Millis(25'000);
    setup.faultStart = Millis(6000);
    setup.faultDuration = Millis(19'000);
    setup.limitedSearchersPerShard = 1;
    VirtualRoute sweep;
    sweep.requestsPerSecond = 67;
    sweep.serviceTime = Millis(14);
    sweep.target = Millis(200);
    sweep.deadline = Millis(800);
    sweep.minCoverage = 0.89;
    VirtualRoute lookup = sweep;
    lookup.requestsPerSecond = 22;
    lookup.serviceTime = Millis(5);
    lookup.target = Millis(100);
    lookup.deadline = Millis(400);
    lookup.minCoverage = 0.75;
    setup.routes = { sweep, lookup };
    return setup;
}

} // namespace

TEST_CASE("all hosts together keep to the request limit of a searcher" * doctest::should_fail())
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const GatewayStatistics statistics = VirtualGateways(limitedSetup(seed)).run();
        CHECK(statistics.peakLimitUse <= 1);
    }
}
