// The hosts of a virtual tier.
#pragma once

#include "bench/virtual/virtualtier.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace quetzal {

// A connection of a relay as the fakes see it.
struct VirtualTier::Connection
{
    std::uint64_t remote = 0;
    bool sent = false;
};

// One host's side of one searcher.
struct VirtualTier::Relay
{
    Relay(SearcherId id, const SearcherLimits &limits, const RelayOptions &options)
        : id(id)
        , queue(limits, options)
    {}

    SearcherId id;
    SearcherQueue queue;
    std::map<ConnectionNumber, Connection> connections;
    std::map<WorkKey, Attempt> works;
    std::map<WorkKey, Millis> deadlines;
    Millis timerAt = Millis::never();
    bool knowsDraining = false;
};

// One host with both roles.
struct VirtualTier::Host
{
    std::uint32_t number = 0;
    std::unique_ptr<PoolState> search;
    std::unique_ptr<PoolState> orders;
    std::map<QueryId, std::unique_ptr<Query>> queries;
    std::map<QueryId, std::uint64_t> requests;
    std::map<QueryId, Millis> timers;
    // Hosts that each attempt was sent to.
    std::map<AttemptId, std::uint32_t> owners;
    std::map<SearcherId, std::unique_ptr<Relay>> relays;
    std::vector<std::unique_ptr<Channel>> channels;
    std::vector<Millis> channelTimers;
    std::set<std::uint32_t> unresponsive;
    Ownership ownership;
    std::uint64_t lastQuery = 0;
    Millis pausedUntil = Millis(-1);
    std::vector<VirtualTime::Event> waiting;
    bool stale = false;
};

// Returns the id of a host by its number.
inline HostId hostId(std::uint32_t host)
{
    return { stableHash("host-" + std::to_string(host)) };
}

} // namespace quetzal
