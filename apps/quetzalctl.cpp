// quetzalctl: command line tool for operators. Reads and edits the tables of routes and pools, and
// inspects hosts, requests and logs.
#include "process/logtrace.h"
#include "version/httpstore.h"
#include "version/tableeditor.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, store, "127.0.0.1:9000", "address of the platform's key-value service");
ABSL_FLAG(std::string, routes, "", "path of routes.yaml");
ABSL_FLAG(std::string, pools, "", "path of pools.yaml");
ABSL_FLAG(std::uint64_t, base, 0,
          "apply: revision that the files were edited from (0: the current one)");
ABSL_FLAG(std::uint64_t, revision, 0, "get, diff, rollback: revision to read (0: the current one)");
ABSL_FLAG(std::string, author, "operator", "author of the edit, for the history");
ABSL_FLAG(std::string, summary, "", "summary of the edit, for the history");
ABSL_FLAG(std::vector<std::string>, hosts, {}, "admin addresses of the hosts, comma-separated");
ABSL_FLAG(double, wait, 0,
          "apply, rollback: seconds to wait for the revision to be in force on all hosts");
ABSL_FLAG(std::uint64_t, keep, 50, "gc: number of revisions whose chunks are kept");
ABSL_FLAG(std::size_t, sample, 0, "trace: number of failed requests to sample");
ABSL_FLAG(std::uint64_t, seed, 1, "trace: seed of the sample");
ABSL_FLAG(std::string, url, "", "explain: URL to request, as http://HOST:PORT/PATH");

