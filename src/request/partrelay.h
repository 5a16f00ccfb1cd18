// Relays parts of requests to hosts that are closer to the searchers, and serves as a relay.
#pragma once

#include "connection/relaymessages.h"
#include "request/relayplanner.h"
#include "request/scatterexecutor.h"
#include "request/timereserve.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzal {

// The parts that one relay gathers.
struct RelayShare
{
    HostId host;
    // Zone of the host.
    std::string zone;
    // Positions in the route's list of pools.
    std::vector<std::uint32_t> shards;
};

// Assigns the parts of a route to this host and to relays.
struct GatherPlan
{
    // Positions in the route's list of pools that this host gathers itself.
    std::vector<std::uint32_t> localShards;
    std::vector<RelayShare> relayShares;
};

// The outcome of a request to a relay.
struct RelayResult
{
    // Empty if the relay rejected the request or did not answer in time.
    std::optional<RelayAnswer> answer;
    // If there is no answer: true if searchers may have run the request.
    bool mayHaveRun = false;
};

// Plans which parts of a route are relayed, tracks the requests sent to relays, and gathers parts
// on behalf of other hosts. Used on its loop's thread only.
class PartRelay
{
public:
    PartRelay(EventLoop &loop, const ServingView &view, ScatterExecutor &scatterExecutor,
              RelayPeer self, std::uint64_t seed);

    // Sets functions that send a message to another host, return the round-trip time to a host, and
    // return for how long its oldest message has been unacknowledged. Until they are set nothing is
    // relayed.
    void setTransport(std::function<void(HostId, std::string)> sender,
                      std::function<Millis(HostId)> roundTrip,
                      std::function<Millis(HostId)> unacknowledged)
    {
        this->send = std::move(sender);
        this->roundTrip = std::move(roundTrip);
        this->unacknowledgedFor = std::move(unacknowledged);
    }

    // Returns the time to allow from a relay's target until its answer is here, with the time that
    // the request takes to reach it: the network round trip and what relays have been observed to
    // need in addition.
    Millis answerTime(HostId host) const
    {
        return this->roundTrip(host) + this->processingReserve.value();
    }

    // Sets the other hosts that are currently alive.
    void setPeers(const std::vector<RelayPeer> &newPeers)
    {
        this->peers = newPeers;
        this->planner.setPeers(newPeers);
    }

    // Returns true if other hosts are alive.
    bool hasPeers() const { return !this->peers.empty(); }

    // Assigns the parts of a route to this host and to relays.
    GatherPlan planGather(const Route &route, Millis now);

    // Sends a request to a relay. done is called once, after this function has returned, unless the
    // request is cancelled. due: the time at which the relay is treated as failed.
    void sendQuery(HostId host, const RelayQuery &query, Millis due,
                   std::function<void(RelayResult &&)> done);

    // Cancels a request, here and at the relay. Does nothing if it has ended.
    void cancel(QueryId id);

    // Handles a message from another host. Malformed messages are dropped.
    void onMessage(HostId from, const std::string &payload);

    // Fails the requests sent to a host that restarted or does not acknowledge messages.
    void onPeerLost(HostId host);

    // Rejects requests of other hosts from now on.
    void stop() { this->stopping = true; }

    // Returns the latency statistics of a route; created on first use.
    RouteLatency &routeLatency(const std::string &route);

    // Discards what was derived from the serving view.
    void onViewChanged() { this->zonesOfPool.clear(); }

private:
    // A request that was sent to a relay and has not ended.
    struct PendingQuery
    {
        HostId host;
        Millis sentAt;
        // The target that the relay was given, relative to sentAt.
        Millis target;
        std::function<void(RelayResult &&)> done;
        // Number of parts that may be missing from the answer to the whole request.
        std::size_t maxMissing = 0;
        // When the relay is treated as failed.
        Millis due;
        TimerId timer = 0;
    };

    // Returns the zones that have a ready searcher of a pool.
    const std::set<std::string> &zonesOf(const std::string &pool);
    // Returns the zone with the most parts. Hosts break ties differently, to spread the load.
    std::string
    zoneWithMostParts(const std::map<std::string, std::vector<std::uint32_t>> &byZone) const;
    // Assigns parts to relays in a zone. Returns those that this host has to gather itself.
    std::vector<std::uint32_t> assignToZone(const Route &route,
                                            const std::vector<std::uint32_t> &parts,
                                            const std::string &zone, Millis now, GatherPlan &plan);
    // Assigns local parts to relays in this host's zone if it has too many for its capacity.
    void offloadWithinZone(const Route &route, GatherPlan &plan, Millis now);
    // Learns from an answer that a relay has sent at its target because parts were missing, or from
    // one that is still missing, how much time relays need beyond the network round trip.
    void observeProcessing(const PendingQuery &query, Millis now);
    // Returns the time within which a reachable host acknowledges a message.
    Millis acknowledgeTimeout(HostId host) const;
    // Fails the request if the relay does not acknowledge messages or the answer is overdue.
    void onQueryTimer(QueryId id);
    // Ends a request without an answer.
    void failQuery(QueryId id, bool mayHaveRun);
    void onQuery(HostId from, const RelayQuery &query);
    void onAnswer(HostId from, RelayAnswer &&answer);
    void onCancel(HostId from, const RelayCancel &cancel);
    void sendAnswer(HostId to, const RelayAnswer &answer);
    void onRateReport(HostId from, const RelayRateReport &message);
    // Returns the hosts that are most likely to use a searcher: those of its zone with most
    // capacity come first.
    std::set<HostId> likelyUsers(const TrackedSearcher &searcher) const;
    // Tells the hosts that may use a searcher that it is leaving.
    void sendLeavingReport(const TrackedSearcher &searcher);
    // Tells the hosts that may use a searcher with a request limit how much this host uses it.
    void sendRateReport(const TrackedSearcher &searcher, const RateReport &report);

    EventLoop &loop;
    const ServingView &view;
    ScatterExecutor &scatterExecutor;
    RelayPeer self;
    RelayPlanner planner;
    // The other hosts that are alive.
    std::vector<RelayPeer> peers;
    // Time that relays need beyond their target and the network round trip.
    TimeReserve processingReserve;
    std::function<void(HostId, std::string)> send;
    std::function<Millis(HostId)> roundTrip;
    std::function<Millis(HostId)> unacknowledgedFor;
    bool stopping = false;
    std::map<QueryId, PendingQuery> pending;
    // Scatter requests run for other hosts, by the host and its request number.
    std::map<std::pair<HostId, std::uint64_t>, QueryId> gathering;
    std::map<std::string, std::unique_ptr<RouteLatency>, std::less<>> routeLatencies;
    std::map<std::string, std::set<std::string>, std::less<>> zonesOfPool;
};

} // namespace quetzal
