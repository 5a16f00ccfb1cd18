// Report and output files of a load experiment.
#include "loadtool/runner.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace quetzal {

static constexpr int statusUnavailable = 503;

// Returns a quantile of the values, which are sorted in place, or 0 if there are none.
static double quantile(std::vector<double> &values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

namespace {

// Prints result lines of the form "name value unit bound ok|RED", and records whether all bounds
// held.
class ResultPrinter
{
public:
    // Prints a value without a bound.
    void printValue(const std::string &name, double value, const std::string &unit)
    {
        std::cout << name << ' ' << value << ' ' << unit << " - ok\n";
    }

    void printBound(const std::string &name, double value, const std::string &unit, double limit,
                    bool held)
    {
        std::cout << name << ' ' << value << ' ' << unit << ' ' << limit << ' '
                  << (held ? "ok" : "RED") << '\n';
        this->allHeld = this->allHeld && held;
    }

    bool passed() const { return this->allHeld; }

private:
    bool allHeld = true;
};

} // namespace

bool Runner::printReport()
{
    const auto ledger
            = parseLedger(this->fetch(this->experiment.searcherControlAddress, "/ledger"));
    const ViolationCounts counts
            = countViolations(this->answers, ledger, this->experiment.documents);
    std::vector<double> latencies;
    // Latencies of complete searches without the service time of the slowest shard, in ms.
    std::vector<double> added;
    double searches = 0;
    double complete = 0;
    double refused = 0;
    double lost = 0;
    double firstAttempts = 0;
    for (const CallerAnswer &answer : this->answers) {
        lost += answer.answered ? 0 : 1;
        if (!answer.isSearch)
            continue;
        searches += 1;
        refused += answer.status == statusUnavailable ? 1 : 0;
        latencies.push_back(answer.latency.count());
        const bool isComplete = answer.verdict == "ran" && answer.shardsTotal > 0
                                && answer.shardsAnswered == answer.shardsTotal;
        complete += isComplete ? 1 : 0;
        firstAttempts += answer.shardsTotal;
        if (isComplete && answer.slowestServiceMs >= 0)
            added.push_back(answer.latency.count() - answer.slowestServiceMs);
    }
    // Runs of the load's searches; the baseline and requests that are no searches are not counted.
    double runs = 0;
    double expiredRuns = 0;
    for (const LedgerLine &line : ledger) {
        expiredRuns += line.expired ? 1 : 0;
        runs += line.version.value != 0 && line.requestId.starts_with("load-") ? 1 : 0;
    }
    ResultPrinter results;
    results.printValue("live/requests", static_cast<double>(this->answers.size()), "requests");
    results.printValue("live/lost", lost, "requests");
    results.printValue("live/refused", refused, "requests");
    results.printValue("live/p50", quantile(latencies, 0.5), "ms");
    results.printValue("live/p90", quantile(latencies, 0.9), "ms");
    const double p99 = quantile(latencies, 0.99);
    const ExperimentBounds &bounds = this->experiment.bounds;
    if (bounds.maxP99Ms >= 0)
        results.printBound("live/p99", p99, "ms", bounds.maxP99Ms, p99 <= bounds.maxP99Ms);
    else
        results.printValue("live/p99", p99, "ms");
    results.printValue("live/p99.9", quantile(latencies, 0.999), "ms");
    const double completeShare = searches > 0 ? complete / searches : 1;
    if (bounds.minComplete >= 0)
        results.printBound("live/complete", completeShare, "fraction", bounds.minComplete,
                           completeShare >= bounds.minComplete);
    else
        results.printValue("live/complete", completeShare, "fraction");
    const double extraLoad = firstAttempts > 0 ? runs / firstAttempts - 1 : 0;
    if (bounds.maxExtraLoad >= 0)
        results.printBound("live/extra-load", extraLoad, "fraction", bounds.maxExtraLoad,
                           extraLoad <= bounds.maxExtraLoad);
    else
        results.printValue("live/extra-load", extraLoad, "fraction");
    const double addedP99 = quantile(added, 0.99);
    results.printValue("live/added-p50", quantile(added, 0.5), "ms");
    results.printValue("live/added-p99", addedP99, "ms");
    if (!this->baselineSearchers.empty()) {
        const double baseline = quantile(this->baselineLatencies, 0.99);
        results.printValue("live/baseline-queries", static_cast<double>(this->baselineSent),
                           "queries");
        results.printValue("live/baseline-complete",
                           static_cast<double>(this->baselineLatencies.size()), "queries");
        results.printValue("live/baseline-added-p50", quantile(this->baselineLatencies, 0.5), "ms");
        results.printValue("live/baseline-added-p99", baseline, "ms");
        if (bounds.addedBelowBaseline)
            results.printBound("live/added-p99-ratio", addedP99 / baseline, "ratio", 1,
                               addedP99 <= baseline);
    }
    const auto printGuarantee = [&](const std::string &name, std::uint64_t count) {
        results.printBound("live/" + name, static_cast<double>(count), "violations", 0, count == 0);
    };
    printGuarantee("P1-snapshot", counts.mixedVersion);
    printGuarantee("P2-coverage", counts.wrongCoverage);
    printGuarantee("P3-foreign-reply", counts.foreignReply);
    printGuarantee("P4-not-run", counts.falseNotRun);
    printGuarantee("P5-ran-twice", counts.ranTwice);
    printGuarantee("P6-after-drain", counts.afterDrain);
    results.printValue("live/expired-work", expiredRuns, "runs");
    return results.passed();
}

void Runner::writeFiles() const
{
    if (!this->options.csvPath.empty()) {
        std::ofstream csv(this->options.csvPath);
        csv << "sent_ms,latency_ms,status,verdict,shards_answered,shards_total,version\n";
        for (const CallerAnswer &answer : this->answers)
            csv << (answer.sentAt - this->startedAt).count() << ',' << answer.latency.count() << ','
                << answer.status << ',' << answer.verdict << ',' << answer.shardsAnswered << ','
                << answer.shardsTotal << ',' << answer.version.value << '\n';
    }
    if (this->options.plotPath.empty())
        return;
    std::ofstream plot(this->options.plotPath);
    plot << "set terminal png size 1000,500\nset output '" << this->options.plotPath << ".png'\n"
         << "set datafile separator ','\nset xlabel 'seconds'\nset ylabel 'latency, ms'\n"
         << "set logscale y\nplot '" << this->options.csvPath
         << "' using ($1/1000):2 skip 1 with dots title 'requests'\n";
}

} // namespace quetzal
