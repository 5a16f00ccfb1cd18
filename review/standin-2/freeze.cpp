// Case: machines freeze for two seconds and wake again. Afterwards each gateway refuses or fails
// the queries over many shards for as long as its process lives.
#include "searcher.h"
#include "stage.h"
#include "store.h"

#include <atomic>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <sstream>

#include <csignal>
#include <unistd.h>

using namespace review;

namespace {

constexpr int shardCount = 20;
constexpr std::size_t recordsInPart = 25;
constexpr std::size_t recordBytes = 16;
// Figures of the site inyambo-search.
constexpr Milliseconds browseBudget = Milliseconds(2500);
constexpr Milliseconds lookupBudget = Milliseconds(10'000);
constexpr std::chrono::seconds recoverTime = std::chrono::seconds(12);
// Largest time that a site names for node_freeze is four seconds.
constexpr std::chrono::seconds freezeTime = std::chrono::seconds(2);
constexpr std::chrono::seconds freezeGap = std::chrono::seconds(1);
// Times that each machine freezes, one machine at a time.
constexpr int freezes = 3;
constexpr std::chrono::seconds judgedTime = std::chrono::seconds(15);

enum class Phase { Before, During, Judged };

// Requests of one kind that clients sent in one phase, and how many of them were served.
struct Count
{
    std::atomic<int> asked = 0;
    std::atomic<int> served = 0;
};

struct Counts
{
    std::array<Count, 3> browse;
    std::array<Count, 3> lookup;
};

std::string partOf(const std::string &requestId, int shard)
{
    std::minstd_rand random(static_cast<unsigned>(std::hash<std::string>()(requestId))
                            + static_cast<unsigned>(shard));
    std::string part;
    for (std::size_t i = 0; i < recordsInPart * recordBytes; ++i)
        part += static_cast<char>('a' + random() % 26);
    return part;
}

std::string configText()
{
    std::string shards;
    std::vector<std::string> services = { "orders" };
    for (int shard = 0; shard < shardCount; ++shard) {
        services.push_back("shopfront-" + std::to_string(shard));
        shards += (shard > 0 ? ",\"" : "\"") + services.back() + "\"";
    }
    const std::string host = R"(","host":")" + std::string(routeHost);
    return makeConfig(
            7,
            R"({"name":"catalogue-browse)" + host
                    + R"(","prefix":"/browse/","type":"idempotent","timeoutMs":2500,)"
                      R"("targetLatencyMs":150,"priority":1,"maxAttempts":2,"topK":20,)"
                      R"("minShardRatio":0.89,"fanoutServices":[)"
                    + shards + R"(]},{"name":"order-lookup)" + host
                    + R"(","prefix":"/order/","type":"idempotent","timeoutMs":10000,)"
                      R"("targetLatencyMs":600,"priority":2,"maxAttempts":2,"service":"orders"})",
            services);
}

// A client that sends requests of one kind to one gateway on a kept connection, and retries each
// once at another gateway on a new one.
class Client
{
public:
    Client(Stage &stage, std::size_t machine, bool browses, std::atomic<Phase> &phase,
           Counts &counts, std::atomic<bool> &stopping)
        : stage(stage)
        , machine(machine)
        , browses(browses)
        , phase(phase)
        , counts(counts)
        , stopping(stopping)
        , thread([this] { this->run(); })
    {}
    ~Client() { this->thread.join(); }
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

private:
    // Returns true if the request was served.
    bool attempt(Connection &connection, std::size_t target, Time until)
    {
        const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now());
        const std::string id = this->stage.nextRequestId();
        const Answer answer = exchange(
                connection, makeRequest("GET", this->browses ? "/browse/1" : "/order/1", id, left),
                until);
        if (answer.status == 0 || !answer.isComplete)
            connection.close();
        std::ostringstream line;
        line << "request " << id << (this->browses ? " catalogue-browse" : " order-lookup")
             << " sent to " << this->stage.machines()[target].name << " with " << left.count()
             << " ms left: status " << answer.status;
        this->stage.record(line.str());
        return answer.status == 200 && answer.isComplete;
    }

    bool request(Connection &kept)
    {
        const Time until = Clock::now() + (this->browses ? browseBudget : lookupBudget);
        const auto &machines = this->stage.machines();
        if (!kept.isOpen() || kept.isClosedByPeer())
            kept = Connection(connectTo(machines[this->machine].front));
        if (this->attempt(kept, this->machine, until))
            return true;
        // Retry-After is a tenth of a second, or absent.
        std::this_thread::sleep_for(Milliseconds(100));
        if (Clock::now() + Milliseconds(10) >= until)
            return false;
        const std::size_t target = (this->machine + 1) % machines.size();
        Connection other(connectTo(machines[target].front));
        return this->attempt(other, target, until);
    }

    void run()
    {
        const Milliseconds period = this->browses ? Milliseconds(150) : Milliseconds(300);
        Connection kept{ Socket() };
        while (!this->stopping) {
            const Time next = Clock::now() + period;
            const Phase sentIn = this->phase;
            Count &count = (this->browses ? this->counts.browse
                                          : this->counts.lookup)[static_cast<std::size_t>(sentIn)];
            count.asked += 1;
            if (this->request(kept))
                count.served += 1;
            std::this_thread::sleep_until(next);
        }
    }

    Stage &stage;
    std::size_t machine;
    bool browses;
    std::atomic<Phase> &phase;
    Counts &counts;
    std::atomic<bool> &stopping;
    std::thread thread;
};

