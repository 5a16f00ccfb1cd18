// A quetzal-gateway process to which signals are sent.
#pragma once

#include "quetzal/millis.h"

#include <atomic>
#include <cstdint>
#include <string>

#include <sys/types.h>

namespace quetzal {

// The destructor kills the process. One thread sends signals; the others read.
class HuntGateway
{
public:
    HuntGateway(std::string program, std::string settingsFile, std::string logFile);
    ~HuntGateway();
    HuntGateway(const HuntGateway &) = delete;
    HuntGateway &operator=(const HuntGateway &) = delete;

    void start();
    void signal(int number) const;
    // Waits for the end for at most a time, then kills the process.
    void awaitEnd(Millis limit);
    // True if the process has ended although nothing ended it.
    bool endedByItself();
    // Increases with each start.
    int lifetime() const { return this->starts; }

private:
    std::string program;
    std::string settingsFile;
    std::string logFile;
    pid_t pid = 0;
    std::atomic<int> starts = 0;
};

} // namespace quetzal
