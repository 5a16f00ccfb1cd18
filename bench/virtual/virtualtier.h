// Simulation of entries, relays, links and searchers in virtual time. Every host is both: the entry
// of the requests that it gets from callers, and the relay that queues attempts for the searchers
// that it owns and holds the connections to them.
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
    // Entries send attempts to the relays that own the searchers.
    Relays,
    // Baseline: every entry has a few connections of its own to every searcher.
    Direct,
};

// Parameters and policies of a simulated tier.
struct TierSetup
{
    TierMode mode = TierMode::Relays;
    PolicyOptions policy;
    RelayOptions relay;
    std::uint32_t hosts = 7;
    std::uint32_t zones = 3;
    std::uint32_t shards = 20;
    // Searchers of each shard.
    std::uint32_t replicas = 2;
    // Requests that a searcher runs at once.
    std::uint32_t slots = 2;
    // Connections that a searcher of the sharded pool accepts.
    std::uint32_t connectionCap = 25;
    // Time to open a connection, beside the network delays.
    Millis connectCost = Millis(6);
    // Searchers of the pool for orders, which are requests that may not be repeated.
    std::uint32_t orderSearchers = 15;
    // Fraction of the requests that are orders; the others are searches over all shards.
    double orderFraction = 0.1;
    // One-way delay between zones.
    Millis zoneOneWayDelay = Millis(4);
    Millis zoneJitter = Millis(0.5);
    // Fraction of packets that are lost between zones.
    double loss = 0;
    // Target latency of a request; from then on a partial answer with at least minCoverage will do.
    Millis target = Millis(320);
    Millis deadline = Millis(320);
    double minCoverage = 1;
    FakeBehaviour behaviour;
    std::uint64_t seed = 1;
};

// Result of one request.
struct TierRecord
{
    std::uint64_t requestId = 0;
    bool isOrder = false;
    Millis arrivedAt;
    Millis latency;
    Outcome outcome;
    VersionId version;
    Coverage coverage;
    // Unused: violations() counts the answers of mixed index versions.
    bool mixed = false;
    // Refused by admission control at the entry, before any attempt.
    bool refusedAtAdmission = false;
    // How often the query started over with another index version.
    std::uint32_t restarts = 0;
};

// Runs open-loop load through the production code and records the answers to callers.
class VirtualTier
{
public:
    explicit VirtualTier(const TierSetup &setup);
    ~VirtualTier();
    VirtualTier(const VirtualTier &) = delete;
    VirtualTier &operator=(const VirtualTier &) = delete;

    // Adds Poisson arrivals at a rate for a time span.
    void addLoad(Millis from, Millis span, double requestsPerSecond);

    // Returns the request rate at which searches occupy all slots, given the mean service time.
    double capacityPerSecond() const;

    // Runs the simulation up to a time.
    void runUntil(Millis end) { this->clock.runUntil(end); }

    VirtualTime &time() { return this->clock; }

    // Searchers of the sharded pool. Replica r of shard s has the index s * replicas + r.
    std::size_t searcherCount() const { return this->searchers.size(); }
    FakeSearcher &searcher(std::size_t index) { return *this->searchers[index]; }
    std::size_t orderSearcherCount() const { return this->orderSearchers.size(); }
    FakeSearcher &orderSearcher(std::size_t index) { return *this->orderSearchers[index]; }

    void stopSearcher(std::size_t index);
    void startSearcher(std::size_t index);
    // Makes all open connections to searchers silent.
    void silenceAllConnections();
    // Starts or ends a drain, which the searcher reports in its next status.
    void setSearcherDraining(std::size_t index, bool draining);
    // Searchers load an index version at random times within the spread and keep the one before it.
    // partitions: number of shards of the version.
    void publishVersion(VersionId version, std::uint32_t partitions, Millis spread);
    // Pauses the process of a host. Events that reach it meanwhile wait until it resumes.
    void pauseHost(std::uint32_t host, Millis span);
    void setLoss(double loss) { this->setup.loss = loss; }