double share(int served, int asked)
{
    return asked > 0 ? static_cast<double>(served) / asked : 0;
}

void recordCounts(Stage &stage, const std::string &name, const std::array<Count, 3> &counts)
{
    static constexpr std::array<const char *, 3> phases
            = { "before", "during and recovery", "judged" };
    for (std::size_t i = 0; i < counts.size(); ++i)
        stage.record(name + ", " + phases[i] + ": sent " + std::to_string(counts[i].asked)
                     + ", served " + std::to_string(counts[i].served));
}

int run(const std::string &recordPath)
{
    Stage stage(recordPath);
    const Address storeAddress = stage.freeAddress(200);
    Store store(storeAddress);
    std::vector<std::unique_ptr<Searcher>> searchers;
    const auto add = [&](const std::string &service, int shard, const std::string &zone) {
        SearcherPlace place;
        place.id = "i-" + service + "-" + zone;
        place.service = service;
        place.zone = zone;
        place.address = stage.freeAddress(100);
        place.work = Milliseconds(shard >= 0 ? 20 : 160);
        place.slots = shard >= 0 ? 2 : 6;
        place.body = [shard](const std::string &id) { return partOf(id, shard); };
        searchers.push_back(std::make_unique<Searcher>(place));
        store.put("servers/" + place.id, registrationOf(place));
    };
    for (int shard = 0; shard < shardCount; ++shard) {
        add("shopfront-" + std::to_string(shard), shard, "kigali-a");
        add("shopfront-" + std::to_string(shard), shard, "kigali-b");
    }
    add("orders", -1, "kigali-a");
    add("orders", -1, "kigali-b");
    store.put("op/config", configText());
    if (!stage.start({ "kigali-a", "kigali-b", "kigali-c" }, storeAddress))
        return 2;
    std::atomic<Phase> phase = Phase::Before;
    std::atomic<bool> stopping = false;
    Counts counts;
    std::vector<std::unique_ptr<Client>> clients;
    for (std::size_t machine = 0; machine < stage.machines().size(); ++machine) {
        for (int i = 0; i < 5; ++i)
            clients.push_back(
                    std::make_unique<Client>(stage, machine, i < 4, phase, counts, stopping));
    }
    std::this_thread::sleep_for(std::chrono::seconds(8));
    phase = Phase::During;
    for (std::size_t i = 0; i < freezes * stage.machines().size(); ++i) {
        const std::size_t machine = i % stage.machines().size();
        if (stage.isTroubled())
            stage.signal(machine, SIGSTOP);
        std::this_thread::sleep_for(freezeTime);
        if (stage.isTroubled())
            stage.signal(machine, SIGCONT);
        std::this_thread::sleep_for(freezeGap);
    }
    std::this_thread::sleep_for(recoverTime);
    phase = Phase::Judged;
    std::this_thread::sleep_for(judgedTime);
    stopping = true;
    clients.clear();
    std::map<std::string, int> runs;
    for (const auto &searcher : searchers) {
        for (const std::string &id : searcher->runs())
            runs[id] += 1;
    }
    for (const auto &[id, count] : runs)
        stage.record("request " + id + " was run " + std::to_string(count) + " times");
    recordCounts(stage, "catalogue-browse", counts.browse);
    recordCounts(stage, "order-lookup", counts.lookup);
    const auto judged = static_cast<std::size_t>(Phase::Judged);
    const Count &browse = counts.browse[judged];
    const Count &lookup = counts.lookup[judged];
    const double ofBrowse = share(browse.served, browse.asked);
    const double ofAll = share(browse.served + lookup.served, browse.asked + lookup.asked);
    const bool wasWell = share(counts.browse[0].served, counts.browse[0].asked) > 0.9;
    const bool isBroken = ofBrowse < ofAll / 4;
    std::ostringstream line;
    line << "served in the judged time: catalogue-browse " << ofBrowse << ", all " << ofAll
         << "; Starved " << (isBroken ? "broken" : "held");
    stage.record(line.str());
    std::cout << line.str() << std::endl;
    if (!wasWell)
        return 2;
    return isBroken ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    ::alarm(115);
    return argc == 2 ? run(argv[1]) : 2;
}
