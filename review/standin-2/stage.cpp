#include "stage.h"

#include <array>
#include <cstdlib>
#include <filesystem>
#include <sstream>
#include <thread>

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

static std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

// Replaces all occurrences of a text.
static std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
        text.replace(at, from.size(), to);
    return text;
}

// Removes a section of a template: its value is absent on this deployment.
static std::string withoutSection(const std::string &text, const std::string &name)
{
    const std::string end = "{{/" + name + "}}";
    const std::size_t from = text.find("{{#" + name + "}}");
    const std::size_t to = text.find(end);
    if (from == std::string::npos || to == std::string::npos)
        return text;
    return text.substr(0, from) + text.substr(to + end.size());
}

// Returns the command of the deploy file's role, without the words that name its settings.
static std::string deployedProgram()
{
    const std::string text = readFile("deploy/system.toml");
    static constexpr std::string_view field = "run = \"";
    const std::size_t begin = text.find(field) + field.size();
    return text.substr(begin, text.find(' ', begin) - begin);
}

Stage::Stage(const std::string &recordPath)
    : temporary((std::filesystem::temp_directory_path() / "review-XXXXXX").string())
    , recordFile(recordPath)
{
    const char *trouble = std::getenv("TROUBLE");
    this->troubled = trouble == nullptr || std::string(trouble) != "0";
    if (::mkdtemp(this->temporary.data()) == nullptr)
        this->temporary.clear();
    this->record(this->troubled ? "run with the disruption" : "run without the disruption");
}

Stage::~Stage()
{
    for (const pid_t process : this->processes) {
        ::kill(process, SIGCONT);
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
    }
    std::error_code error;
    if (!this->temporary.empty())
        std::filesystem::remove_all(this->temporary, error);
}

// Addresses of one run differ from those of another run that goes on at the same time.
static std::string ipOf(int host)
{
    const int run = ::getpid() % 50'000;
    return "127." + std::to_string(20 + run / 250) + "." + std::to_string(1 + run % 250) + "."
           + std::to_string(host);
}

Address Stage::freeAddress(int host)
{
    static std::uint16_t port = 24'000;
    while (true) {
        Address address = { ipOf(host), ++port };
        if (listenOn(address).isOpen())
            return address;
    }
}

void Stage::record(const std::string &line)
{
    const std::lock_guard lock(this->mutex);
    const auto at = std::chrono::duration_cast<Milliseconds>(Clock::now() - this->startedAt);
    this->recordFile << at.count() << " ms: " << line << std::endl;
}

std::string Stage::nextRequestId()
{
    const std::lock_guard lock(this->mutex);
    std::ostringstream text;
    text << std::hex << 0x9c41d07be2000000 + ++this->lastRequest;
    return text.str();
}

std::string Stage::settingsOf(const Machine &machine) const
{
    static const std::string quota = "bounds.quotaWindowS";
    std::string text = readFile("deploy/settings.yaml");
    if (this->hasAllowances)
        text = replaced(replaced(text, "{{#" + quota + "}}\n", ""), "{{/" + quota + "}}\n", "");
    else
        text = withoutSection(text, quota);
    std::string list;
    for (const std::size_t seed : this->seeds)
        list.append(list.empty() ? "\"" : ", \"")
                .append(this->started[seed].ip)
                .append(":")
                .append(this->controlPort)
                .append("\"");
    text = replaced(text, R"({{#seeds}}"{{.}}"{{,}}{{/seeds}})", list);
    const std::map<std::string, std::string> values = {
        { "node", machine.name },
        { "zone", machine.zone },
        { "ip", machine.ip },
        { "listen.front", machine.front.text() },
        { "listen.ready", machine.ready.text() },
        { "listen.control", machine.ip + ":" + this->controlPort },
        { "internalPortRange.0", this->heartbeatPort },
        { "platform.address", this->store.text() },
        { "limits.cpuShare", "0.25" },
        { "limits.memoryMb", "260" },
        { "bounds.retryBudgetRatio", "0.2" },
        { "bounds.retrySlack", "56" },
        { "bounds.retryWindowS", "10" },
        { "bounds.graceS", "6" },
        { "bounds.configApplyMs", "3000" },
        { "bounds.quotaWindowS", "5" },
        { "bounds.quotaOver", "0.1" },
        { "bounds.quotaSlack", "20" },
    };
    for (const auto &[name, value] : values)
        text = replaced(text, std::string("{{").append(name).append("}}"), value);
    return text;
}

