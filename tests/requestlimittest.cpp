// Searchers that limit the requests that they accept from all hosts together.
#include "bench/virtual/virtualgateways.h"
#include "request/rateshare.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

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

// Requests a second of the limit in runSparseFleet.
constexpr double sparseLimit = 2;

// Returns when the hosts of a fleet send to one searcher with a limit. Each of the 60 hosts has a
// third of a request a second, for ten seconds at a time; in between all are idle.
std::vector<Millis> runSparseFleet(Millis idleTime)
{
    constexpr std::size_t hostCount = 60;
    constexpr Millis activeTime = Millis(10'000);
    constexpr Millis step = Millis(10);
    std::vector<RateShare> shares(hostCount);
    std::minstd_rand random(3);
    for (std::size_t i = 0; i < hostCount; ++i) {
        shares[i].setDefaultPart(1.0 / hostCount);
        shares[i].setInitialTokens(static_cast<double>(i) / hostCount);
        shares[i].onStatement(sparseLimit, Millis());
    }
    std::vector<Millis> sent;
    for (Millis now; now < Millis(120'000); now += step) {
        for (std::size_t sender = 0; sender < hostCount; ++sender) {
            const auto report = shares[sender].takeReport(now);
            for (std::size_t receiver = 0; report && receiver < hostCount; ++receiver) {
                if (receiver != sender)
                    shares[receiver].onReport({ sender }, *report, now);
            }
        }
        const bool isIdle
                = std::fmod(now.count(), (activeTime + idleTime).count()) >= activeTime.count();
        RateShare &share = shares[random() % hostCount];
        if (isIdle || random() % 5 != 0)
            continue;
        share.onStatement(sparseLimit, now);
        share.onDemand(now);
        if (share.isExhausted(now))
            continue;
        share.onSent(now);
        sent.push_back(now);
    }
    return sent;
}

} // namespace

TEST_CASE("all hosts together keep to the request limit of a searcher")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const GatewayStatistics statistics = VirtualGateways(limitedSetup(seed)).run();
        CHECK(statistics.peakLimitUse <= 1);
        CHECK(statistics.valueShare() >= 0.95);
    }
}

TEST_CASE("if all searchers of a shard limit their requests, most of what they accept is used")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        GatewaySetup setup = limitedSetup(seed);
        setup.limitedSearchersPerShard = 2;
        const GatewayStatistics statistics = VirtualGateways(setup).run();
        CHECK(statistics.peakLimitUse <= 1);
        CHECK(statistics.meanLimitUse >= 0.8);
    }
}

TEST_CASE("a fleet whose hosts each see little demand keeps to a low request limit, also after "
          "idle times")
{
    for (const double idleMs : { 1000, 3000, 5900, 30'000 }) {
        const std::vector<Millis> sent = runSparseFleet(Millis(idleMs));
        std::size_t peak = 0;
        for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
            while (sent[last] - sent[first] > limitWindow)
                ++first;
            if (sent[last] > limitWindow)
                peak = std::max(peak, last - first + 1);
        }
        const double allowed = limitTolerance * sparseLimit * 4 + limitSlack;
        CHECK_MESSAGE(static_cast<double>(peak) <= allowed, "idle for ", idleMs, " ms");
        CHECK(sent.size() > 20);
    }
}

TEST_CASE("the end of a request limit is reported to the hosts that know of it only from others")
{
    RateShare teller;
    RateShare listener;
    teller.onStatement(10, Millis(1000));
    for (int i = 0; i < 20; ++i)
        teller.onDemand(Millis(1100));
    const auto begin = teller.takeReport(Millis(1100));
    REQUIRE(begin);
    listener.onReport({ 1 }, *begin, Millis(1105));
    CHECK(listener.limit(Millis(1200)) == 10.0);
    teller.onStatement(std::nullopt, Millis(2000));
    const auto end = teller.takeReport(Millis(2000));
    REQUIRE(end);
    CHECK_FALSE(end->limit);
    listener.onReport({ 1 }, *end, Millis(2005));
    CHECK_FALSE(listener.limit(Millis(2010)));
    // An older report that arrives late does not bring the limit back.
    listener.onReport({ 1 }, *begin, Millis(2010));
    CHECK_FALSE(listener.limit(Millis(2020)));
}

TEST_CASE("a request limit that nobody states any more is forgotten")
{
    RateShare share;
    share.setDefaultPart(0.5);
    share.onStatement(0, Millis());
    CHECK(share.isExhausted(Millis(5000)));
    CHECK_FALSE(share.isExhausted(Millis(10'000)));
}
