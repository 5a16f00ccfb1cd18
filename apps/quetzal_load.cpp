// quetzal-load: runs load experiments with open-loop arrivals and checks the answers against the
// searchers' execution ledger.
#include "loadtool/experiment.h"
#include "loadtool/runner.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <Poco/Exception.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, csv, "", "write one CSV line per request to this file");
ABSL_FLAG(std::string, plot, "", "write a gnuplot script of latency over time to this file");
ABSL_FLAG(bool, quiet, false, "print no progress to stderr");

namespace {

constexpr int exitOk = 0;
constexpr int exitViolation = 1;
constexpr int exitUsage = 2;

// Runs the experiment of a YAML file. Returns the exit code.
int runExperiment(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << "quetzal-load: cannot read \"" << path << "\"\n";
        return exitUsage;
    }
    std::stringstream text;
    text << file.rdbuf();
    const auto parsed = quetzal::parseExperiment(path, text.str());
    for (const std::string &error : parsed.errors)
        std::cerr << error << "\n";
    if (!parsed.ok())
        return exitUsage;
    quetzal::RunnerOptions options;
    options.csvPath = absl::GetFlag(FLAGS_csv);
    options.plotPath = absl::GetFlag(FLAGS_plot);
    options.showsProgress = !absl::GetFlag(FLAGS_quiet);
    quetzal::Runner runner(parsed.value, options);
    return runner.run() ? exitOk : exitViolation;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
            "quetzal-load run FILE.yaml [flags]\nExit codes: 0 every guarantee "
            "and bound held, 1 one was violated, 2 invalid input.");
    const std::vector<char *> arguments = absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    const bool valid = arguments.size() == 3 && std::string(arguments[1]) == "run";
    if (!valid) {
        std::cerr << "quetzal-load: usage: quetzal-load run FILE.yaml\n";
        return exitUsage;
    }
    try {
        return runExperiment(arguments[2]);
    } catch (const Poco::Exception &error) {
        std::cerr << "quetzal-load: " << error.displayText() << "\n";
        return exitUsage;
    }
}
