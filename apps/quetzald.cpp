// quetzald: the one process of a host, with the roles of entry and relay.
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
constexpr int exitCutOff = 1;
constexpr int exitUsage = 2;

// Waits for SIGTERM or SIGINT on a thread of its own.
class SignalWaiter
{
public:
    explicit SignalWaiter(quetzal::Daemon &daemon)
    {
        this->thread = std::thread([this, &daemon] { this->wait(daemon); });
    }

    ~SignalWaiter()
    {
        this->stopping = true;
        this->thread.join();
    }

    SignalWaiter(const SignalWaiter &) = delete;
    SignalWaiter &operator=(const SignalWaiter &) = delete;

    // Blocks the signals in this thread and all that it starts.
    static sigset_t block()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        return signals;
    }

private:
    void wait(quetzal::Daemon &daemon) const
    {
        const sigset_t signals = block();
        static constexpr long periodNanos = 100'000'000;
        const timespec period = { 0, periodNanos };
        while (!this->stopping) {
            if (sigtimedwait(&signals, nullptr, &period) > 0)
                daemon.shutdown();
        }
    }

    std::atomic<bool> stopping = false;
    std::thread thread;
};

int serve(const quetzal::Settings &settings)
{
    SignalWaiter::block();
    std::signal(SIGPIPE, SIG_IGN);
    quetzal::startLog(settings.logFile);
    try {
        quetzal::Daemon daemon(settings);
        const SignalWaiter waiter(daemon);
        return daemon.run() ? exitOk : exitCutOff;
    } catch (const Poco::Exception &error) {
        std::cerr << "quetzald: " << error.displayText() << "\n";
        return exitUsage;
    }
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("quetzald --settings FILE: serves callers' queries.\n"
                                 "Exit codes: 0 stopped gracefully, 1 a request was cut off, "
                                 "2 bad settings or address.");
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
