// Runs a load experiment and checks its results.
#pragma once

#include "connection/httpclient.h"
#include "loadtool/experiment.h"
#include "loadtool/ledger.h"
#include "process/eventloop.h"
#include "version/routingtables.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzal {

struct RunnerOptions
{
    // Path of the CSV file with one line per request; empty for none.
    std::string csvPath;
    // Path of the gnuplot script, which plots the CSV file; empty for none.
    std::string plotPath;
    // Whether progress is printed to stderr.
    bool showsProgress = true;
};

// Generates open-loop load: requests arrive as a Poisson process whose rate follows the load steps,
// whether or not earlier requests were answered. After the load, the baseline, if there is one,
// runs for the same time at the rate of the latest load step.
class Runner
{
public:
    Runner(const Experiment &experiment, const RunnerOptions &options);
    ~Runner();

    // Runs the whole experiment and prints the report. Returns whether all guarantees and bounds
    // held.
    bool run();

private:
    struct Target;
    struct PendingRequest;

    // Plans the next arrival, for the load or for the baseline.
    void scheduleNextRequest();
    // Starts a request of a random kind, unless too many are pending.
    void sendNewRequest();
    // Sends a request to its target, on an idle connection if there is one.
    void send(const std::shared_ptr<PendingRequest> &pending);
    void onResponse(const std::shared_ptr<PendingRequest> &pending, const HttpResponse &response);
    // Handles a connection that was lost before the response. bytesSent: part of the request was
    // written.
    void onConnectionLost(const std::shared_ptr<PendingRequest> &pending, bool bytesSent);
    void finish(const std::shared_ptr<PendingRequest> &pending);
    // Sends a request again after a pause, to another target if there is one.
    void resend(const std::shared_ptr<PendingRequest> &pending);
    // Returns a random target among those that are available and not the excepted one, or any
    // target if there is none.
    Target &pickTarget(const Target *except);
    // Sends the control request or the signal of a timeline entry.
    void applyTimelineEntry(const TimelineEntry &entry);
    // Returns the arrivals per second at a time of the experiment.
    double rateAt(Millis sinceStart) const;
    // Queries one random replica of each shard directly, with simulated delays between zones.
    void sendBaseline();
    void showProgress();
    // Fetches the ledger and prints the results. Returns whether all guarantees and bounds held.
    bool printReport();
    // Writes the CSV file and the gnuplot script.
    void writeFiles() const;
    // Returns the body of a blocking GET. Throws Poco::Exception on failure.
    std::string fetch(const std::string &address, const std::string &target) const;

    Experiment experiment;
    RunnerOptions options;
    EventLoop loop;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Target>> targets;
    std::vector<CallerAnswer> answers;
    // Latency of each baseline query without the service time of its slowest shard, in ms.
    std::vector<double> baselineLatencies;
    std::vector<Searcher> baselineSearchers;
    std::uint32_t baselineShards = 0;
    // Idle connections by the searcher's address.
    std::unordered_map<std::string, std::deque<std::shared_ptr<HttpClient>>>
            baselineIdleConnections;
    std::uint64_t baselineSent = 0;
    Millis startedAt;
    // Arrival time of the latest planned request.
    Millis plannedAt;
    std::uint64_t requestsSent = 0;
    std::size_t pendingCount = 0;
    double searchesSent = 0;
};

} // namespace quetzal
