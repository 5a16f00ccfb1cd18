// Case: another writer's entry, whose service no config names and whose address cannot be read,
// appears in the store. Afterwards no gateway takes a change of the config.
#include "searcher.h"
#include "stage.h"
#include "store.h"

#include <iostream>
#include <memory>
#include <sstream>

#include <unistd.h>

using namespace review;

namespace {

constexpr Milliseconds budget = Milliseconds(10'000);
constexpr Milliseconds configApply = Milliseconds(3000);
// A full contactMs passes before the change is sent.
constexpr Milliseconds contact = Milliseconds(4000);
constexpr int judgedRequests = 20;

std::string configText(int version, const std::string &service)
{
    return makeConfig(version,
                      R"({"name":"order-lookup","host":")" + std::string(routeHost)
                              + R"(","prefix":"/order/","type":"idempotent","timeoutMs":10000,)"
                                R"("targetLatencyMs":600,"priority":2,"maxAttempts":2,"service":")"
                              + service + "\"}",
                      { "orders", "aftercare" });
}

// Sends requests to every gateway and returns how many of them the old service ran.
int sendRequests(Stage &stage, const std::vector<std::unique_ptr<Searcher>> &searchers,
                 const std::string &oldService)
{
    int ranOld = 0;
    for (int i = 0; i < judgedRequests; ++i) {
        for (const Machine &machine : stage.machines()) {
            const std::string id = stage.nextRequestId();
            Connection connection(connectTo(machine.front));
            const Answer answer = exchange(connection, makeRequest("GET", "/order/17", id, budget),
                                           Clock::now() + budget);
            std::string ranAt = "none";
            for (const auto &searcher : searchers) {
                for (const std::string &run : searcher->runs()) {
                    if (run == id)
                        ranAt = searcher->place().service;
                }
            }
            ranOld += ranAt == oldService ? 1 : 0;
            std::ostringstream line;
            line << "request " << id << " to " << machine.name << ": status " << answer.status
                 << ", run by " << ranAt;
            stage.record(line.str());
        }
        std::this_thread::sleep_for(Milliseconds(100));
    }
    return ranOld;
}

int run(const std::string &recordPath)
{
    Stage stage(recordPath);
    const Address storeAddress = stage.freeAddress(200);
    Store store(storeAddress);
    std::vector<std::unique_ptr<Searcher>> searchers;
    for (const std::string service : { "orders", "aftercare" }) {
        for (const std::string zone : { "kigali-a", "kigali-b" }) {
            SearcherPlace place;
            place.id = "i-" + service;
            place.id += "-" + zone;
            place.service = service;
            place.zone = zone;
            place.address = stage.freeAddress(100);
            place.work = Milliseconds(20);
            place.body = [](const std::string &id) { return "order of request " + id; };
            searchers.push_back(std::make_unique<Searcher>(place));
            store.put("servers/" + place.id, registrationOf(place));
        }
    }
    store.put("op/config", configText(7, "orders"));
    if (!stage.start({ "kigali-a", "kigali-b" }, storeAddress))
        return 2;
    std::this_thread::sleep_for(contact);
    if (sendRequests(stage, searchers, "orders")
        != judgedRequests * static_cast<int>(stage.machines().size()))
        return 2;
    if (stage.isTroubled()) {
        store.put("servers/i-mirror-1",
                  R"({"service":"stock-mirror","address":"fd00::17:8326","zone":"kigali-a",)"
                  R"("version":"v1","maxConcurrency":2,"state":"ready","warmupLeftMs":0,)"
                  R"("sequence":4})");
        stage.record("the entry of another writer is in the store");
    }
    std::this_thread::sleep_for(contact + Milliseconds(1000));
    store.put("op/config", configText(12, "aftercare"));
    stage.record("version 12 is confirmed: the route goes to aftercare");
    std::this_thread::sleep_for(configApply + Milliseconds(500));
    const int ranOld = sendRequests(stage, searchers, "orders");
    const std::string result
            = "requests run by the old service later than configApplyMs: " + std::to_string(ranOld)
              + " of " + std::to_string(judgedRequests * stage.machines().size()) + "; CONFIG "
              + (ranOld > 0 ? "broken" : "held");
    stage.record(result);
    std::cout << result << std::endl;
    return ranOld > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    ::alarm(115);
    return argc == 2 ? run(argv[1]) : 2;
}
