// Starts a program of this build and reads what the kernel says about it.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <sys/types.h>

namespace quetzal {

// A running program. The destructor kills it, also after a failed check.
class ChildProcess
{
public:
    // Starts a program with its output in a log file. Throws std::system_error if it cannot start.
    ChildProcess(const std::string &program, std::vector<std::string> arguments,
                 const std::string &logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    // True until the process has ended.
    bool isAlive();

    // Returns the resident memory in bytes, now and at its highest.
    std::size_t residentBytes() const { return this->statusBytes("VmRSS:"); }
    std::size_t peakResidentBytes() const { return this->statusBytes("VmHWM:"); }

    // Returns the number of open file descriptors.
    std::size_t openDescriptors() const;

    // Sets the limit of open file descriptors.
    void limitDescriptors(std::size_t limit);

private:
    std::size_t statusBytes(const std::string &field) const;

    pid_t pid = 0;
    bool ended = false;
};

} // namespace quetzal
