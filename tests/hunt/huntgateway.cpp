#include "hunt/huntgateway.h"

#include "hunt/pause.h"
#include "quetzal/steadyclock.h"

#include <csignal>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace quetzal {

HuntGateway::HuntGateway(std::string program, std::string settingsFile, std::string logFile)
    : program(std::move(program))
    , settingsFile(std::move(settingsFile))
    , logFile(std::move(logFile))
{
    this->start();
}

HuntGateway::~HuntGateway()
{
    this->awaitEnd(Millis());
}

void HuntGateway::start()
{
    std::string option = "--settings=" + this->settingsFile;
    char *argv[] = { this->program.data(), option.data(), nullptr };
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, this->logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = posix_spawn(&this->pid, this->program.c_str(), &actions, nullptr,
                                  static_cast<char **>(argv), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::system_error(error, std::generic_category(), this->program);
    this->starts += 1;
}

void HuntGateway::signal(int number) const
{
    if (this->pid > 0)
        ::kill(this->pid, number);
}

void HuntGateway::awaitEnd(Millis limit)
{
    const Millis end = SteadyClock::now() + limit;
    while (this->pid > 0 && SteadyClock::now() < end) {
        if (::waitpid(this->pid, nullptr, WNOHANG) == this->pid)
            this->pid = 0;
        pause(Millis(10));
    }
    if (this->pid <= 0)
        return;
    ::kill(this->pid, SIGKILL);
    ::waitpid(this->pid, nullptr, 0);
    this->pid = 0;
}

bool HuntGateway::endedByItself()
{
    if (this->pid <= 0 || ::waitpid(this->pid, nullptr, WNOHANG) != this->pid)
        return false;
    this->pid = 0;
    return true;
}

} // namespace quetzal
