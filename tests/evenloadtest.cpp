// Tests that many hosts with stale load reports load the searchers of a pool evenly.
#include "evenloadsimulation.h"
#include "formerchoice.h"
#include "registrations.h"

#include <array>

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

constexpr std::array<std::uint64_t, 3> seeds = { 1, 5, 17 };

// Chooses with the classes that a host uses.
class PoolChoice : public ChoiceRule
{
public:
    PoolChoice(const PoolScenario &scenario, const std::vector<bool> &far, Millis zonePenalty,
               std::uint64_t seed)
        : pool("shard", {}, seed)
    {
        for (std::size_t i = 0; i < far.size(); ++i) {
            SearcherRegistration registration = makeRegistration("s" + std::to_string(i), 1);
            registration.slots = scenario.searchers[i].slots;
            const auto searcher = std::make_shared<TrackedSearcher>(
                    registration, far[i] ? PoolSimulation::oneWayDelay * 2 : Millis(), Millis(),
                    far[i] ? zonePenalty : Millis());
            searcher->setMaxConnections(2);
            this->pool.add(searcher);
        }
    }

    std::size_t choose(Millis typicalLatency, Millis now) override
    {
        const auto chosen = this->pool.choose({}, typicalLatency, now, true);
        const auto &members = this->pool.searchers();
        return static_cast<std::size_t>(std::find(members.begin(), members.end(), chosen)
                                        - members.begin());
    }
    void onSent(std::size_t searcher, const AttemptId &attempt, Millis typicalLatency,
                Millis now) override
    {
        this->pool.searchers()[searcher]->onSent(attempt, typicalLatency, now);
    }
    void onLoad(std::size_t searcher, const LoadReport &report, Millis now) override
    {
        this->pool.searchers()[searcher]->onLoad(report, now);
    }
    void onEnd(std::size_t searcher, const AttemptId &attempt, Millis now) override
    {
        this->pool.searchers()[searcher]->onEnd(attempt, { Verdict::Ran, {}, Hop::Searcher }, now);
    }

private:
    ShardPool pool;
};

// Creates rules of one class; the penalty of another zone is 0, as most tables have it.
template <typename Rule>
RuleFactory factory()
{
    return [](const PoolScenario &scenario, const std::vector<bool> &far, std::uint64_t seed) {
        return std::make_unique<Rule>(scenario, far, Millis(), seed);
    };
}

PoolMeasurement measure(const PoolScenario &scenario, const RuleFactory &rule)
{
    PoolMeasurement mean;
    for (const std::uint64_t seed : seeds) {
        const PoolMeasurement one = PoolSimulation(scenario, rule, seed).run();
        mean.swing += one.swing / seeds.size();
        mean.meanLatencyMs += one.meanLatencyMs / seeds.size();
        mean.p99LatencyMs += one.p99LatencyMs / seeds.size();
    }
    return mean;
}

std::vector<PoolScenario> scenarios()
{
    const std::vector<SimulatedSearcher> three = { { 2, 1.1 }, { 2, 0.9 }, { 3, 1 } };
    const std::vector<SimulatedSearcher> five
            = { { 2, 0.8 }, { 2, 1.3 }, { 3, 1 }, { 2, 0.9 }, { 3, 1.15 } };
    const std::vector<SimulatedSearcher> nine
            = { { 2, 0.8 }, { 2, 1.3 },  { 3, 1 },   { 2, 0.9 }, { 3, 1.15 },
                { 2, 1 },   { 3, 0.85 }, { 2, 1.2 }, { 3, 1.05 } };
    std::vector<PoolScenario> result;
    for (const std::size_t hosts : { 6, 30 }) {
        const std::string suffix = ", " + std::to_string(hosts) + " hosts";
        result.push_back({ "3 searchers, 160 ms, 60 %" + suffix, hosts, three, Millis(160), 0.6 });
        result.push_back({ "5 searchers, 160 ms, 70 %" + suffix, hosts, five, Millis(160), 0.7 });
        result.push_back({ "9 searchers, 160 ms, 85 %" + suffix, hosts, nine, Millis(160), 0.85 });
        result.push_back({ "5 searchers, 20 ms, 70 %" + suffix, hosts, five, Millis(20), 0.7 });
        result.push_back({ "9 searchers, 20 ms, 85 %" + suffix, hosts, nine, Millis(20), 0.85 });
        PoolScenario changing{ "changing speeds, 5 searchers, 160 ms, 60 %" + suffix, hosts, five,
                               Millis(160), 0.6 };
        changing.changesSpeed = true;
        result.push_back(changing);
        PoolScenario pauses{ "pauses, 5 searchers, 160 ms, 70 %" + suffix, hosts, five, Millis(160),
                             0.7 };
        pauses.pauses = true;
        result.push_back(pauses);
        pauses.name = "pauses, 5 searchers, 20 ms, 70 %" + suffix;
        pauses.meanService = Millis(20);
        result.push_back(pauses);
        PoolScenario slow{ "slow searcher, 5 searchers, 160 ms, 65 %" + suffix, hosts, five,
                           Millis(160), 0.65 };
        slow.hasSlowSearcher = true;
        result.push_back(slow);
        slow.name = "slow searcher, 5 searchers, 20 ms, 65 %" + suffix;
        slow.meanService = Millis(20);
        result.push_back(slow);
        std::vector<SimulatedSearcher> uneven = five;
        uneven.back().speed = 4;
        result.push_back({ "one searcher always 4 times slower, 160 ms, 60 %" + suffix, hosts,
                           uneven, Millis(160), 0.6 });
    }
    return result;
}

} // namespace

TEST_CASE("searchers are loaded more evenly than by the former rule, also with stale reports")
{
    for (const PoolScenario &scenario : scenarios()) {
        const PoolMeasurement former = measure(scenario, factory<FormerChoice>());
        const PoolMeasurement present = measure(scenario, factory<PoolChoice>());
        INFO(scenario.name);
        MESSAGE(scenario.name << ": swing " << former.swing << " -> " << present.swing << ", mean "
                              << former.meanLatencyMs << " -> " << present.meanLatencyMs
                              << " ms, p99 " << former.p99LatencyMs << " -> "
                              << present.p99LatencyMs << " ms");
        if (scenario.isCalm())
            CHECK(present.swing < former.swing);
        CHECK(present.p99LatencyMs <= former.p99LatencyMs * 1.05);
    }
}
