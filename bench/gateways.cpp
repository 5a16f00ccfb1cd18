// Compares the gateway policy with variants that have one of its mechanisms switched off, in
// virtual time.
#include "bench/report.h"
#include "bench/virtual/virtualgateways.h"

#include <functional>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random generator in all scenarios");
ABSL_FLAG(std::string, only, "", "run only the scenarios whose names contain this text");

namespace quetzal {

namespace {

// A fault or load condition, applied to the default setup.
struct Scenario
{
    std::string name;
    std::function<void(GatewaySetup &)> apply;
    // Lowest share of the maximum value that the full policy must reach.
    double minValueShare = 0;
};

// A policy with one mechanism switched off.
struct Variant
{
    std::string name;
    std::function<void(GatewayPolicy &)> apply;
};

// Two routes over the same shards, modelled on catalogue searches of users.
std::vector<VirtualRoute> catalogueRoutes()
{
    return { { 67.5, Millis(20), Millis(200), Millis(800), 0.89, 2, 0.1 },
             { 22.5, Millis(6.7), Millis(100), Millis(400), 0.75, 1, 0.1 } };
}

std::vector<Scenario> scenarios()
{
    return { { "calm", [](GatewaySetup &) {}, 0.95 },
             { "slow", [](GatewaySetup &setup) { setup.slowShare = 0.15; }, 0.9 },
             { "silent-shard", [](GatewaySetup &setup) { setup.silentShards = 1; }, 0.85 },
             { "pressure", [](GatewaySetup &setup) { setup.loadFactor = 1.7; }, 0.85 } };
}

std::vector<Variant> variants()
{
    return { { "no-extras", [](GatewayPolicy &policy) { policy.extraAttempts = false; } },
             { "no-observations", [](GatewayPolicy &policy) { policy.observations = false; } },
             { "waits-for-all", [](GatewayPolicy &policy) { policy.answerAtTarget = false; } },
             { "no-cancelling", [](GatewayPolicy &policy) { policy.cancelAbandoned = false; } } };
}

// Runs one scenario with one policy.
GatewayStatistics runScenario(const Scenario &scenario, const GatewayPolicy &policy,
                              std::uint64_t seed)
{
    GatewaySetup setup;
    setup.seed = seed;
    setup.routes = catalogueRoutes();
    setup.policy = policy;
    scenario.apply(setup);
    return VirtualGateways(setup).run();
}

// Adds the results of one run.
void addResults(Report &lines, const std::string &name, const GatewayStatistics &statistics)
{
    lines.addFigure(name + "/worth", statistics.valueShare(), "share");
    lines.addFigure(name + "/in-target",
                    static_cast<double>(statistics.inTarget)
                            / static_cast<double>(statistics.requests),
                    "share");
    lines.addFigure(name + "/extra", statistics.extraShare, "share");
}

// Runs the matching scenarios with the full policy and with every variant.
void runScenarios(Report &lines, std::uint64_t seed, const std::string &only)
{
    // Value shares of two runs of one policy differ by up to this much: one different random choice
    // changes all later ones.
    static constexpr double noise = 0.02;
    static constexpr double maxExtraShare = 0.2;
    for (const Scenario &scenario : scenarios()) {
        if (scenario.name.find(only) == std::string::npos)
            continue;
        const std::string prefix = "gateways/" + scenario.name + "/";
        const GatewayStatistics ours = runScenario(scenario, GatewayPolicy(), seed);
        addResults(lines, prefix + "ours", ours);
        lines.checkAtLeast(prefix + "ours/worth-bound", ours.valueShare(), "share",
                           scenario.minValueShare);
        lines.checkAtMost(prefix + "ours/extra-bound", ours.extraShare, "share", maxExtraShare);
        for (const Variant &variant : variants()) {
            GatewayPolicy policy;
            variant.apply(policy);
            const GatewayStatistics without = runScenario(scenario, policy, seed);
            addResults(lines, prefix + variant.name, without);
            lines.checkAtLeast(prefix + "ours-against-" + variant.name, ours.valueShare(), "share",
                               without.valueShare() - noise);
        }
    }
}

} // namespace

} // namespace quetzal

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    quetzal::Report lines;
    quetzal::runScenarios(lines, absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_only));
    return lines.print();
}
