// An experiment: load steps, a timeline of faults and bounds, read from YAML.
#pragma once

#include "quetzal/millis.h"
#include "version/yamlreader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal {

// What one kind of request looks like.
struct RequestKind
{
    // Path; "{n}" is replaced by a number that differs from request to request.
    std::string path;
    std::string method = "GET";
    double weight = 1;
    // Requests that may not be repeated are checked to run at most once.
    bool repeatable = true;
    // A request that got no clear answer is sent again to another host under the same id.
    bool resend = false;
};

struct LoadStep
{
    Millis at;
    double rate = 0;
};

// A control request to a stand-in, or a signal to a process, at a time.
struct TimelineEntry
{
    Millis at;
    // "ADDRESS/PATH?QUERY" of a POST.
    std::string post;
    // File with a process's id, and the signal's number.
    std::string pidFile;
    int signal = 0;
};

// Figures that the run must keep; negative bounds are not checked.
struct ExperimentBounds
{
    double leastComplete = -1;
    double mostP99 = -1;
    double mostExtraLoad = -1;
    bool addedBelowBaseline = false;
};

struct Experiment
{
    std::vector<std::string> targets;
    std::string searchersControl;
    std::uint64_t documents = 100'000;
    Millis length;
    std::uint64_t seed = 1;
    std::vector<RequestKind> requests;
    std::vector<LoadStep> load;
    std::vector<TimelineEntry> timeline;
    ExperimentBounds bounds;
    // Pools file for the naive baseline, which asks random replicas directly; empty for none.
    std::string baselinePools;
    std::string baselinePool;
    // Zone delay that a direct request between zones would meet, added to the baseline's times.
    Millis baselineZoneDelay;
};

// Parses and checks an experiment. Errors name file, line and field.
Parsed<Experiment> parseExperiment(const std::string &file, const std::string &text);

} // namespace quetzal
