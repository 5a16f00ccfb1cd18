// Starts the project's gateways on loopback with settings made from the deploy file's template,
// keeps the record of a case, and ends all that it started.
#pragma once

#include "http.h"

#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

// A machine of the system and what a client needs to know of it.
struct Machine
{
    std::string name;
    std::string zone;
    std::string ip;
    Address front;
    Address ready;
};

// What a client saw of one attempt.
struct Answer
{
    // Zero if the connection ended before a head arrived.
    int status = 0;
    Message message;
    // True if the whole body arrived, by its Content-Length.
    bool isComplete = false;
    std::size_t expectedBytes = 0;
};

// The bounds of the sites inyambo-search and brumeau-recherche that the settings name.
class Stage
{
public:
    // recordPath: the file that the record is written to. The current folder has to be the
    // repository.
    explicit Stage(const std::string &recordPath);
    ~Stage();
    Stage(const Stage &) = delete;
    Stage &operator=(const Stage &) = delete;

    // Returns false if the case is to be run without its disruption.
    bool isTroubled() const { return this->troubled; }
    // Returns a loopback address of this run with a port that no one listens on.
    Address freeAddress(int host);
    // Starts one gateway in each zone, and returns once all are ready. Returns false if one is not
    // ready within ten seconds.
    bool start(const std::vector<std::string> &zones, const Address &storeAddress);
    const std::vector<Machine> &machines() const { return this->started; }
    // Has the settings that are written from now on name these machines as seeds. The first machine
    // is the only seed otherwise.
    void setSeeds(const std::vector<std::size_t> &machines) { this->seeds = machines; }
    // Writes the bounds of allowances into the settings, as on the site rpsd-grown.
    void enableAllowances() { this->hasAllowances = true; }
    // Starts a gateway anew that was ended by a signal.
    void restart(std::size_t machine);
    // Writes a gateway's settings anew and sends SIGHUP to it.
    void reload(std::size_t machine);
    // Sends a signal to one gateway.
    void signal(std::size_t machine, int number);
    // Starts another program, which ends with this process. Returns its process id, or -1.
    static pid_t spawn(const std::vector<std::string> &words, const std::string &output);
    // Adds a line to the record, with the time since the start.
    void record(const std::string &line);
    // Returns a request id that was not used before.
    std::string nextRequestId();
    // Returns the temporary folder of this run.
    const std::string &folder() const { return this->temporary; }

private:
    std::string settingsOf(const Machine &machine) const;
    // Writes the settings of a machine and returns their path.
    std::string writeSettings(const Machine &machine) const;
    pid_t launch(const Machine &machine) const;

    bool troubled = true;
    Time startedAt = Clock::now();
    std::string temporary;
    std::mutex mutex;
    std::ofstream recordFile;
    std::uint64_t lastRequest = 0;
    std::vector<Machine> started;
    std::vector<pid_t> processes;
    std::vector<std::size_t> seeds = { 0 };
    bool hasAllowances = false;
    Address store;
    std::string heartbeatPort;
    std::string controlPort;
};

// Sends a request on a connection and reads the answer.
Answer exchange(Connection &connection, const std::string &request, Time until,
                std::size_t bytesPerSecond = 0);

// Returns the text of a request. budget: the time that the client waits.
std::string makeRequest(const std::string &method, const std::string &path,
                        const std::string &requestId, Milliseconds budget,
                        const std::string &body = "");

// The host of all routes of the cases.
inline constexpr const char *routeHost = "atelier.example";

// Returns a config of a version with the given routes and services, as JSON lists.
std::string makeConfig(int version, const std::string &routes,
                       const std::vector<std::string> &services);

} // namespace review
