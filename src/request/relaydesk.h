// Has other hosts gather parts whose searchers are far from this one, and gathers parts for them.
#pragma once

#include "connection/relaymessages.h"
#include "request/relayboard.h"
#include "request/scatterhost.h"

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
struct RelaySplit
{
    std::vector<std::uint32_t> here;
    std::vector<RelayShare> shares;
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
class RelayDesk
{
public:
    RelayDesk(EventLoop &loop, const ServingView &view, ScatterHost &scatters, RelayPeer self,
              std::uint64_t seed);

    // Sets how messages reach another host's desk, how long the way there and back is, and for how
    // long a message has not been acknowledged. Without it nothing is relayed.
    void setSender(std::function<void(HostId, std::string)> sender,
                   std::function<Millis(HostId)> roundTrip,
                   std::function<Millis(HostId)> unacknowledged)
    {
        this->send = std::move(sender);
        this->roundTrip = std::move(roundTrip);
        this->unacknowledged = std::move(unacknowledged);
    }

    // Returns the measured time of the way to a host and back.
    Millis roundTripTo(HostId host) const { return this->roundTrip(host); }

    // Sets the other hosts that are alive.
    void setPeers(std::vector<RelayPeer> peers) { this->board.setPeers(std::move(peers)); }

    // Returns who gathers which parts now.
    RelaySplit split(const Route &route, Millis now);

    // Asks a host. done is called once, later, unless the request is withdrawn.
    void ask(HostId host, const RelayQuery &query, Millis due,
             std::function<void(RelayResult &&)> done);

    // Nobody waits for an answer any more.
    void withdraw(QueryId id);

    // Takes a message of another host's desk. Malformed ones are dropped.
    void onMessage(HostId from, const std::string &payload);

    // Another host restarted or does not acknowledge messages.
    void onPeerLost(HostId host);

    // Refuses other hosts' requests from now on.
    void stop() { this->stopping = true; }

    // Returns how fast a route's attempts are.
    RoutePace &pace(const std::string &route);

    // The view changed.
    void onView() { this->zonesOfPool.clear(); }

private:
    // Parts that another host was asked for.
    struct Asked
    {
        HostId host;
        Millis sentAt;
        std::function<void(RelayResult &&)> done;
        Millis due;
        TimerId timer = 0;
    };

    const std::set<std::string> &zonesOf(const std::string &pool);
    std::string widest(const std::map<std::string, std::vector<std::uint32_t>> &byZone) const;
    std::vector<std::uint32_t> share(const Route &route, const std::vector<std::uint32_t> &parts,
                                     const std::string &zone, Millis now, RelaySplit &split);
    void shareNear(const Route &route, RelaySplit &split, Millis now);
    Millis acknowledgeTime(HostId host) const;
    void onAskTimer(QueryId id);
    void giveUp(QueryId id, bool mayHaveRun);
    void onQuery(HostId from, const RelayQuery &query);
    void onAnswer(HostId from, RelayAnswer &&answer);
    void onCancel(HostId from, const RelayCancel &cancel);
    void answer(HostId to, const RelayAnswer &answer);

    EventLoop &loop;
    const ServingView &view;
    ScatterHost &scatters;
    RelayPeer self;
    RelayBoard board;
    std::function<void(HostId, std::string)> send;
    std::function<Millis(HostId)> roundTrip;
    std::function<Millis(HostId)> unacknowledged;
    bool stopping = false;
    std::map<QueryId, Asked> asked;
    // What is gathered for other hosts, by host and its number.
    std::map<std::pair<HostId, std::uint64_t>, QueryId> gathering;
    std::map<std::string, std::unique_ptr<RoutePace>, std::less<>> paces;
    std::map<std::string, std::set<std::string>, std::less<>> zonesOfPool;
};

} // namespace quetzal
