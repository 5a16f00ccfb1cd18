// quetzal-gateway: answers callers' queries from searchers that are registered in the platform's
// store or listed in files.
#include "platform/headernames.h"
#include "platform/storefeed.h"
#include "process/eventlog.h"
#include "process/filefeed.h"
#include "process/gatewayprocess.h"
#include "quetzal/steadyclock.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, settings, "", "path of the YAML settings of this host");
ABSL_FLAG(bool, check, false, "check the settings and exit");

namespace {

constexpr int exitOk = 0;
constexpr int exitRequestsAborted = 1;
constexpr int exitUsage = 2;

// Reads and parses the settings. Logs every error; returns nothing if there is one.
std::optional<quetzal::GatewaySettings> readSettings(const std::string &path)
{
    const auto text = quetzal::readTextFile(path);
    if (!text) {
        quetzal::logEvent(quetzal::LogEvent::SettingsRefused,
                          "cannot read settings file \"" + path + "\"");
        return std::nullopt;
    }
    auto parsed = quetzal::parseGatewaySettings(path, *text);
    for (const std::string &error : parsed.errors)
        quetzal::logEvent(quetzal::LogEvent::SettingsRefused, error);
    if (!parsed.ok())
        return std::nullopt;
    return std::move(parsed.value);
}

// Set by the signal handlers, polled by Watcher.
volatile std::sig_atomic_t stopRequested = 0;
volatile std::sig_atomic_t reloadRequested = 0;

void onStopSignal(int)
{
    stopRequested = 1;
}
void onReloadSignal(int)
{
    reloadRequested = 1;
}

void handleSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    std::signal(SIGHUP, onReloadSignal);
}

// Polls for signals and for changes of the settings file on every tick of the process. SIGTERM and
// SIGINT shut the process down; SIGHUP or a changed file reloads the settings.
class Watcher
{
public:
    Watcher(quetzal::GatewayProcess &process, std::string path)
        : process(process)
        , path(std::move(path))
        , lastContents(quetzal::readTextFile(this->path).value_or(""))
    {
        this->process.setTickHandler([this] { this->poll(); });
    }

private:
    void poll()
    {
        if (stopRequested != 0) {
            stopRequested = 0;
            this->process.shutdown();
        }
        // A file that changed without a SIGHUP is reloaded as well.
        static constexpr int ticksBetweenReads = 20;
        if (reloadRequested == 0 && ++this->ticks % ticksBetweenReads != 0)
            return;
        const auto contents = quetzal::readTextFile(this->path);
        const bool requested = reloadRequested != 0;
        reloadRequested = 0;
        if (!requested && (!contents || *contents == this->lastContents))
            return;
        // Noted before the settings are applied: bad ones are reported once, not with every poll.
        this->lastContents = contents.value_or("");
        if (const auto settings = readSettings(this->path)) {
            this->process.reload(*settings);
            quetzal::logEvent(quetzal::LogEvent::SettingsReloaded, "file=" + this->path);
        }
    }

    quetzal::GatewayProcess &process;
    std::string path;
    std::string lastContents;
    int ticks = 0;
};

int serve(const quetzal::GatewaySettings &settings, const std::string &path)
{
    const std::uint64_t seed = quetzal::stableHash(
            settings.name, static_cast<std::uint64_t>(quetzal::SteadyClock::now().count()));
    const bool usesFiles = settings.files.isConfigured();
    const auto makeFeed = [&](quetzal::EventLoop &loop, const std::string &address,
                              quetzal::ServingView &view) -> std::unique_ptr<quetzal::ViewFeed> {
        if (usesFiles)
            return std::make_unique<quetzal::FileFeed>(loop, settings.files, view);
        return std::make_unique<quetzal::platform::StoreFeed>(loop, address, view, seed);
    };
    try {
        // Searchers that are listed in files use the default header names, not the platform's.
        quetzal::GatewayProcess process(
                settings, usesFiles ? quetzal::HeaderNames() : quetzal::platform::headerNames(),
                makeFeed);
        const Watcher watcher(process, path);
        return process.run() ? exitOk : exitRequestsAborted;
    } catch (const std::exception &error) {
        std::cerr << "quetzal-gateway: " << quetzal::describe(error) << "\n";
        return exitUsage;
    }
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
            "quetzal-gateway --settings FILE: answers callers' queries from registered searchers.\n"
            "SIGTERM and SIGINT shut it down gracefully, SIGHUP reloads the settings.\n"
            "Exit codes: 0 shut down gracefully, 1 a running request was aborted at shutdown, "
            "2 invalid settings or address.");
    absl::ParseCommandLine(argc, argv);
    handleSignals();
    quetzal::startConsoleLog();
    const std::string path = absl::GetFlag(FLAGS_settings);
    const auto settings = readSettings(path);
    if (!settings)
        return exitUsage;
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << path << ": settings are valid\n";
        return exitOk;
    }
    // quick_exit() skips joining the log library's threads. Lines are written as they are logged,
    // so that none remains to be flushed.
    std::quick_exit(serve(*settings, path));
}
