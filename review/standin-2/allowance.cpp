// Case: all machines lose power, and those that are named as seeds are lost for good. Until the
// settings name others, each of the rest takes itself for the only keeper of a tenant's allowance.
#include "searcher.h"
#include "stage.h"
#include "store.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>

#include <csignal>
#include <unistd.h>

using namespace review;

namespace {

// Bounds of the site rpsd-grown.
constexpr std::chrono::seconds quotaWindow = std::chrono::seconds(5);
constexpr double quotaOver = 0.1;
constexpr double quotaSlack = 20;
constexpr std::chrono::seconds seedLag = std::chrono::seconds(3);
constexpr double ratePerSecond = 20;
constexpr double burst = 20;
// Largest dose of hot_tenant on the site: 7.5 times the usual for 6.5 s.
constexpr std::chrono::microseconds requestPeriod = std::chrono::microseconds(7200);
constexpr Milliseconds hotTime = Milliseconds(6500);
constexpr std::size_t machineCount = 8;
constexpr std::size_t lostCount = 3;

std::string configText()
{
    std::string text
            = makeConfig(7,
                         R"({"name":"archive-fetch","host":")" + std::string(routeHost)
                                 + R"(","prefix":"/archive/","type":"idempotent",)"
                                   R"("timeoutMs":6000,"targetLatencyMs":1200,"priority":2,)"
                                   R"("maxAttempts":2,"service":"records-office"})",
                         { "records-office" });
    text.pop_back();
    return text
           + R"(,"tenants":[{"name":"tenant-a","apiKeys":["key-a"],"ratePerS":20,"burst":20,)"
             R"("priority":1}]})";
}

// Sends the tenant's requests, each on a new connection, to the machines in turn.
void sendRequests(Stage &stage, const std::vector<std::size_t> &targets, Time until,
                  std::map<std::string, Time> &sent)
{
    std::vector<std::thread> threads;
    threads.reserve(1000);
    std::size_t count = 0;
    for (Time next = Clock::now(); next < until; next += requestPeriod) {
        std::this_thread::sleep_until(next);
        const Address front = stage.machines()[targets[count++ % targets.size()]].front;
        const std::string id = stage.nextRequestId();
        sent[id] = Clock::now();
        threads.emplace_back([&stage, front, id] {
            std::string request = makeRequest("GET", "/archive/1", id, Milliseconds(6000));
            request.insert(request.find("\r\n") + 2, "Authorization: Bearer key-a\r\n");
            Connection connection(connectTo(front));
            const Answer answer = exchange(connection, request, Clock::now() + Milliseconds(1500));
            stage.record("request " + id + " sent to " + front.ip + ": status "
                         + std::to_string(answer.status));
        });
    }
    for (std::thread &thread : threads)
        thread.join();
}

// Returns the greatest number of requests that were both sent and run within a window.
std::size_t largestWindow(const std::vector<std::pair<Time, Time>> &runs)
{
    std::size_t largest = 0;
    for (const auto &[begin, ignored] : runs)
        largest = std::max(largest,
                           static_cast<std::size_t>(std::count_if(
                                   runs.begin(), runs.end(), [from = begin](const auto &run) {
                                       return run.first >= from && run.second < from + quotaWindow;
                                   })));
    return largest;
}

int run(const std::string &recordPath)
{
    Stage stage(recordPath);
    const Address storeAddress = stage.freeAddress(200);
    Store store(storeAddress);
    std::vector<std::unique_ptr<Searcher>> searchers;
    for (const std::string zone : { "riga-centrs", "riga-purvciems", "riga-imanta" }) {
        SearcherPlace place;
        place.id = "i-" + zone;
        place.service = "records-office";
        place.zone = zone;
        place.address = stage.freeAddress(100);
        place.slots = 12;
        place.work = Milliseconds(5);
        place.body = [](const std::string &id) { return "notice of request " + id; };
        searchers.push_back(std::make_unique<Searcher>(place));
        store.put("servers/" + place.id, registrationOf(place));
    }
    store.put("op/config", configText());
    stage.enableAllowances();
    std::vector<std::string> zones;
    for (std::size_t i = 0; i < machineCount; ++i)
        zones.push_back(searchers[i % searchers.size()]->place().zone);
    stage.setSeeds({ 0, 1, 2 });
    if (!stage.start(zones, storeAddress))
        return 2;
    std::this_thread::sleep_for(std::chrono::seconds(10));
    std::vector<std::size_t> targets;
    for (std::size_t i = stage.isTroubled() ? lostCount : 0; i < machineCount; ++i)
        targets.push_back(i);
    if (stage.isTroubled()) {
        for (std::size_t i = 0; i < machineCount; ++i)
            stage.signal(i, SIGKILL);
        std::this_thread::sleep_for(Milliseconds(500));
        for (const std::size_t machine : targets)
            stage.restart(machine);
    }
    std::thread settings([&] {
        std::this_thread::sleep_for(seedLag);
        stage.setSeeds({ targets[0], targets[1], targets[2] });
        for (const std::size_t machine : targets)
            stage.reload(machine);
    });
    std::this_thread::sleep_for(Milliseconds(200));
    std::map<std::string, Time> sent;
    sendRequests(stage, targets, Clock::now() + hotTime, sent);
    settings.join();
    std::vector<std::pair<Time, Time>> runs;
    for (const auto &searcher : searchers) {
        for (const auto &[id, at] : searcher->runTimes()) {
            stage.record("request " + id + " was run by " + searcher->place().id);
            runs.emplace_back(sent.at(id), at);
        }
    }
    const std::size_t most = largestWindow(runs);
    const double allowed
            = (ratePerSecond * static_cast<double>(quotaWindow.count()) + burst) * (1 + quotaOver)
              + quotaSlack;
    const bool isBroken = static_cast<double>(most) > allowed;
    std::ostringstream line;
    line << "sent " << sent.size() << ", run " << runs.size() << ", most in a window " << most
         << ", allowed " << allowed << "; QUOTA " << (isBroken ? "broken" : "held");
    stage.record(line.str());
    std::cout << line.str() << std::endl;
    if (runs.size() < static_cast<std::size_t>(burst))
        return 2;
    return isBroken ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    ::alarm(115);
    return argc == 2 ? run(argv[1]) : 2;
}
