// Case: a searcher crashes in the middle of an answer that has no length, while a part of a long
// body is still on its way to it. The client gets a success with a part of the answer.
#include "searcher.h"
#include "stage.h"
#include "store.h"

#include <fstream>
#include <iostream>

#include <csignal>
#include <sys/wait.h>
#include <unistd.h>

using namespace review;

namespace {

constexpr Milliseconds budget = Milliseconds(10'000);
constexpr int rounds = 5;
constexpr int pieces = 12;
constexpr std::size_t answerBytes = 12'000;
// Below the config's maxBodyBytes of 262,144.
constexpr std::size_t bodyBytes = 250'000;
// The searcher is killed after about half of its answer.
constexpr Milliseconds killAfter = Milliseconds(320);

std::string configText()
{
    return makeConfig(7,
                      R"({"name":"order-lookup","host":")" + std::string(routeHost)
                              + R"(","prefix":"/order/","type":"idempotent","timeoutMs":10000,)"
                                R"("targetLatencyMs":600,"priority":2,"maxAttempts":2,)"
                                R"("service":"orders"})",
                      { "orders" });
}

// Returns true if the client got a success whose body is not the searcher's whole body.
bool playRound(Stage &stage, Store &store, const std::string &program, int round)
{
    SearcherPlace place;
    place.id = "i-orders-" + std::to_string(round);
    place.service = "orders";
    place.zone = "kigali-a";
    place.address = stage.freeAddress(100);
    const pid_t searcher
            = Stage::spawn({ program, place.address.ip, std::to_string(place.address.port),
                             place.id, std::to_string(pieces) },
                           stage.folder() + "/" + place.id + ".log");
    std::this_thread::sleep_for(Milliseconds(200));
    store.put("servers/" + place.id, registrationOf(place));
    std::this_thread::sleep_for(Milliseconds(1500));
    const std::string id = stage.nextRequestId();
    stage.record("request " + id + " is sent with a body of " + std::to_string(bodyBytes)
                 + " bytes");
    std::thread killer([&stage, searcher] {
        std::this_thread::sleep_for(killAfter);
        if (stage.isTroubled()) {
            stage.record("the searcher is killed");
            ::kill(searcher, SIGKILL);
        }
    });
    Connection connection(connectTo(stage.machines().front().front));
    const Answer answer = exchange(
            connection, makeRequest("POST", "/order/17", id, budget, std::string(bodyBytes, 'b')),
            Clock::now() + budget);
    killer.join();
    const bool isSuccess = answer.status >= 200 && answer.status < 300 && answer.isComplete;
    const bool isShort = isSuccess && answer.message.body.size() != answerBytes;
    stage.record("request " + id + ": status " + std::to_string(answer.status) + ", Content-Length "
                 + std::to_string(answer.expectedBytes) + ", body "
                 + std::to_string(answer.message.body.size()) + " of " + std::to_string(answerBytes)
                 + " bytes, signature \"" + answer.message.field("Quetzalchute-Response-Seal")
                 + "\"");
    ::kill(searcher, SIGKILL);
    ::waitpid(searcher, nullptr, 0);
    std::ifstream log(stage.folder() + "/" + place.id + ".log");
    for (std::string line; std::getline(log, line);)
        stage.record("searcher " + place.id + " " + line);
    store.erase("servers/" + place.id);
    std::this_thread::sleep_for(Milliseconds(1500));
    return isShort;
}

int run(const std::string &recordPath, const std::string &program)
{
    Stage stage(recordPath);
    const Address storeAddress = stage.freeAddress(200);
    Store store(storeAddress);
    store.put("op/config", configText());
    SearcherPlace other;
    other.id = "i-aftercare-1";
    other.service = "aftercare";
    other.zone = "kigali-a";
    other.address = stage.freeAddress(100);
    other.body = [](const std::string &) { return std::string(); };
    const Searcher searcher(other);
    store.put("servers/" + other.id, registrationOf(other));
    if (!stage.start({ "kigali-a" }, storeAddress))
        return 2;
    int broken = 0;
    for (int round = 1; round <= rounds; ++round)
        broken += playRound(stage, store, program, round) ? 1 : 0;
    const std::string result
            = "successes with a part of the searcher's body: " + std::to_string(broken) + " of "
              + std::to_string(rounds) + "; MIXED " + (broken > 0 ? "broken" : "held");
    stage.record(result);
    std::cout << result << std::endl;
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    ::alarm(115);
    return argc == 3 ? run(argv[1], argv[2]) : 2;
}
