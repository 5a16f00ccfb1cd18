#include "crowd/childprocess.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <system_error>

#include <fcntl.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace quetzal {

ChildProcess::ChildProcess(const std::string &program, std::vector<std::string> arguments,
                           const std::string &logFile)
{
    std::vector<char *> argv;
    std::string name = program;
    argv.push_back(name.data());
    for (std::string &argument : arguments)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error
            = posix_spawn(&this->pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::system_error(error, std::generic_category(), program);
}

ChildProcess::~ChildProcess()
{
    if (!this->isAlive())
        return;
    ::kill(this->pid, SIGKILL);
    ::waitpid(this->pid, nullptr, 0);
}

bool ChildProcess::isAlive()
{
    if (!this->ended)
        this->ended = ::waitpid(this->pid, nullptr, WNOHANG) != 0;
    return !this->ended;
}

std::size_t ChildProcess::statusBytes(const std::string &field) const
{
    static constexpr std::size_t bytesPerKilobyte = 1024;
    std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
    std::string word;
    std::size_t kilobytes = 0;
    while (status >> word) {
        if (word == field && status >> kilobytes)
            return kilobytes * bytesPerKilobyte;
    }
    return 0;
}

std::size_t ChildProcess::openDescriptors() const
{
    std::error_code error;
    std::size_t count = 0;
    const std::string path = "/proc/" + std::to_string(this->pid) + "/fd";
    for (std::filesystem::directory_iterator it(path, error), end; !error && it != end;
         it.increment(error))
        ++count;
    return count;
}

void ChildProcess::limitDescriptors(std::size_t limit)
{
    const rlimit limits = { limit, limit };
    if (::prlimit(this->pid, RLIMIT_NOFILE, &limits, nullptr) != 0)
        throw std::system_error(errno, std::generic_category(), "prlimit");
}

} // namespace quetzal
