// Has other hosts gather parts whose searchers are far from this one, and gathers parts for them.
#pragma once

#include "connection/relaymessages.h"
#include "request/relayplanner.h"
#include "request/scatterexecutor.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

// Parts that one host is to gather.
struct RelayShare
{
    HostId host;
    std::string zone;
    // Positions in the route's list of pools.
    std::vector<std::uint32_t> shards;
};

// Who gathers which parts of a route.
struct GatherPlan
{
    std::vector<std::uint32_t> localShards;
    std::vector<RelayShare> relayShares;
};

// What came of parts that another host was asked for.
struct RelayResult
{
    // Nothing if the host refused or did not answer in time.
    std::optional<RelayAnswer> answer;
    // Without an answer: whether searchers may have run the request.
    bool mayHaveRun = false;
};

// Splits a route's parts by zone, and keeps what was asked of other hosts and by them. Used on one
// loop.
class PartRelay
{
public:
    PartRelay(EventLoop &loop, const ServingView &view, ScatterExecutor &scatterExecutor,
              RelayPeer self, std::uint64_t seed);

    // Sets how messages reach another host's desk, how long the way there and back is, and for how
    // long a message has not been acknowledged. Without it nothing is relayed.
    void setTransport(std::function<void(HostId, std::string)> sender,
                      std::function<Millis(HostId)> roundTrip,
                      std::function<Millis(HostId)> unacknowledged)
    {
        this->send = std::move(sender);
        this->roundTrip = std::move(roundTrip);
        this->unacknowledgedFor = std::move(unacknowledged);
    }

    // Returns the measured time of the way to a host and back.
    Millis roundTripTo(HostId host) const { return this->roundTrip(host); }

    // Sets the other hosts that are alive.
    void setPeers(std::vector<RelayPeer> peers) { this->planner.setPeers(std::move(peers)); }

    // Returns who gathers which parts now.
    GatherPlan planGather(const Route &route, Millis now);

    // Asks a host. done is called once, later, unless the request is withdrawn.
    void sendQuery(HostId host, const RelayQuery &query, Millis due,
                   std::function<void(RelayResult &&)> done);

    // Nobody waits for an answer any more.
    void cancel(QueryId id);

    // Takes a message of another host's desk. Malformed ones are dropped.
    void onMessage(HostId from, const std::string &payload);

    // Another host restarted or does not acknowledge messages.
    void onPeerLost(HostId host);

    // Refuses other hosts' requests from now on.
    void stop() { this->stopping = true; }

    // Returns how fast a route's attempts are.
    RouteLatency &routeLatency(const std::string &route);

    // The view changed.
    void onViewChanged() { this->zonesOfPool.clear(); }

private:
    // Parts that another host was asked for.
    struct PendingQuery
    {
        HostId host;
        Millis sentAt;
        std::function<void(RelayResult &&)> done;
        Millis due;
        TimerId timer = 0;
    };

    const std::set<std::string> &zonesOf(const std::string &pool);
    std::string
    zoneWithMostParts(const std::map<std::string, std::vector<std::uint32_t>> &byZone) const;
    std::vector<std::uint32_t> assignToZone(const Route &route,
                                            const std::vector<std::uint32_t> &parts,
                                            const std::string &zone, Millis now, GatherPlan &plan);
    void offloadWithinZone(const Route &route, GatherPlan &plan, Millis now);
    Millis acknowledgeTimeout(HostId host) const;
    void onQueryTimer(QueryId id);
    void failQuery(QueryId id, bool mayHaveRun);
    void onQuery(HostId from, const RelayQuery &query);
    void onAnswer(HostId from, RelayAnswer &&answer);
    void onCancel(HostId from, const RelayCancel &cancel);
    void sendAnswer(HostId to, const RelayAnswer &answer);

    EventLoop &loop;
    const ServingView &view;
    ScatterExecutor &scatterExecutor;
    RelayPeer self;
    RelayPlanner planner;
    std::function<void(HostId, std::string)> send;
    std::function<Millis(HostId)> roundTrip;
    std::function<Millis(HostId)> unacknowledgedFor;
    bool stopping = false;
    std::map<QueryId, PendingQuery> pending;
    // What is gathered for other hosts, by host and its number.
    std::map<std::pair<HostId, std::uint64_t>, QueryId> gathering;
    std::map<std::string, std::unique_ptr<RouteLatency>, std::less<>> routeLatencies;
    std::map<std::string, std::set<std::string>, std::less<>> zonesOfPool;
};

} // namespace quetzal
