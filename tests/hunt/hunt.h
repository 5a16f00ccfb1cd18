// A tier of gateway processes under random faults, and the checks of what callers see of it.
#pragma once

#include "hunt/caller.h"
#include "hunt/huntgateway.h"
#include "hunt/huntstore.h"
#include "hunt/searcherpools.h"
#include "hunt/versionhistory.h"
#include "quetzal/millis.h"

#include <atomic>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace quetzal {

// Draws of one thread; the sequence depends on the seed and on the thread's number alone.
class Draw
{
public:
    Draw(std::uint64_t seed, std::uint64_t thread)
        : engine(seed * 1000 + thread)
    {}

    // Returns a number from 0 to below a limit.
    std::size_t below(std::size_t limit) { return this->engine() % limit; }
    Millis between(int from, int to)
    {
        return Millis(from + static_cast<int>(this->below(static_cast<std::size_t>(to - from))));
    }

private:
    std::mt19937_64 engine;
};

// One run with one seed.
class Hunt
{
public:
    Hunt(const std::string &program, std::uint64_t seed);
    ~Hunt();
    Hunt(const Hunt &) = delete;
    Hunt &operator=(const Hunt &) = delete;

    // Runs faults for a time, then checks the recovery. Returns the number of violations.
    int run(Millis span);

    // Returns the folder of the record and of the gateways' logs.
    std::string folder() const { return this->directory.string(); }

private:
    // A gateway process with what is known of it.
    struct Host
    {
        std::unique_ptr<HuntGateway> process;
        std::string address;
        std::string readyAddress;
        // Number of impairments that last, and the time at which the last one ended.
        int troubles = 0;
        Millis calmSince;
        // Times at which answers showed that a version is in force, in this lifetime.
        std::vector<std::pair<Millis, std::uint64_t>> shown;
    };

    void startHosts(const std::string &program);
    void writeTables(std::uint64_t version);
    void operate();
    void writeOddEntries();
    void impairStore(std::size_t host);
    void sendSignals(std::size_t host);
    void loseConnections(std::size_t host);
    void callHost(std::size_t host, std::size_t caller);
    void judge(std::size_t host, const std::string &route, const Caller::Answer &answer,
               Millis sentAt, int lifetime);
    void checkRecovery();
    void checkProcess(std::size_t host);
    void watchScheduling();

    void beginTrouble(std::size_t host, const std::string &what);
    void endTrouble(std::size_t host, const std::string &what);
    // Sleeps at most until the end of the faults.
    void rest(Millis span) const;
    bool isBurst() const;
    void record(const std::string &line);
    void violate(const std::string &line);

    std::uint64_t seed;
    std::filesystem::path directory;
    std::ofstream recordFile;
    std::mutex mutex;
    int violations = 0;
    Millis startedAt;
    std::atomic<bool> faultsEnded = false;
    std::atomic<bool> callsEnded = false;
    std::atomic<std::size_t> judged = 0;
    SearcherPools searchers;
    HuntStore store;
    VersionHistory history;
    VersionHistory::Routes routes;
    std::vector<Host> hosts;
};

} // namespace quetzal
