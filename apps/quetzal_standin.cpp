// quetzal-standin: small stand-ins of the platform, the searchers and the links between zones.
#include "process/eventlog.h"
#include "standins/hostsstandin.h"
#include "standins/linkstandin.h"
#include "standins/recordstandin.h"
#include "standins/searchersstandin.h"
#include "standins/storestandin.h"
#include "version/searchersyaml.h"
#include "version/tablesyaml.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <Poco/Exception.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:9000", "address of the service or of its control");
ABSL_FLAG(std::string, file, "",
          "hosts: JSON list; searchers: pools.yaml; records: searchers.yaml; link: YAML list of "
          "ways");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of everything random");
ABSL_FLAG(std::uint64_t, documents, 100000, "searchers: documents of each pool's index");
ABSL_FLAG(double, service_ms, 8, "searchers: median service time");
ABSL_FLAG(double, straggler_fraction, 0.01, "searchers: fraction of slow requests");
ABSL_FLAG(double, cold_ms, 0, "searchers: time of cold start");
ABSL_FLAG(double, delay_ms, 4, "link: one-way delay");
ABSL_FLAG(double, jitter_ms, 0.5, "link: jitter");
ABSL_FLAG(double, loss, 0, "link: fraction of datagrams lost");

namespace {

constexpr int exitUsage = 2;

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw Poco::FileNotFoundException(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<quetzal::Pool> readPools(const std::string &path)
{
    const auto parsed = quetzal::parseTables("routes", "routes: []", path, readFile(path));
    for (const std::string &error : parsed.errors)
        std::cerr << error << "\n";
    if (!parsed.ok())
        throw Poco::DataFormatException(path);
    return parsed.value.pools;
}

std::vector<quetzal::LinkWay> readWays(const std::string &path)
{
    quetzal::YamlReader reader(path);
    std::vector<quetzal::LinkWay> ways;
    for (const YAML::Node &node : reader.load(readFile(path)))
        ways.push_back({ reader.text(node, "from", "way", true),
                         reader.text(node, "to", "way", true),
                         reader.text(node, "listen", "way", true),
                         reader.text(node, "target", "way", true) });
    for (const std::string &error : reader.errors())
        std::cerr << error << "\n";
    if (!reader.errors().empty())
        throw Poco::DataFormatException(path);
    return ways;
}

void runStore(quetzal::EventLoop &loop)
{
    const quetzal::StoreStandin store(loop, absl::GetFlag(FLAGS_listen), absl::GetFlag(FLAGS_seed));
    loop.run();
}

void runHosts(quetzal::EventLoop &loop)
{
    const quetzal::HostsStandin hosts(loop, absl::GetFlag(FLAGS_listen),
                                      readFile(absl::GetFlag(FLAGS_file)));
    loop.run();
}

void runSearchers(quetzal::EventLoop &loop)
{
    quetzal::SearcherBehaviour behaviour;
    behaviour.service = quetzal::Millis(absl::GetFlag(FLAGS_service_ms));
    behaviour.stragglerFraction = absl::GetFlag(FLAGS_straggler_fraction);
    behaviour.coldTime = quetzal::Millis(absl::GetFlag(FLAGS_cold_ms));
    const quetzal::SearchersStandin searchers(
            loop, absl::GetFlag(FLAGS_listen), readPools(absl::GetFlag(FLAGS_file)),
            absl::GetFlag(FLAGS_documents), behaviour, absl::GetFlag(FLAGS_seed));
    loop.run();
}

void runRecords(quetzal::EventLoop &loop)
{
    const std::string path = absl::GetFlag(FLAGS_file);
    const auto parsed = quetzal::parseSearchers(path, readFile(path));
    for (const std::string &error : parsed.errors)
        std::cerr << error << "\n";
    if (!parsed.ok())
        throw Poco::DataFormatException(path);
    quetzal::RecordBehaviour behaviour;
    behaviour.service = quetzal::Millis(absl::GetFlag(FLAGS_service_ms));
    behaviour.slowFraction = absl::GetFlag(FLAGS_straggler_fraction);
    const quetzal::RecordStandin searchers(loop, quetzal::HeaderNames(), parsed.value.searchers,
                                           behaviour, absl::GetFlag(FLAGS_seed));
    loop.run();
}

void runLink(quetzal::EventLoop &loop)
{
    quetzal::LinkQuality quality;
    quality.delay = quetzal::Millis(absl::GetFlag(FLAGS_delay_ms));
    quality.jitter = quetzal::Millis(absl::GetFlag(FLAGS_jitter_ms));
    quality.loss = absl::GetFlag(FLAGS_loss);
    const quetzal::LinkStandin link(loop, absl::GetFlag(FLAGS_listen),
                                    readWays(absl::GetFlag(FLAGS_file)), quality,
                                    absl::GetFlag(FLAGS_seed));
    loop.run();
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
            "quetzal-standin store|hosts|searchers|records|link [flags]: small "
            "stand-ins for tests and trials.");
    const std::vector<char *> arguments = absl::ParseCommandLine(argc, argv);
    const std::string what = arguments.size() > 1 ? arguments[1] : "";
    std::signal(SIGPIPE, SIG_IGN);
    quetzal::startLog("");
    quetzal::EventLoop loop;
    try {
        if (what == "store")
            runStore(loop);
        else if (what == "hosts")
            runHosts(loop);
        else if (what == "searchers")
            runSearchers(loop);
        else if (what == "records")
            runRecords(loop);
        else if (what == "link")
            runLink(loop);
        else {
            std::cerr << "quetzal-standin: \"" << what
                      << "\" is not one of store, hosts, searchers, records, link\n";
            return exitUsage;
        }
    } catch (const Poco::Exception &error) {
        std::cerr << "quetzal-standin: " << error.displayText() << "\n";
        return exitUsage;
    }
    return 0;
}