pid_t Stage::spawn(const std::vector<std::string> &words, const std::string &output)
{
    std::vector<char *> arguments;
    arguments.reserve(words.size() + 1);
    for (const std::string &word : words)
        arguments.push_back(const_cast<char *>(word.c_str()));
    arguments.push_back(nullptr);
    const pid_t process = ::fork();
    if (process != 0)
        return process;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    ::execv(arguments.front(), arguments.data());
    ::_exit(2);
}

std::string Stage::writeSettings(const Machine &machine) const
{
    std::string path = this->temporary + "/" + machine.name + ".toml";
    std::ofstream(path) << this->settingsOf(machine);
    return path;
}

pid_t Stage::launch(const Machine &machine) const
{
    return Stage::spawn({ deployedProgram(), "--settings=" + this->writeSettings(machine) },
                        this->temporary + "/" + machine.name + ".log");
}

void Stage::restart(std::size_t machine)
{
    ::waitpid(this->processes[machine], nullptr, 0);
    this->processes[machine] = this->launch(this->started[machine]);
    this->record("start of " + this->started[machine].name);
}

void Stage::reload(std::size_t machine)
{
    this->writeSettings(this->started[machine]);
    this->signal(machine, SIGHUP);
}

bool Stage::start(const std::vector<std::string> &zones, const Address &storeAddress)
{
    this->heartbeatPort = std::to_string(this->freeAddress(1).port);
    this->controlPort = std::to_string(this->freeAddress(1).port);
    const std::uint16_t front = this->freeAddress(1).port;
    const std::uint16_t ready = this->freeAddress(1).port;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        const std::string ip = ipOf(static_cast<int>(i) + 1);
        this->started.push_back({ "edge-" + zones[i] + "-" + std::to_string(i + 1),
                                  zones[i],
                                  ip,
                                  { ip, front },
                                  { ip, ready } });
    }
    this->store = storeAddress;
    for (const Machine &machine : this->started)
        this->processes.push_back(this->launch(machine));
    for (const Machine &machine : this->started) {
        const Time until = Clock::now() + std::chrono::seconds(10);
        int status = 0;
        while (status != 200 && Clock::now() < until) {
            Connection connection(connectTo(machine.ready));
            status = exchange(connection, "GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n",
                              Clock::now() + std::chrono::seconds(1))
                             .status;
            std::this_thread::sleep_for(Milliseconds(50));
        }
        if (status != 200) {
            this->record(machine.name + " is not ready");
            return false;
        }
        this->record(machine.name + " is ready");
    }
    return true;
}

void Stage::signal(std::size_t machine, int number)
{
    this->record("signal " + std::to_string(number) + " to " + this->started[machine].name);
    ::kill(this->processes[machine], number);
}

Answer exchange(Connection &connection, const std::string &request, Time until,
                std::size_t bytesPerSecond)
{
    Answer answer;
    if (!connection.isOpen() || !connection.write(request)
        || connection.readHead(answer.message, until) != ReadEnd::Complete)
        return answer;
    answer.status = answer.message.status();
    answer.expectedBytes
            = std::strtoull(answer.message.field("Content-Length").c_str(), nullptr, 10);
    answer.isComplete
            = connection.readBody(answer.message, until, bytesPerSecond) == ReadEnd::Complete;
    return answer;
}

std::string makeRequest(const std::string &method, const std::string &path,
                        const std::string &requestId, Milliseconds budget, const std::string &body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + routeHost
                       + "\r\nQuetzalchute-Request-Id: " + requestId
                       + "\r\nQuetzalchute-Deadline-Ms: " + std::to_string(budget.count()) + "\r\n";
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

std::string makeConfig(int version, const std::string &routes,
                       const std::vector<std::string> &services)
{
    std::string list;
    for (const std::string &service : services)
        list += (list.empty() ? "" : ",") + (R"({"name":")" + service)
                + R"(","healthCheck":"/health","maxConns":110,"protocol":"h1","tls":false})";
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes
           + R"(],"services":[)" + list
           + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,)"
             R"("idleTimeoutMs":15000}})";
}

} // namespace review
