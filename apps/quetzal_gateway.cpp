// quetzal-gateway: serves callers from searchers that register themselves in the platform's store.
#include "platform/headernames.h"
#include "platform/storefeed.h"
#include "process/eventlog.h"
#include "process/gatewayprocess.h"
#include "quetzal/steadyclock.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>

#include <unistd.h>

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
    std::ifstream file(path);
    if (path.empty() || !file) {
        quetzal::logEvent(quetzal::LogEvent::SettingsRefused,
                          "cannot read settings file \"" + path + "\"");
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    auto parsed = quetzal::parseGatewaySettings(path, text.str());
    for (const std::string &error : parsed.errors)
        quetzal::logEvent(quetzal::LogEvent::SettingsRefused, error);
    if (!parsed.ok())
        return std::nullopt;
    return std::move(parsed.value);
}

// The signals that the process handles, blocked in every thread.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : { SIGTERM, SIGINT, SIGHUP, SIGUSR1 })
        sigaddset(&signals, number);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

// Waits for signals on a thread of its own.
class SignalWaiter
{
public:
    SignalWaiter(quetzal::GatewayProcess &process, std::string path, const sigset_t &signals)
        : process(process)
        , path(std::move(path))
        , signals(signals)
        , thread([this] { this->wait(); })
    {}

    ~SignalWaiter()
    {
        // Ends the wait.
        kill(getpid(), SIGUSR1);
        this->thread.join();
    }

    SignalWaiter(const SignalWaiter &) = delete;
    SignalWaiter &operator=(const SignalWaiter &) = delete;

private:
    void wait()
    {
        while (true) {
            int number = 0;
            if (sigwait(&this->signals, &number) != 0)
                continue;
            if (number == SIGUSR1)
                return;
            if (number == SIGHUP)
                this->reload();
            else
                this->process.shutdown();
        }
    }

    void reload()
    {
        if (const auto next = readSettings(this->path)) {
            this->process.reload(*next);
            quetzal::logEvent(quetzal::LogEvent::SettingsReloaded, "file=" + this->path);
        }
    }

    quetzal::GatewayProcess &process;
    std::string path;
    sigset_t signals;
    std::thread thread;
};

int serve(const quetzal::GatewaySettings &settings, const std::string &path,
          const sigset_t &signals)
{
    const std::uint64_t seed = quetzal::stableHash(
            settings.name, static_cast<std::uint64_t>(quetzal::SteadyClock::now().count()));
    const auto makeFeed = [seed](quetzal::EventLoop &loop, const std::string &address,
                                 quetzal::ServingView &view) {
        return std::make_unique<quetzal::platform::StoreFeed>(loop, address, view, seed);
    };
    try {
        quetzal::GatewayProcess process(settings, quetzal::platform::headerNames(), makeFeed);
        const SignalWaiter waiter(process, path, signals);
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
    const sigset_t signals = blockSignals();
    std::signal(SIGPIPE, SIG_IGN);
    quetzal::startConsoleLog();
    const std::string path = absl::GetFlag(FLAGS_settings);
    const auto settings = readSettings(path);
    if (!settings)
        return exitUsage;
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << path << ": settings are valid\n";
        return exitOk;
    }
    return serve(*settings, path, signals);
}
