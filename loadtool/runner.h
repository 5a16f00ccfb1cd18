// Runs an experiment: open-loop load, timeline, checks and report.
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
    std::string csv;
    std::string plot;
    bool progress = true;
};

// Sends requests at their planned times whatever became of earlier ones, so that a slow answer
// delays no other request.
class Runner
{
public:
    Runner(const Experiment &experiment, const RunnerOptions &options);
    ~Runner();

    // Runs to the end. Returns true if every promise and bound held.
    bool run();

private:
    struct Target;
    struct Open;

    void scheduleNext();
    void sendNew();
    void send(const std::shared_ptr<Open> &open);
    void onResponse(const std::shared_ptr<Open> &open, const HttpResponse &response);
    void onLost(const std::shared_ptr<Open> &open, bool bytesSent);
    void finish(const std::shared_ptr<Open> &open);
    void resend(const std::shared_ptr<Open> &open);
    Target &pickTarget(const Target *except);
    void act(const TimelineEntry &entry);
    double rateAt(Millis sinceStart) const;
    void sendBaseline();
    void showProgress();
    bool report();
    void writeFiles() const;
    std::string fetch(const std::string &address, const std::string &target) const;

    Experiment experiment;
    RunnerOptions options;
    EventLoop loop;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Target>> targets;
    std::vector<CallerAnswer> answers;
    std::vector<double> baselineLatencies;
    std::vector<Searcher> baselineSearchers;
    std::uint32_t baselineShards = 0;
    std::unordered_map<std::string, std::deque<std::shared_ptr<HttpClient>>> baselineIdle;
    std::uint64_t baselineSent = 0;
    Millis startedAt;
    Millis plannedAt;
    std::uint64_t sent = 0;
    std::size_t openCount = 0;
    double searchesSent = 0;
};

} // namespace quetzal
