// Case: a machine is stopped with SIGTERM while clients are receiving their answers. It cuts the
// answers off before the half of its grace period has passed.
#include "searcher.h"
#include "stage.h"
#include "store.h"

#include <atomic>
#include <iostream>
#include <memory>

#include <csignal>
#include <unistd.h>

using namespace review;

namespace {

constexpr Milliseconds budget = Milliseconds(10'000);
constexpr std::size_t answerBytes = 4'000'000;
// About six megabits a second: an answer takes five seconds.
constexpr std::size_t bytesPerSecond = 800'000;
constexpr WindowOptions smallWindows = { 16'384, 1400 };
constexpr int clientCount = 5;

std::string configText()
{
    return makeConfig(7,
                      R"({"name":"order-lookup","host":")" + std::string(routeHost)
                              + R"(","prefix":"/order/","type":"idempotent","timeoutMs":10000,)"
                                R"("targetLatencyMs":600,"priority":2,"maxAttempts":2,)"
                                R"("service":"orders"})",
                      { "orders" });
}

int run(const std::string &recordPath)
{
    Stage stage(recordPath);
    const Address storeAddress = stage.freeAddress(200);
    Store store(storeAddress);
    std::vector<std::unique_ptr<Searcher>> searchers;
    for (const std::string zone : { "kigali-a", "kigali-b" }) {
        SearcherPlace place;
        place.id = "i-orders-" + zone;
        place.service = "orders";
        place.zone = zone;
        place.address = stage.freeAddress(100);
        place.slots = clientCount;
        place.body = [](const std::string &) { return std::string(answerBytes, 'o'); };
        searchers.push_back(std::make_unique<Searcher>(place));
        store.put("servers/" + place.id, registrationOf(place));
    }
    store.put("op/config", configText());
    if (!stage.start({ "kigali-a", "kigali-b" }, storeAddress))
        return 2;
    std::this_thread::sleep_for(std::chrono::seconds(5));
    std::atomic<int> cut = 0;
    std::vector<std::thread> clients;
    clients.reserve(clientCount);
    for (int i = 0; i < clientCount; ++i)
        clients.emplace_back([&] {
            Connection connection(connectTo(stage.machines().front().front, smallWindows));
            const std::string id = stage.nextRequestId();
            stage.record("request " + id + " is sent");
            const Answer answer = exchange(connection, makeRequest("GET", "/order/17", id, budget),
                                           Clock::now() + budget, bytesPerSecond);
            stage.record("request " + id + ": status " + std::to_string(answer.status) + ", "
                         + std::to_string(answer.message.body.size()) + " of "
                         + std::to_string(answer.expectedBytes) + " bytes received");
            cut += answer.isComplete ? 0 : 1;
        });
    std::this_thread::sleep_for(Milliseconds(500));
    if (stage.isTroubled())
        stage.signal(0, SIGTERM);
    for (std::thread &client : clients)
        client.join();
    for (const auto &searcher : searchers) {
        for (const std::string &id : searcher->runs())
            stage.record("request " + id + " was run by " + searcher->place().id);
    }
    const std::string result = "answers that ended early: " + std::to_string(cut) + " of "
                               + std::to_string(clientCount) + "; LOST "
                               + (cut > 0 ? "broken" : "held");
    stage.record(result);
    std::cout << result << std::endl;
    return cut > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    ::alarm(115);
    return argc == 2 ? run(argv[1]) : 2;
}
