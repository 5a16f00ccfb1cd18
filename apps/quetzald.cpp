// quetzald: the daemon of a host. It accepts callers' queries as an entry host and gathers replies
// for other hosts as a relay.
#include "process/daemon.h"
#include "process/eventlog.h"

#include <csignal>
#include <ctime>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <Poco/Exception.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, settings, "", "path of the YAML settings of this host");
ABSL_FLAG(bool, check, false, "check the settings and exit");

namespace {

constexpr int exitOk = 0;
constexpr int exitRequestsAborted = 1;
constexpr int exitUsage = 2;

// Shuts the daemon down on SIGTERM or SIGINT, which it waits for on a dedicated thread.
class SignalWaiter
{
public:
    explicit SignalWaiter(quetzal::Daemon &daemon)
    {
        this->thread = std::thread([this, &daemon] { this->waitForSignals(daemon); });
    }

    ~SignalWaiter()
    {
        this->stopping = true;
        this->thread.join();
    }

    SignalWaiter(const SignalWaiter &) = delete;
    SignalWaiter &operator=(const SignalWaiter &) = delete;

    // Blocks the signals in the calling thread and in all threads started from it, so that only
    // sigtimedwait() receives them.
    static sigset_t blockSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        return signals;
    }

private:
    void waitForSignals(quetzal::Daemon &daemon) const
    {
        const sigset_t signals = blockSignals();
        static constexpr long pollPeriodNanos = 100'000'000;
        const timespec pollPeriod = { 0, pollPeriodNanos };
        while (!this->stopping) {
            if (sigtimedwait(&signals, nullptr, &pollPeriod) > 0)
                daemon.shutdown();
        }
    }

    std::atomic<bool> stopping = false;
    std::thread thread;
};

// Runs the daemon until it is shut down. Returns the exit code.
int serve(const quetzal::Settings &settings)
{
    SignalWaiter::blockSignals();
    std::signal(SIGPIPE, SIG_IGN);
    quetzal::startLog(settings.logFile);
    try {
        quetzal::Daemon daemon(settings);
        const SignalWaiter waiter(daemon);
        return daemon.run() ? exitOk : exitRequestsAborted;
    } catch (const Poco::Exception &error) {
        std::cerr << "quetzald: " << error.displayText() << "\n";
        return exitUsage;
    }
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("quetzald --settings FILE: answers callers' queries.\n"
                                 "Exit codes: 0 shut down gracefully, 1 a running request was "
                                 "aborted at shutdown, 2 invalid settings or address.");
    absl::ParseCommandLine(argc, argv);
    const std::string path = absl::GetFlag(FLAGS_settings);
    std::ifstream file(path);
    if (path.empty() || !file) {
        std::cerr << "quetzald: cannot read settings file \"" << path << "\"\n";
        return exitUsage;
    }
    std::stringstream text;
    text << file.rdbuf();
    const auto parsed = quetzal::parseSettings(path, text.str());
    if (!parsed.ok()) {
        quetzal::startLog("");
        for (const std::string &error : parsed.errors)
            quetzal::logEvent(quetzal::LogEvent::SettingsRefused, error);
        return exitUsage;
    }
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << path << ": settings are valid\n";
        return exitOk;
    }
    return serve(parsed.value);
}
