#include "hunt/hunt.h"

#include "hunt/pause.h"
#include "platform/documents.h"
#include "platform/samples.h"
#include "quetzal/steadyclock.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <csignal>
#include <iostream>
#include <stdexcept>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <unistd.h>

namespace quetzal {

static constexpr std::size_t hostCount = 4;
static constexpr std::size_t callersPerHost = 2;
static constexpr int routeCount = 8;
static constexpr Millis changeDeadline = Millis(3000);
static constexpr Millis contactTime = Millis(4000);
static constexpr Millis rollbackSlack = Millis(250);
static constexpr Millis recoveryTime = Millis(12'000);
// Faults come in bursts, with calm spans in which the bounds hold.
static constexpr double cycleMs = 20'000;
static constexpr double burstMs = 7000;
// A delay of the test's own threads that counts as an impairment.
static constexpr Millis schedulingDelay = Millis(300);

static const std::vector<std::string> &allPools()
{
    static const std::vector<std::string> pools = { "a", "b", "c", "s1", "s2", "s3", "s4" };
    return pools;
}

static std::string prefixOf(int route)
{
    return "/r" + std::to_string(route) + "/";
}

Hunt::Hunt(const std::string &program, std::uint64_t seed)
    : seed(seed)
    , searchers(allPools())
    , store(hostCount)
    , hosts(hostCount)
{
    std::string name = (std::filesystem::temp_directory_path() / "quetzal-hunt-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("cannot create " + name);
    this->directory = name;
    this->recordFile.open(this->directory / "record.txt");
    this->startedAt = SteadyClock::now();
    for (const auto &[id, value] : this->searchers.registrations())
        this->store.put(platform::searchersPrefix + id, value);
    this->routes = { { prefixOf(0), { "a" } }, { prefixOf(1), { "s1", "s2" } } };
    this->writeTables(1);
    this->startHosts(program);
}

Hunt::~Hunt()
{
    for (Host &host : this->hosts)
        host.process.reset();
}

void Hunt::startHosts(const std::string &program)
{
    std::array<Poco::Net::ServerSocket, hostCount * 4> sockets;
    std::array<std::string, hostCount * 4> addresses;
    for (std::size_t i = 0; i < sockets.size(); ++i) {
        sockets[i].bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
        addresses[i] = sockets[i].address().toString();
    }
    const auto view = [&](std::size_t host) { return "\"" + addresses[host * 4 + 2] + "\""; };
    for (Poco::Net::ServerSocket &socket : sockets)
        socket.close();
    for (std::size_t i = 0; i < hostCount; ++i) {
        Host &host = this->hosts[i];
        const std::string number = std::to_string(i);
        const auto file = this->directory / ("host" + number);
        std::ofstream(file.string() + ".yaml")
                << "host: { name: host" << number << ", zone: z }\nlisten: { callers: \""
                << addresses[i * 4] << "\", ready: \"" << addresses[i * 4 + 1]
                << "\", view: " << view(i) << ", heartbeat: \"" << addresses[i * 4 + 3]
                << "\" }\nstore: { address: \"" << this->store.address(i) << "\" }\nseeds: [ "
                << view(0) << ", " << view(1)
                << " ]\nlimits: { grace_ms: 6000, change_in_force_ms: "
                << static_cast<int>(changeDeadline.count()) << " }\n";
        host.address = addresses[i * 4];
        host.readyAddress = addresses[i * 4 + 1];
        host.process = std::make_unique<HuntGateway>(program, file.string() + ".yaml",
                                                     file.string() + ".log");
        host.calmSince = SteadyClock::now();
    }
    const Millis end = SteadyClock::now() + recoveryTime;
    for (const Host &host : this->hosts) {
        Caller caller(host.readyAddress);
        while (caller.call("/", "ready").status != 200) {
            if (SteadyClock::now() > end)
                throw std::runtime_error("a host is not ready");
            pause(Millis(50));
        }
    }
}

int Hunt::run(Millis span)
{
    std::vector<std::thread> faults;
    std::vector<std::thread> calls;
    const auto add = [](std::vector<std::thread> &threads, auto &&function) {
        threads.emplace_back(function);
    };
    this->startedAt = SteadyClock::now();
    add(faults, [this] { this->operate(); });
    add(faults, [this] { this->writeOddEntries(); });
    add(calls, [this] { this->watchScheduling(); });
    for (std::size_t i = 0; i < hostCount; ++i) {
        add(faults, [this, i] { this->impairStore(i); });
        add(faults, [this, i] { this->sendSignals(i); });
        add(faults, [this, i] { this->loseConnections(i); });
        for (std::size_t caller = 0; caller < callersPerHost; ++caller)
            add(calls, [this, i, caller] { this->callHost(i, caller); });
    }
    pause(span);
    this->faultsEnded = true;
    for (std::thread &thread : faults)
        thread.join();
    this->record("faults ended");
    this->checkRecovery();
    this->callsEnded = true;
    for (std::thread &thread : calls)
        thread.join();
    this->record("judged requests: " + std::to_string(this->judged));
    std::cout << "seed " << this->seed << ": " << this->judged << " requests judged, "
              << this->violations << " violations" << std::endl;
    return this->violations;
}

void Hunt::rest(Millis span) const
{
    const Millis end = SteadyClock::now() + span;
    while (!this->faultsEnded && SteadyClock::now() < end)
        pause(std::min(Millis(20), end - SteadyClock::now()));
}

bool Hunt::isBurst() const
{
    const double at = std::fmod((SteadyClock::now() - this->startedAt).count(), cycleMs);
    return at < burstMs;
}

void Hunt::record(const std::string &line)
{
    const std::lock_guard lock(this->mutex);
    this->recordFile << static_cast<long>((SteadyClock::now() - this->startedAt).count())
                     << " ms: " << line << std::endl;
}

void Hunt::violate(const std::string &line)
{
    this->record("VIOLATION " + line);
    const std::lock_guard lock(this->mutex);
    static constexpr int printed = 20;
    if (++this->violations <= printed)
        std::cout << "seed " << this->seed << ": " << line << std::endl;
}

void Hunt::beginTrouble(std::size_t host, const std::string &what)
{
    this->record("host" + std::to_string(host) + " begins: " + what);
    const std::lock_guard lock(this->mutex);
    this->hosts[host].troubles += 1;
}

void Hunt::endTrouble(std::size_t host, const std::string &what)
{
    this->record("host" + std::to_string(host) + " ends: " + what);
    const std::lock_guard lock(this->mutex);
    this->hosts[host].troubles -= 1;
    this->hosts[host].calmSince = SteadyClock::now();
}

// Threads that were not scheduled for long delay the store and the searchers, too.
void Hunt::watchScheduling()
{
    Millis last = SteadyClock::now();
    while (!this->callsEnded) {
        pause(Millis(20));
        const Millis now = SteadyClock::now();
        if (now - last > schedulingDelay) {
            for (std::size_t i = 0; i < hostCount; ++i) {
                this->beginTrouble(i, "the test was delayed");
                this->endTrouble(i, "the test was delayed");
            }
        }
        last = now;
    }
}

void Hunt::writeTables(std::uint64_t version)
{
    this->history.add(version, this->routes);
    this->store.put(platform::tablesKey,
                    platform::makeSampleTables(version, this->routes, allPools()));
    this->history.confirm(SteadyClock::now());
}

void Hunt::operate()
{
    static const std::array<std::set<std::string>, 6> targets
            = { { { "a" }, { "b" }, { "c" }, { "s1", "s2" }, { "s3", "s4" }, { "s1", "s3" } } };
    Draw draw(this->seed, 1);
    std::uint64_t version = 1;
    while (!this->faultsEnded) {
        this->rest(draw.between(100, 3500));
        for (std::size_t changes = 1 + draw.below(3); changes > 0; --changes) {
            const std::string route = prefixOf(static_cast<int>(draw.below(routeCount)));
            if (draw.below(4) == 0 && this->routes.size() > 2)
                this->routes.erase(route);
            else
                this->routes[route] = targets[draw.below(targets.size())];
        }
        version += 1 + draw.below(9);
        this->writeTables(version);
        std::string text = "tables " + std::to_string(version) + ":";
        for (const auto &[route, pools] : this->routes)
            text += " " + route + "=" + *pools.begin();
        this->record(text);
    }
}

// Returns a registration with one odd part.
static std::string makeEntry(const std::string &address, const std::string &state = "ready",
                             const std::string &numbers = R"("sequence":4)")
{
    return R"({"service":"a","address":")" + address
           + R"(","zone":"z","maxConcurrency":2,"state":")" + state + "\"," + numbers + "}";
}

void Hunt::writeOddEntries()
{
    static const std::string good = "127.0.0.1:9";
    static const std::vector<std::string> values = {
        makeEntry("127.0.0.1:65536"),
        makeEntry("127.0.0.1:99999"),
        makeEntry("searcher.invalid:80"),
        makeEntry("fd00::17:8080"),
        makeEntry("127.0.0.1"),
        makeEntry("no address"),
        makeEntry(good, "odd\\n"),
        makeEntry(good, "odd", R"("sequence":4,"warmupLeftMs":1e300)"),
        makeEntry(good, "ready", R"("sequence":4,"born":1e300)"),
        makeEntry(good, "ready", R"("sequence":99999999999999999999)"),
        std::string(50'000, '['),
        "\xff\xfe",
        "",
        "null",
        "7",
    };
    static const std::vector<std::string> keys = { "i-odd", "i-odd\xff", "i\\ud800", "i\\n", "" };
    Draw draw(this->seed, 2);
    while (!this->faultsEnded) {
        const std::size_t value = draw.below(values.size());
        const std::string key = platform::searchersPrefix + keys[draw.below(keys.size())];
        this->store.put(key, values[value]);
        this->record("odd entry " + key + " value " + std::to_string(value));
        this->rest(draw.between(200, 4000));
        this->store.erase(key);
    }
}

void Hunt::impairStore(std::size_t host)
{
    Draw draw(this->seed, 100 + host);
    while (!this->faultsEnded) {
        this->rest(draw.between(100, 3000));
        const auto fault = static_cast<StoreFault>(1 + draw.below(storeFaultNames.size() - 1));
        const Millis span = draw.between(100, 4000);
        const bool isSpared = draw.below(3) == 0;
        if (!this->isBurst() || isSpared || this->faultsEnded)
            continue;
        const std::string what
                = "store " + std::string(storeFaultNames[static_cast<std::size_t>(fault)]);
        this->beginTrouble(host, what);
        this->store.setFault(host, fault);
        this->rest(span);
        this->store.setFault(host, StoreFault::None);
        this->endTrouble(host, what);
    }
}

void Hunt::loseConnections(std::size_t host)
{
    Draw draw(this->seed, 200 + host);
    while (!this->faultsEnded) {
        this->rest(draw.between(300, 6000));
        const std::size_t kind = draw.below(3);
        this->record(
                "host" + std::to_string(host)
                + std::array{ " connections silent", " watches end", " history dropped" }[kind]);
        if (kind == 0)
            this->store.silenceConnections(host);
        else if (kind == 1)
            this->store.endWatches(host);
        else
            this->store.dropHistory(host);
    }
}

void Hunt::sendSignals(std::size_t host)
{
    Draw draw(this->seed, 300 + host);
    HuntGateway &process = *this->hosts[host].process;
    while (!this->faultsEnded) {
        this->rest(draw.between(500, 5000));
        const std::size_t kind = draw.below(4);
        const Millis span = draw.between(200, 3000);
        this->checkProcess(host);
        if (!this->isBurst() || this->faultsEnded)
            continue;
        const std::string what = std::array{ "pause", "SIGKILL", "SIGTERM", "pause" }[kind];
        this->beginTrouble(host, what);
        if (kind == 1 || kind == 2) {
            process.signal(kind == 1 ? SIGKILL : SIGTERM);
            process.awaitEnd(Millis(7000));
            this->rest(span);
            {
                const std::lock_guard lock(this->mutex);
                this->hosts[host].shown.clear();
                process.start();
            }
        } else {
            process.signal(SIGSTOP);
            this->rest(span);
            process.signal(SIGCONT);
        }
        this->endTrouble(host, what);
    }
}

void Hunt::checkProcess(std::size_t host)
{
    const std::lock_guard lock(this->mutex);
    HuntGateway &process = *this->hosts[host].process;
    if (!process.endedByItself())
        return;
    this->violations += 1;
    std::cout << "seed " << this->seed << ": host" << host << " ended by itself" << std::endl;
    this->recordFile << "VIOLATION host" << host << " ended by itself" << std::endl;
    this->hosts[host].shown.clear();
    process.start();
}

void Hunt::callHost(std::size_t host, std::size_t caller)
{
    Draw draw(this->seed, 400 + host * callersPerHost + caller);
    Caller connection(this->hosts[host].address);
    std::uint64_t count = 0;
    while (!this->callsEnded) {
        pause(draw.between(5, 40));
        const std::string route = prefixOf(static_cast<int>(draw.below(routeCount)));
        const std::string id
                = "9c" + std::to_string(host * 10 + caller) + "x" + std::to_string(++count);
        const int lifetime = this->hosts[host].process->lifetime();
        const Millis sentAt = SteadyClock::now();
        const Caller::Answer answer = connection.call(route + "x", id);
        if (answer.status == 404 || (answer.status == 200 && !answer.pools.empty()))
            this->judge(host, route, answer, sentAt, lifetime);
    }
}

void Hunt::judge(std::size_t host, const std::string &route, const Caller::Answer &answer,
                 Millis sentAt, int lifetime)
{
    std::string problem;
    {
        const std::lock_guard lock(this->mutex);
        Host &state = this->hosts[host];
        if (state.process->lifetime() != lifetime)
            return;
        std::uint64_t shown = 0;
        for (const auto &[at, version] : state.shown)
            shown = at + rollbackSlack < sentAt ? version : shown;
        const std::uint64_t due = this->history.newestAt(sentAt - changeDeadline);
        const bool inTouch = state.troubles == 0 && state.calmSince + contactTime < sentAt;
        this->judged += inTouch;
        const std::uint64_t proven = this->history.oldestAllowing(route, answer.pools, shown);
        if (proven == 0)
            problem = "went back behind " + std::to_string(shown);
        else if (inTouch && this->history.oldestAllowing(route, answer.pools, due) == 0)
            problem = "is behind " + std::to_string(due);
        const std::uint64_t last = state.shown.empty() ? 0 : state.shown.back().second;
        if (proven > last)
            state.shown.emplace_back(SteadyClock::now(), proven);
    }
    if (problem.empty())
        return;
    std::string pools;
    for (const std::string &pool : answer.pools)
        pools += " " + pool;
    this->violate("host" + std::to_string(host) + " " + problem + ": status "
                  + std::to_string(answer.status) + " on " + route + pools + ", sent at "
                  + std::to_string(static_cast<long>((sentAt - this->startedAt).count())) + " ms");
}

void Hunt::checkRecovery()
{
    pause(recoveryTime);
    for (std::size_t i = 0; i < hostCount; ++i) {
        this->checkProcess(i);
        Caller caller(this->hosts[i].address);
        for (const auto &[route, pools] : this->routes) {
            const Caller::Answer answer
                    = caller.call(route + "x", "9d" + std::to_string(i) + route.substr(2, 1));
            if (answer.status != 200 || answer.pools != pools)
                this->violate("host" + std::to_string(i) + " has not recovered: status "
                              + std::to_string(answer.status) + " on " + route);
        }
    }
}

} // namespace quetzal
