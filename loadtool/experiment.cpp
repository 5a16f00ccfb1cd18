#include "loadtool/experiment.h"

namespace quetzal {

// Limits of the values in an experiment file: one day, and arrivals per second.
static constexpr double maxSeconds = 86'400;
static constexpr double maxRate = 100'000;
static constexpr double msPerSecond = 1000;
// Limit of the values that have no narrower one.
static constexpr double maxValue = 1e9;

static void readRequests(YamlReader &reader, const YAML::Node &root, Experiment &experiment)
{
    for (const YAML::Node &node : root["requests"]) {
        const std::string context = "request";
        reader.allowOnly(node, context, { "path", "method", "weight", "repeatable", "resend" });
        RequestKind kind;
        kind.path = reader.text(node, "path", context, true);
        kind.method = reader.text(node, "method", context, false, "GET");
        kind.weight = reader.number(node, "weight", context, 0, maxValue, false, 1);
        kind.repeatable = reader.flag(node, "repeatable", context, true);
        kind.resend = reader.flag(node, "resend", context, false);
        experiment.requests.push_back(std::move(kind));
    }
}

static void readTimeline(YamlReader &reader, const YAML::Node &root, Experiment &experiment)
{
    for (const YAML::Node &node : root["load"]) {
        reader.allowOnly(node, "load", { "at_s", "rate" });
        experiment.loadSteps.push_back(
                { Millis(reader.number(node, "at_s", "load", 0, maxSeconds, true) * msPerSecond),
                  reader.number(node, "rate", "load", 0, maxRate, true) });
    }
    for (const YAML::Node &node : root["timeline"]) {
        reader.allowOnly(node, "timeline", { "at_s", "post", "pid_file", "signal" });
        TimelineEntry entry;
        entry.at = Millis(reader.number(node, "at_s", "timeline", 0, maxSeconds, true)
                          * msPerSecond);
        entry.post = reader.text(node, "post", "timeline", false);
        entry.pidFile = reader.text(node, "pid_file", "timeline", false);
        entry.signal = static_cast<int>(reader.number(node, "signal", "timeline", 0, 64, false));
        if (entry.post.empty() == entry.pidFile.empty())
            reader.addError(node, "timeline: exactly one of \"post\" and \"pid_file\" is required");
        experiment.timeline.push_back(std::move(entry));
    }
}

static void readBounds(YamlReader &reader, const YAML::Node &root, Experiment &experiment)
{
    const YAML::Node bounds = root["bounds"];
    if (!bounds.IsDefined())
        return;
    reader.allowOnly(
            bounds, "bounds",
            { "least_complete", "most_p99_ms", "most_extra_load", "added_below_baseline" });
    experiment.bounds.minComplete
            = reader.number(bounds, "least_complete", "bounds", 0, 1, false, -1);
    experiment.bounds.maxP99Ms
            = reader.number(bounds, "most_p99_ms", "bounds", 0, maxValue, false, -1);
    experiment.bounds.maxExtraLoad
            = reader.number(bounds, "most_extra_load", "bounds", 0, maxValue, false, -1);
    experiment.bounds.addedBelowBaseline
            = reader.flag(bounds, "added_below_baseline", "bounds", false);
}

Parsed<Experiment> parseExperiment(const std::string &file, const std::string &text)
{
    YamlReader reader(file);
    Parsed<Experiment> result;
    const YAML::Node root = reader.load(text);
    if (!root.IsDefined() || !root.IsMap()) {
        reader.addError(root, "the file must hold a YAML mapping that describes an experiment");
        result.errors = reader.errors();
        return result;
    }
    reader.allowOnly(root, "experiment",
                     { "targets", "searchers", "documents", "length_s", "seed", "requests", "load",
                       "timeline", "bounds", "baseline" });
    Experiment &experiment = result.value;
    experiment.targets = reader.texts(root, "targets", "experiment");
    if (experiment.targets.empty())
        reader.addError(root, "experiment: a non-empty list \"targets\" is required");
    experiment.searcherControlAddress = reader.text(root, "searchers", "experiment", true);
    experiment.documents = static_cast<std::uint64_t>(
            reader.number(root, "documents", "experiment", 1, 1e15, false, 100'000));
    experiment.length = Millis(reader.number(root, "length_s", "experiment", 0.1, maxSeconds, true)
                               * msPerSecond);
    experiment.seed = static_cast<std::uint64_t>(
            reader.number(root, "seed", "experiment", 0, 1e15, false, 1));
    readRequests(reader, root, experiment);
    readTimeline(reader, root, experiment);
    readBounds(reader, root, experiment);
    const YAML::Node baseline = root["baseline"];
    if (baseline.IsDefined()) {
        reader.allowOnly(baseline, "baseline", { "pools", "pool", "zone_delay_ms" });
        experiment.baselinePoolsFile = reader.text(baseline, "pools", "baseline", true);
        experiment.baselinePool = reader.text(baseline, "pool", "baseline", true);
        experiment.baselineZoneDelay = Millis(
                reader.number(baseline, "zone_delay_ms", "baseline", 0, maxValue, false, 0));
    }
    if (experiment.requests.empty() || experiment.loadSteps.empty())
        reader.addError(root, "experiment: non-empty lists \"requests\" and \"load\" are required");
    result.errors = reader.errors();
    return result;
}

} // namespace quetzal
