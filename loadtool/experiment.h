// Description of a load experiment, read from YAML: requests, load steps, faults and bounds.
#pragma once

#include "quetzal/millis.h"
#include "version/yamlreader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal {

// One kind of request in the mix.
struct RequestKind
{
    // Path and query. "{n}" is replaced by the sequence number of the request.
    std::string path;
    std::string method = "GET";
    // Share of the mix, relative to the weights of the other kinds.
    double weight = 1;
    // Whether the request may run more than once; if not, a second run counts as a violation.
    bool repeatable = true;
    // Whether a request that was not confirmed as run is sent to another host under the same
    // request id.
    bool resend = false;
};

// A rate of requests that applies from a time on, until the next step.
struct LoadStep
{
    // Time since the start of the experiment.
    Millis at;
    // Mean arrivals per second.
    double rate = 0;
};

// A scheduled fault: a control request to a stand-in or a signal to a process.
struct TimelineEntry
{
    // Time since the start of the experiment.
    Millis at;
    // Target of a POST as "ADDRESS/PATH?QUERY"; empty for a signal.
    std::string post;
    // File that holds the id of the process to signal; empty for a POST.
    std::string pidFile;
    // Number of the signal.
    int signal = 0;
};

// Bounds that the results must meet. A negative bound is not checked.
struct ExperimentBounds
{
    // Minimum fraction of searches with an answer from all shards.
    double minComplete = -1;
    // Maximum 99th percentile of the latency, in ms.
    double maxP99Ms = -1;
    // Maximum ratio of additional runs on searchers (retries and hedges) to first attempts.
    double maxExtraLoad = -1;
    // Whether the 99th percentile of the added latency (latency without the service time of the
    // slowest shard) must not exceed that of the baseline.
    bool addedBelowBaseline = false;
};

// A load experiment.
struct Experiment
{
    // Addresses of the hosts to send requests to.
    std::vector<std::string> targets;
    // Address of the control interface of the searchers' stand-in.
    std::string searcherControlAddress;
    // Number of documents in each pool's index.
    std::uint64_t documents = 100'000;
    // Length of the load; the baseline, if there is one, runs for the same time after it.
    Millis length;
    std::uint64_t seed = 1;
    std::vector<RequestKind> requests;
    std::vector<LoadStep> loadSteps;
    std::vector<TimelineEntry> timeline;
    ExperimentBounds bounds;
    // Pools file and pool of the baseline, which queries one random replica of each shard directly;
    // empty for no baseline.
    std::string baselinePoolsFile;
    std::string baselinePool;
    // One-way delay between zones, simulated for the baseline's requests, which bypass the link
    // stand-in.
    Millis baselineZoneDelay;
};

// Parses and validates an experiment. Each error names the file, line and field.
Parsed<Experiment> parseExperiment(const std::string &file, const std::string &text);

} // namespace quetzal