    const std::vector<TierRecord> &records() const { return this->answers; }
    // Checks the answers against the executions at the searchers and counts the violations of each
    // guarantee.
    ViolationCounts violations();
    std::uint64_t firstAttempts() const { return this->firstAttemptCount; }
    std::uint64_t allAttempts() const { return this->attemptCount; }
    std::uint64_t hedges() const { return this->hedgeCount; }
    // Executions at the searchers of the sharded pool: all, those that started after the deadline,
    // and those that have not finished.
    std::uint64_t runCount() const;
    std::uint64_t expiredRunCount() const;
    std::uint64_t unfinishedRunCount() const;

private:
    struct Relay;
    struct Host;
    struct Connection;

    void build();
    void onArrival();
    void scheduleArrival();
    void startQuery(Host &host, bool order);
    void applyActions(Host &host, QueryId id, QueryActions &actions);
    void armQuery(Host &host, QueryId id);
    void sendAttempt(Host &host, const Attempt &attempt);
    void deliverAttempt(Host &relayHost, std::uint32_t entry, const Attempt &attempt,
                        Millis budget);
    void deliverResult(Host &host, const AttemptResult &result);
    void sendResult(Host &relayHost, std::uint32_t entry, const AttemptResult &result);
    void cancelAttempt(Host &host, const Attempt &attempt);
    // Returns the state of a host for a searcher; creates it if necessary.
    Relay &relayFor(Host &host, SearcherId searcher);
    void applyRelayActions(Host &host, Relay &relay, const RelayActions &actions);
    void armRelay(Host &host, Relay &relay);
    // Returns a random one-way delay between a host and a searcher.
    Millis searcherDelay(const Host &host, SearcherId searcher);
    void openConnection(Host &host, Relay &relay, ConnectionNumber number);
    void sendToSearcher(Host &host, Relay &relay, ConnectionNumber number, const WorkKey &key);
    // Runs an event on another host once a message on the channel between them has arrived.
    void sendMessage(std::uint32_t from, std::uint32_t to, VirtualTime::Event event);
    void transmit(std::uint32_t from, std::uint32_t to, const ChannelDatagram &datagram);
    void receive(std::uint32_t from, std::uint32_t to, const ChannelDatagram &datagram);
    void armChannel(std::uint32_t from, std::uint32_t to);
    // Updates whether a peer is unresponsive, and fails the attempts sent to one that became so.
    void checkChannel(std::uint32_t from, std::uint32_t to);
    // Runs an event on a host, after its pause if it is paused.
    void runOnHost(std::uint32_t host, VirtualTime::Event event);
    // Sends the holdings and the drain state of a searcher to all hosts after a delay, and updates
    // their queues for it, unless the searcher is down by then.
    void reportHoldings(std::size_t searcher, Millis delay);
    // Sends the holdings and the drain state of a searcher to all hosts.
    void broadcast(const SearcherId &id, const std::vector<Holding> &holdings, bool draining);
    std::uint32_t ownerOf(const Host &host, SearcherId searcher) const;
    void rebuildOwnership(Host &host);
    void finishQuery(Host &host, QueryId id, const Answer &answer);
    double randomFraction();
    FakeSearcher &searcherById(SearcherId id) { return *this->searchersById.at(id); }
    std::uint32_t zoneOfHost(std::uint32_t host) const { return host % this->setup.zones; }

    TierSetup setup;
    VirtualTime clock;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<FakeSearcher>> searchers;
    std::vector<std::unique_ptr<FakeSearcher>> orderSearchers;
    std::vector<SearcherId> searcherIds;
    std::vector<SearcherId> orderIds;
    std::unordered_map<SearcherId, FakeSearcher *> searchersById;
    std::unordered_map<SearcherId, std::uint32_t> zones;
    std::vector<std::unique_ptr<Host>> hosts;
    // Undelivered messages, by the number that is the payload on the channel.
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
    std::uint64_t firstAttemptCount = 0;
    std::uint64_t attemptCount = 0;
    std::uint64_t hedgeCount = 0;
    // Number of shards of the newest index version.
    std::uint32_t partitions = 0;
};

} // namespace quetzal
