// What a load run prints and writes at its end.
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

static double quantile(std::vector<double> &values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

namespace {

// Prints "name value unit bound ok|RED" and keeps whether all held.
class Lines
{
public:
    void figure(const std::string &name, double value, const std::string &unit)
    {
        std::cout << name << ' ' << value << ' ' << unit << " - ok\n";
    }

    void bound(const std::string &name, double value, const std::string &unit, double limit,
               bool held)
    {
        std::cout << name << ' ' << value << ' ' << unit << ' ' << limit << ' '
                  << (held ? "ok" : "RED") << '\n';
        this->allHeld = this->allHeld && held;
    }

    bool held() const { return this->allHeld; }

private:
    bool allHeld = true;
};

} // namespace

bool Runner::report()
{
    const auto ledger = parseLedger(this->fetch(this->experiment.searchersControl, "/ledger"));
    const PromiseCounts counts = checkPromises(this->answers, ledger, this->experiment.documents);
    std::vector<double> latencies;
    std::vector<double> added;
    double searches = 0;
    double complete = 0;
    double refused = 0;
    double lost = 0;
    double firstAttempts = 0;
    for (const CallerAnswer &answer : this->answers) {
        lost += answer.answered ? 0 : 1;
        if (!answer.search)
            continue;
        searches += 1;
        refused += answer.status == statusUnavailable ? 1 : 0;
        latencies.push_back(answer.latency.count());
        const bool whole = answer.verdict == "ran" && answer.shardsTotal > 0
                           && answer.shardsAnswered == answer.shardsTotal;
        complete += whole ? 1 : 0;
        firstAttempts += answer.shardsTotal;
        if (whole && answer.serviceMs >= 0)
            added.push_back(answer.latency.count() - answer.serviceMs);
    }
    double runs = 0;
    double expired = 0;
    for (const LedgerLine &line : ledger) {
        expired += line.expired ? 1 : 0;
        runs += line.version.value != 0 && line.requestId.starts_with("load-") ? 1 : 0;
    }
    Lines lines;
    lines.figure("live/requests", static_cast<double>(this->answers.size()), "requests");
    lines.figure("live/lost", lost, "requests");
    lines.figure("live/refused", refused, "requests");
    lines.figure("live/p50", quantile(latencies, 0.5), "ms");
    lines.figure("live/p90", quantile(latencies, 0.9), "ms");
    const double p99 = quantile(latencies, 0.99);
    const ExperimentBounds &bounds = this->experiment.bounds;
    if (bounds.mostP99 >= 0)
        lines.bound("live/p99", p99, "ms", bounds.mostP99, p99 <= bounds.mostP99);
    else
        lines.figure("live/p99", p99, "ms");
    lines.figure("live/p99.9", quantile(latencies, 0.999), "ms");
    const double share = searches > 0 ? complete / searches : 1;
    if (bounds.leastComplete >= 0)
        lines.bound("live/complete", share, "fraction", bounds.leastComplete,
                    share >= bounds.leastComplete);
    else
        lines.figure("live/complete", share, "fraction");
    const double extra = firstAttempts > 0 ? runs / firstAttempts - 1 : 0;
    if (bounds.mostExtraLoad >= 0)
        lines.bound("live/extra-load", extra, "fraction", bounds.mostExtraLoad,
                    extra <= bounds.mostExtraLoad);
    else
        lines.figure("live/extra-load", extra, "fraction");
    const double addedP99 = quantile(added, 0.99);
    lines.figure("live/added-p50", quantile(added, 0.5), "ms");
    lines.figure("live/added-p99", addedP99, "ms");
    if (!this->baselineSearchers.empty()) {
        const double baseline = quantile(this->baselineLatencies, 0.99);
        lines.figure("live/baseline-queries", static_cast<double>(this->baselineSent), "queries");
        lines.figure("live/baseline-complete", static_cast<double>(this->baselineLatencies.size()),
                     "queries");
        lines.figure("live/baseline-added-p50", quantile(this->baselineLatencies, 0.5), "ms");
        lines.figure("live/baseline-added-p99", baseline, "ms");
        if (bounds.addedBelowBaseline)
            lines.bound("live/added-p99-ratio", addedP99 / baseline, "ratio", 1,
                        addedP99 <= baseline);
    }
    const auto promise = [&](const std::string &name, std::uint64_t count) {
        lines.bound("live/" + name, static_cast<double>(count), "violations", 0, count == 0);
    };
    promise("P1-snapshot", counts.snapshot);
    promise("P2-coverage", counts.coverage);
    promise("P3-foreign-reply", counts.foreignReply);
    promise("P4-not-run", counts.falseNotRun);
    promise("P5-ran-twice", counts.ranTwice);
    promise("P6-after-drain", counts.afterDrain);
    lines.figure("live/expired-work", expired, "runs");
    return lines.held();
}

void Runner::writeFiles() const
{
    if (!this->options.csv.empty()) {
        std::ofstream csv(this->options.csv);
        csv << "sent_ms,latency_ms,status,verdict,shards_answered,shards_total,version\n";
        for (const CallerAnswer &answer : this->answers)
            csv << (answer.sentAt - this->startedAt).count() << ',' << answer.latency.count() << ','
                << answer.status << ',' << answer.verdict << ',' << answer.shardsAnswered << ','
                << answer.shardsTotal << ',' << answer.version.value << '\n';
    }
    if (this->options.plot.empty())
        return;
    std::ofstream plot(this->options.plot);
    plot << "set terminal png size 1000,500\nset output '" << this->options.plot << ".png'\n"
         << "set datafile separator ','\nset xlabel 'seconds'\nset ylabel 'latency, ms'\n"
         << "set logscale y\nplot '" << this->options.csv
         << "' using ($1/1000):2 skip 1 with dots title 'requests'\n";
}

} // namespace quetzal