namespace {

using namespace quetzal;

constexpr int exitOk = 0;
constexpr int exitRefused = 1;
constexpr int exitUsage = 2;
constexpr int exitUnavailable = 3;
constexpr int exitNotInForce = 4;
constexpr Millis storeTimeout = Millis(2000);
// Maximum number of revisions that are read from the history, newest first.
constexpr std::size_t historyLength = 1000;

using Editor = TableEditor<HttpStore>;

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

// Sends a GET and returns the body of its response, or nothing if there is none within the
// time-out. explain asks for a report of the attempts.
std::optional<std::string> fetch(const std::string &address, const std::string &target,
                                 bool explain)
{
    using namespace Poco::Net;
    try {
        HTTPClientSession session{ SocketAddress(address) };
        static constexpr int timeoutSeconds = 5;
        session.setTimeout(Poco::Timespan(timeoutSeconds, 0));
        HTTPRequest request(HTTPRequest::HTTP_GET, target, HTTPMessage::HTTP_1_1);
        if (explain)
            request.set("X-Quetzal-Explain", "1");
        session.sendRequest(request);
        HTTPResponse response;
        std::string body;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
        return body;
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
}

// Returns the tables of a revision, 0 being the current one. Prints an error and returns nothing if
// they cannot be read.
std::optional<TableContents> readRevision(Editor &editor, std::uint64_t revision)
{
    for (const Manifest &manifest : editor.history(historyLength)) {
        if (revision != 0 && manifest.revision.value != revision)
            continue;
        auto contents = editor.readTables(manifest);
        if (!contents)
            std::cerr << "quetzalctl: a chunk of revision " << manifest.revision.value
                      << " was garbage-collected or cannot be read\n";
        return contents;
    }
    std::cerr << "quetzalctl: revision " << revision << " is not in the history\n";
    return std::nullopt;
}

// Returns how many hosts use this revision or a later one. Hosts that do not answer do not count.
std::size_t countInForce(Revision revision)
{
    std::size_t count = 0;
    for (const std::string &host : absl::GetFlag(FLAGS_hosts)) {
        const auto body = fetch(host, "/status", false);
        if (!body)
            continue;
        Poco::JSON::Parser parser;
        const auto json = parser.parse(*body).extract<Poco::JSON::Object::Ptr>();
        count += json->getValue<Poco::UInt64>("revision") >= revision.value ? 1 : 0;
    }
    return count;
}

// Waits up to --wait seconds for the revision to be in force on all hosts and prints the state.
// Returns the exit code.
int reportInForce(Revision revision)
{
    const std::size_t hosts = absl::GetFlag(FLAGS_hosts).size();
    std::cout << "accepted, revision " << revision.value;
    if (hosts == 0) {
        std::cout << "\n";
        return exitOk;
    }
    const auto end = std::chrono::steady_clock::now()
                     + std::chrono::duration<double>(absl::GetFlag(FLAGS_wait));
    std::size_t count = countInForce(revision);
    while (count < hosts && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        count = countInForce(revision);
    }
    std::cout << ", in force on " << count << " of " << hosts << " hosts\n";
    return count == hosts || absl::GetFlag(FLAGS_wait) == 0 ? exitOk : exitNotInForce;
}

// Prints the outcome of an edit. Returns the exit code.
int reportEdit(const EditResult &result)
{
    for (const std::string &problem : result.problems)
        std::cerr << "quetzalctl: " << problem << "\n";
    switch (result.status) {
    case EditStatus::Accepted:
        return reportInForce(result.revision);
    case EditStatus::Unchanged:
        std::cout << "unchanged, revision " << result.revision.value << "\n";
        return exitOk;
    case EditStatus::Conflict:
        std::cerr << "quetzalctl: refused, the entries above were changed by another edit, up "
                     "to revision "
                  << result.revision.value << "\n";
        return exitRefused;
    case EditStatus::Invalid:
        return exitRefused;
    case EditStatus::Unavailable:
        return exitUnavailable;
    }
    return exitUnavailable;
}

// Returns the author and summary that are stored with an edit.
EditNote editNote()
{
    return { absl::GetFlag(FLAGS_author), absl::GetFlag(FLAGS_summary) };
}

// Parses the files of --routes and --pools. Prints the errors and returns nothing if they are
// invalid.
std::optional<TableContents> readEditedTables()
{
    const std::string routesPath = absl::GetFlag(FLAGS_routes);
    const std::string poolsPath = absl::GetFlag(FLAGS_pools);
    const auto routes = readFile(routesPath);
    const auto pools = readFile(poolsPath);
    if (!routes || !pools) {
        std::cerr << "quetzalctl: cannot read \"" << (routes ? poolsPath : routesPath) << "\"\n";
        return std::nullopt;
    }
    const auto parsed = parseTables(routesPath, *routes, poolsPath, *pools);
    for (const std::string &error : parsed.errors)
        std::cerr << error << "\n";
    if (!parsed.ok())
        return std::nullopt;
    return parsed.value;
}

int apply(Editor &editor)
{
    const auto tables = readEditedTables();
    if (!tables)
        return exitUsage;
    std::optional<TableContents> base;
    if (absl::GetFlag(FLAGS_base) != 0) {
        base = readRevision(editor, absl::GetFlag(FLAGS_base));
        if (!base)
            return exitUsage;
    }
    return reportEdit(editor.apply(*tables, base, editNote()));
}

int rollback(Editor &editor)
{
    const auto tables = readRevision(editor, absl::GetFlag(FLAGS_revision));
    if (!tables)
        return exitUsage;
    return reportEdit(editor.apply(*tables, std::nullopt, editNote()));
}

int get(Editor &editor)
{
    const auto contents = readRevision(editor, absl::GetFlag(FLAGS_revision));
    if (!contents)
        return exitUnavailable;
    const std::string routes = absl::GetFlag(FLAGS_routes);
    const std::string pools = absl::GetFlag(FLAGS_pools);
    if (routes.empty() || pools.empty()) {
        std::cout << formatRoutes(contents->routes)
                  << formatPools(contents->zones, contents->pools);
        return exitOk;
    }
    std::ofstream(routes) << formatRoutes(contents->routes);
    std::ofstream(pools) << formatPools(contents->zones, contents->pools);
    return exitOk;
}

int diff(Editor &editor)
{
    const auto current = readRevision(editor, absl::GetFlag(FLAGS_revision));
    const auto tables = readEditedTables();
    if (!current || !tables)
        return exitUsage;
    static constexpr std::array<std::string_view, 3> differenceMarks = { "+", "~", "-" };
    for (const EntryChange &change : TableEntries(*current).differences(TableEntries(*tables)))
        std::cout << differenceMarks[static_cast<std::size_t>(change.difference)] << " "
                  << change.entry << "\n";
    return exitOk;
}

int history(Editor &editor)
{
    for (const Manifest &manifest : editor.history(historyLength))
        std::cout << manifest.revision.value << "\t" << manifest.author << "\t" << manifest.summary
                  << "\n";
    return exitOk;
}

int status()
{
    bool allAnswered = true;
    for (const std::string &host : absl::GetFlag(FLAGS_hosts)) {
        const auto body = fetch(host, "/status", false);
        std::cout << host << "\t" << (body ? *body : "no answer") << "\n";
        allAnswered = allAnswered && body.has_value();
    }
    return allAnswered ? exitOk : exitUnavailable;
}

int collectGarbage(Editor &editor)
{
    const auto removed = editor.collectGarbage(absl::GetFlag(FLAGS_keep));
    if (!removed) {
        std::cerr << "quetzalctl: the manifest was changed by another editor or the store is "
                     "unavailable; try again\n";
        return exitUnavailable;
    }
    std::cout << "removed " << *removed << " chunks\n";
    return exitOk;
}

int explain()
{
    const std::string url = absl::GetFlag(FLAGS_url);
    static constexpr std::string_view scheme = "http://";
    const std::size_t path = url.find('/', scheme.size());
    if (!url.starts_with(scheme) || path == std::string::npos) {
        std::cerr << "quetzalctl: --url \"" << url << "\" must be http://HOST:PORT/PATH\n";
        return exitUsage;
    }
    const auto body
            = fetch(url.substr(scheme.size(), path - scheme.size()), url.substr(path), true);
    if (!body)
        return exitUnavailable;
    std::cout << *body << "\n";
    return exitOk;
}

// Parses the log files of several hosts. Prints an error and returns nothing if one cannot be read.
std::optional<std::vector<LogLine>> readLogs(const std::vector<std::string> &paths)
{
    std::vector<LogLine> lines;
    for (const std::string &path : paths) {
        std::ifstream file(path);
        if (!file) {
            std::cerr << "quetzalctl: cannot read log \"" << path << "\"\n";
            return std::nullopt;
        }
        for (std::string text; std::getline(file, text);) {
            if (auto line = parseLogLine(text, path))
                lines.push_back(std::move(*line));
        }
    }
    return lines;
}

void printTrace(const std::string &id, const RequestTrace &trace)
{
    for (const LogLine &line : trace.lines) {
        std::cout << line.time << "  " << line.host << "  " << line.event;
        for (const auto &[key, value] : line.fields) {
            if (key != "id")
                std::cout << " " << key << "=" << value;
        }
        std::cout << "\n";
    }
    std::cout << "cause of " << id << ": " << trace.cause << "\n";
}

// Explains requests from log files. "trace ID FILE..." prints the events of one request and the
// cause of its outcome; "trace --sample N FILE..." prints the causes of N failed requests, chosen
// at random.
int trace(const std::vector<std::string> &arguments)
{
    const std::size_t sample = absl::GetFlag(FLAGS_sample);
    const bool isSampling = sample > 0;
    if (arguments.size() < (isSampling ? 1U : 2U)) {
        std::cerr << "quetzalctl: usage: quetzalctl trace ID FILE... | trace --sample N FILE...\n";
        return exitUsage;
    }
    const auto lines = readLogs({ arguments.begin() + (isSampling ? 0 : 1), arguments.end() });
    if (!lines)
        return exitUsage;
    if (!isSampling) {
        const RequestTrace result = traceRequest(*lines, arguments.front());
        printTrace(arguments.front(), result);
        return result.explained ? exitOk : exitUnavailable;
    }
    std::vector<std::string> ids = failedRequests(*lines);
    std::shuffle(ids.begin(), ids.end(), std::mt19937_64(absl::GetFlag(FLAGS_seed)));
    ids.resize(std::min(ids.size(), sample));
    std::size_t explained = 0;
    for (const std::string &id : ids) {
        const RequestTrace result = traceRequest(*lines, id);
        std::cout << id << ": " << result.cause << "\n";
        explained += result.explained ? 1 : 0;
    }
    std::cout << explained << " of " << ids.size() << " explained\n";
    return explained == ids.size() ? exitOk : exitUnavailable;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
            "quetzalctl apply|get|diff|history|rollback|status|gc|explain|trace [flags]\n"
            "Exit codes: 0 done, 1 edit refused, 2 invalid input, 3 no answer, 4 accepted but not "
            "yet in force on all hosts.");
    const std::vector<char *> arguments = absl::ParseCommandLine(argc, argv);
    const std::string command = arguments.size() > 1 ? arguments[1] : "";
    if (command == "trace")
        return trace({ arguments.begin() + 2, arguments.end() });
    HttpStore store(absl::GetFlag(FLAGS_store), storeTimeout);
    Editor editor(store, std::random_device()());
    if (command == "apply")
        return apply(editor);
    if (command == "get")
        return get(editor);
    if (command == "diff")
        return diff(editor);
    if (command == "history")
        return history(editor);
    if (command == "rollback")
        return rollback(editor);
    if (command == "status")
        return status();
    if (command == "gc")
        return collectGarbage(editor);
    if (command == "explain")
        return explain();
    std::cerr
            << "quetzalctl: \"" << command
            << "\" is not one of apply, get, diff, history, rollback, status, gc, explain, trace\n";
    return exitUsage;
}
