// quetzal-gateway: serves callers from searchers that register themselves in the platform's store.
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

#include <Poco/Exception.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, settings, "", "path of the YAML settings of this host");
ABSL_FLAG(bool, check, false, "check the settings and exit");

namespace {

constexpr int exitOk = 0;
constexpr int exitCutOff = 1;
constexpr int exitUsage = 2;

// Returns the settings, or nothing after it logged what is wrong with them.
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

// Set by signals, read by the loop.
volatile std::sig_atomic_t stopAsked = 0;
volatile std::sig_atomic_t reloadAsked = 0;

void onStopSignal(int)
{
    stopAsked = 1;
}
void onReloadSignal(int)
{
    reloadAsked = 1;
}

void handleSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    std::signal(SIGHUP, onReloadSignal);
}

// Does what signals and changes of the settings file ask for.
class Watcher
{
public:
    Watcher(quetzal::GatewayProcess &process, std::string path)
        : process(process)
        , path(std::move(path))
        , text(quetzal::readTextFile(this->path).value_or(""))
    {
        this->process.setTickHandler([this] { this->look(); });
    }

private:
    void look()
    {
        if (stopAsked != 0) {
            stopAsked = 0;
            this->process.shutdown();
        }
        // The file may change without a signal.
        static constexpr int ticksBetweenReads = 20;
        if (reloadAsked == 0 && ++this->ticks % ticksBetweenReads != 0)
            return;
        const auto next = quetzal::readTextFile(this->path);
        const bool asked = reloadAsked != 0;
        reloadAsked = 0;
        if (!asked && (!next || *next == this->text))
            return;
        this->text = next.value_or("");
        if (const auto settings = readSettings(this->path)) {
            this->process.reload(*settings);
            quetzal::logEvent(quetzal::LogEvent::SettingsReloaded, "file=" + this->path);
        }
    }

    quetzal::GatewayProcess &process;
    std::string path;
    std::string text;
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
        quetzal::GatewayProcess process(
                settings, usesFiles ? quetzal::HeaderNames() : quetzal::platform::headerNames(),
                makeFeed);
        const Watcher watcher(process, path);
        return process.run() ? exitOk : exitCutOff;
    } catch (const Poco::Exception &error) {
        std::cerr << "quetzal-gateway: " << error.displayText() << "\n";
        return exitUsage;
    }
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
            "quetzal-gateway --settings FILE: serves callers' queries from registered searchers.\n"
            "SIGTERM stops it gracefully, SIGHUP reads the settings again.\n"
            "Exit codes: 0 stopped gracefully, 1 a request was cut off, 2 bad settings or "
            "address.");
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
    // Lines are written as they are logged. The log library's own threads are not waited for.
    std::quick_exit(serve(*settings, path));
}
