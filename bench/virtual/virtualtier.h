// The tier's decision core in virtual time: entries, relays, links and searchers.
#pragma once

#include "bench/virtual/fakesearcher.h"
#include "bench/virtual/virtualtime.h"
#include "connection/channel.h"
#include "process/ownership.h"
#include "request/poolstate.h"
#include "request/query.h"
#include "standins/violationcounts.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzal {

// How requests reach searchers.
enum class TierMode {
    // Entries ask the relays that own the searchers.
    Relays,
    // Baseline: every entry has its own few connections to every searcher.
    Direct,
};

// Sizes and policies of a virtual tier.
struct TierSetup
{
    TierMode mode = TierMode::Relays;
    PolicyOptions policy;
    RelayOptions relay;
    std::uint32_t hosts = 7;
    std::uint32_t zones = 3;
    std::uint32_t shards = 20;
    std::uint32_t replicas = 2;
    std::uint32_t slots = 2;
    std::uint32_t connectionCap = 25;
    Millis connectCost = Millis(6);
    // Searchers of the pool for requests that may not be repeated.
    std::uint32_t orderSearchers = 15;
    double orderFraction = 0.1;
    Millis zoneDelay = Millis(4);
    Millis zoneJitter = Millis(0.5);
    double loss = 0;
    Millis target = Millis(320);
    Millis deadline = Millis(320);
    double minCoverage = 1;
    FakeBehaviour behaviour;
    std::uint64_t seed = 1;
};

// What became of one request.
struct TierRecord
{
    std::uint64_t request = 0;
    bool order = false;
    Millis arrivedAt;
    Millis latency;
    Outcome outcome;
    VersionId version;
    Coverage coverage;
    // Versions and shards of the merged replies, as they were sent by searchers.
    bool mixed = false;
    bool refusedAtDoor = false;
    std::uint32_t restarts = 0;
};

// Runs open-loop load through the shipped core and keeps what callers were told.
class VirtualTier
{
public:
    explicit VirtualTier(const TierSetup &setup);
    ~VirtualTier();
    VirtualTier(const VirtualTier &) = delete;
    VirtualTier &operator=(const VirtualTier &) = delete;

    // Adds Poisson arrivals at a rate for a span of time.
    void load(Millis from, Millis span, double requestsPerSecond);

    // Returns the rate at which searches would use all slots, for the given load model.
    double capacityPerSecond() const;

    // Runs up to a time.
    void runUntil(Millis end) { this->clock.runUntil(end); }

    VirtualTime &time() { return this->clock; }

    // Searchers of the sharded pool; replica r of shard s is number s * replicas + r.
    std::size_t searcherCount() const { return this->searchers.size(); }
    FakeSearcher &searcher(std::size_t index) { return *this->searchers[index]; }
    std::size_t orderSearcherCount() const { return this->orderFakes.size(); }
    FakeSearcher &orderSearcher(std::size_t index) { return *this->orderFakes[index]; }

    void stopSearcher(std::size_t index);
    void startSearcher(std::size_t index);
    void silenceAll();
    // The searcher says in its next status that it leaves.
    void drainSearcher(std::size_t index, bool draining);
    // Searchers take up a version at random moments within the spread and keep one older.
    void changeVersion(VersionId version, std::uint32_t partitions, Millis spread);
    // A host does nothing for a while; what reaches it waits.
    void pauseHost(std::uint32_t host, Millis span);
    void setLoss(double loss) { this->setup.loss = loss; }

    const std::vector<TierRecord> &records() const { return this->answers; }
    ViolationCounts violations();
    std::uint64_t firstAttempts() const { return this->firsts; }
    std::uint64_t allAttempts() const { return this->attempts; }
    std::uint64_t hedges() const { return this->hedgeCount; }
    std::uint64_t runs() const;
    std::uint64_t expiredRuns() const;
    std::uint64_t unfinishedRuns() const;

private:
    struct Relay;
    struct Host;
    struct Connection;

    void build();
    void arrive();
    void scheduleArrival();
    void begin(Host &host, bool order);
    void perform(Host &host, QueryId id, QueryActions &actions);
    void armQuery(Host &host, QueryId id);
    void sendAttempt(Host &host, const Attempt &attempt);
    void deliverAttempt(Host &relayHost, std::uint32_t entry, const Attempt &attempt,
                        Millis budget);
    void deliverResult(Host &host, const AttemptResult &result);
    void sendResult(Host &relayHost, std::uint32_t entry, const AttemptResult &result);
    void cancelAttempt(Host &host, const Attempt &attempt);
    Relay &relay(Host &host, SearcherId searcher);
    void runRelay(Host &host, Relay &relay, const RelayActions &actions);
    void armRelay(Host &host, Relay &relay);
    Millis searcherDelay(const Host &host, SearcherId searcher);
    void relayOpen(Host &host, Relay &relay, ConnectionNumber number);
    void relaySend(Host &host, Relay &relay, ConnectionNumber number, const WorkKey &key);
    void message(std::uint32_t from, std::uint32_t to, VirtualTime::Event event);
    void transmit(std::uint32_t from, std::uint32_t to, const ChannelDatagram &datagram);
    void receive(std::uint32_t from, std::uint32_t to, const ChannelDatagram &datagram);
    void armChannel(std::uint32_t from, std::uint32_t to);
    void checkChannel(std::uint32_t from, std::uint32_t to);
    void onHost(std::uint32_t host, VirtualTime::Event event);
    void reportHoldings(std::size_t searcher, Millis delay);
    void broadcast(const SearcherId &id, const std::vector<Holding> &holdings, bool draining);
    std::uint32_t ownerOf(const Host &host, SearcherId searcher) const;
    void rebuildOwnership(Host &host);
    void finish(Host &host, QueryId id, const Answer &answer);
    double draw();
    FakeSearcher &fake(SearcherId id) { return *this->fakes.at(id); }
    std::uint32_t zoneOfHost(std::uint32_t host) const { return host % this->setup.zones; }

    TierSetup setup;
    VirtualTime clock;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<FakeSearcher>> searchers;
    std::vector<std::unique_ptr<FakeSearcher>> orderFakes;
    std::vector<SearcherId> searcherIds;
    std::vector<SearcherId> orderIds;
    std::unordered_map<SearcherId, FakeSearcher *> fakes;
    std::unordered_map<SearcherId, std::uint32_t> zones;
    std::vector<std::unique_ptr<Host>> hosts;
    // Messages on their way, by the number that the channel carries.
    std::unordered_map<std::uint64_t, VirtualTime::Event> inFlight;
    std::uint64_t lastMessage = 0;
    struct Load
    {
        Millis from;
        Millis end;
        double rate = 0;
    };
    std::vector<Load> loads;
    std::vector<TierRecord> answers;
    std::uint64_t lastRequest = 0;
    std::uint64_t firsts = 0;
    std::uint64_t attempts = 0;
    std::uint64_t hedgeCount = 0;
    std::uint32_t partitions = 0;
};

} // namespace quetzal
