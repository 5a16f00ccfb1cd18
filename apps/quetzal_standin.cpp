// quetzal-standin: simulates the services that quetzalchute depends on, for tests and experiments:
// the platform's store and host list, the searchers, and the network links between zones.
#include "process/eventlog.h"
#include "standins/hostsstandin.h"
#include "standins/linkstandin.h"
#include "standins/recordstandin.h"
#include "standins/searcherpoolsstandin.h"
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

ABSL_FLAG(std::string, listen, "127.0.0.1:9000",
          "address of the service or of its control interface");
ABSL_FLAG(std::string, file, "",
          "hosts: JSON host list; searchers: pools.yaml; records: searchers.yaml; link: YAML list "
          "of directions");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random numbers");
ABSL_FLAG(std::uint64_t, documents, 100000, "searchers: number of documents in each pool's index");
ABSL_FLAG(double, service_ms, 8, "searchers: median service time; records: service time");
ABSL_FLAG(double, straggler_fraction, 0.01, "searchers, records: fraction of slow requests");
ABSL_FLAG(double, request_limit, 0,
          "records: requests a second that each searcher says it accepts, if above 0");
ABSL_FLAG(bool, leaving, false, "records: the searchers say that they are leaving");
ABSL_FLAG(double, pause_ms, 0,
          "records: pause that a searcher with a full queue asks for, if above 0");
ABSL_FLAG(double, cold_ms, 0, "searchers: time after a start during which requests are slow");
ABSL_FLAG(double, delay_ms, 4, "link: one-way delay");
ABSL_FLAG(double, jitter_ms, 0.5, "link: maximum random delay added to each datagram");
ABSL_FLAG(double, loss, 0, "link: fraction of datagrams that are dropped");

namespace {

constexpr int exitUsage = 2;

// Throws Poco::FileNotFoundException if the file cannot be opened.
std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw Poco::FileNotFoundException(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

// Parses a pools file. Prints the errors and throws Poco::DataFormatException if it is invalid.
std::vector<quetzal::Pool> readPools(const std::string &path)
{
    // Only the pools are needed, so the table of routes is empty.
    const auto parsed = quetzal::parseTables("routes", "routes: []", path, readFile(path));
    for (const std::string &error : parsed.errors)
        std::cerr << error << "\n";
    if (!parsed.ok())
        throw Poco::DataFormatException(path);
    return parsed.value.pools;
}

// Parses the list of a link's directions. Prints the errors and throws Poco::DataFormatException if
// it is invalid.
std::vector<quetzal::LinkDirection> readDirections(const std::string &path)
{
    quetzal::YamlReader reader(path);
    std::vector<quetzal::LinkDirection> directions;
    for (const YAML::Node &node : reader.load(readFile(path)))
        directions.push_back({ reader.text(node, "from", "way", true),
                               reader.text(node, "to", "way", true),
                               reader.text(node, "listen", "way", true),
                               reader.text(node, "target", "way", true) });
    for (const std::string &error : reader.errors())
        std::cerr << error << "\n";
    if (!reader.errors().empty())
        throw Poco::DataFormatException(path);
    return directions;
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
    behaviour.medianServiceTime = quetzal::Millis(absl::GetFlag(FLAGS_service_ms));
    behaviour.stragglerFraction = absl::GetFlag(FLAGS_straggler_fraction);
    behaviour.coldPeriod = quetzal::Millis(absl::GetFlag(FLAGS_cold_ms));
    const quetzal::SearcherPoolsStandin searchers(
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
    behaviour.serviceTime = quetzal::Millis(absl::GetFlag(FLAGS_service_ms));
    behaviour.stragglerFraction = absl::GetFlag(FLAGS_straggler_fraction);
    if (absl::GetFlag(FLAGS_request_limit) > 0)
        behaviour.statement.requestLimit = absl::GetFlag(FLAGS_request_limit);
    behaviour.statement.leaving = absl::GetFlag(FLAGS_leaving);
    if (absl::GetFlag(FLAGS_pause_ms) > 0)
        behaviour.statement.pause = quetzal::Millis(absl::GetFlag(FLAGS_pause_ms));
    const quetzal::RecordStandin searchers(loop, quetzal::HeaderNames(), parsed.value.searchers,
                                           behaviour, absl::GetFlag(FLAGS_seed));
    loop.run();
}

void runLink(quetzal::EventLoop &loop)
{
    quetzal::LinkImpairment impairment;
    impairment.delay = quetzal::Millis(absl::GetFlag(FLAGS_delay_ms));
    impairment.jitter = quetzal::Millis(absl::GetFlag(FLAGS_jitter_ms));
    impairment.loss = absl::GetFlag(FLAGS_loss);
    const quetzal::LinkStandin link(loop, absl::GetFlag(FLAGS_listen),
                                    readDirections(absl::GetFlag(FLAGS_file)), impairment,
                                    absl::GetFlag(FLAGS_seed));
    loop.run();
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
            "quetzal-standin store|hosts|searchers|records|link [flags]: simulates "
            "a service for tests and experiments.");
    const std::vector<char *> arguments = absl::ParseCommandLine(argc, argv);
    const std::string command = arguments.size() > 1 ? arguments[1] : "";
    std::signal(SIGPIPE, SIG_IGN);
    quetzal::startLog("");
    quetzal::EventLoop loop;
    try {
        if (command == "store")
            runStore(loop);
        else if (command == "hosts")
            runHosts(loop);
        else if (command == "searchers")
            runSearchers(loop);
        else if (command == "records")
            runRecords(loop);
        else if (command == "link")
            runLink(loop);
        else {
            std::cerr << "quetzal-standin: \"" << command
                      << "\" is not one of store, hosts, searchers, records, link\n";
            return exitUsage;
        }
    } catch (const Poco::Exception &error) {
        std::cerr << "quetzal-standin: " << error.displayText() << "\n";
        return exitUsage;
    }
    return 0;
}
