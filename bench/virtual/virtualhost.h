// Hosts of a simulated tier.
#pragma once

#include "bench/virtual/virtualtier.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace quetzal {

// A connection from a relay to a simulated searcher.
struct VirtualTier::Connection
{
    // Number of the connection at the searcher; zero until it is open.
    std::uint64_t remote = 0;
    bool sent = false;
};

// One host's queue, connections and pending work for one searcher.
struct VirtualTier::Relay
{
    Relay(SearcherId id, const SearcherLimits &limits, const RelayOptions &options)
        : id(id)
        , queue(limits, options)
    {}

    SearcherId id;
    SearcherQueue queue;
    std::map<ConnectionNumber, Connection> connections;
    std::map<WorkKey, Attempt> pendingWork;
    std::map<WorkKey, Millis> deadlines;
    // Time of the timer that is set; never() if none is.
    Millis timerAt = Millis::never();
    // Last drain state that this host has learned of.
    bool knowsDraining = false;
};

// One host, which is both an entry for callers and a relay to searchers.
struct VirtualTier::Host
{
    std::uint32_t number = 0;
    // State of the sharded search pool and of the pool for non-repeatable requests.
    std::unique_ptr<PoolState> searchPool;
    std::unique_ptr<PoolState> orderPool;
    std::map<QueryId, std::unique_ptr<Query>> queries;
    // Request number and timer of each query.
    std::map<QueryId, std::uint64_t> requests;
    std::map<QueryId, Millis> timers;
    // Host that each attempt was sent to.
    std::map<AttemptId, std::uint32_t> attemptOwners;
    std::map<SearcherId, std::unique_ptr<Relay>> relays;
    // Channels to the other hosts and the times of their timers, by host number.
    std::vector<std::unique_ptr<Channel>> channels;
    std::vector<Millis> channelTimers;
    std::set<std::uint32_t> unresponsiveHosts;
    Ownership ownership;
    std::uint64_t lastQuery = 0;
    Millis pausedUntil = Millis(-1);
    // Events that arrived during a pause.
    std::vector<VirtualTime::Event> deferredEvents;
    // True while the events that arrived during a pause are handled.
    bool runningDeferredEvents = false;
};

// Returns the id of the host with this number.
inline HostId hostId(std::uint32_t host)
{
    return { stableHash("host-" + std::to_string(host)) };
}

} // namespace quetzal
