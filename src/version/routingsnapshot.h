// Immutable snapshot of the tables, hosts and searchers that requests are routed by.
#pragma once

#include "process/ownership.h"
#include "version/routingtables.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace quetzal {

// A searcher's entry in the tables and the host that owns it: only the owner connects to it.
struct SearcherLocation
{
    HostId owner;
    // Points into the tables of the same snapshot.
    const Searcher *searcher = nullptr;
};

// Published by the control loop and read by the other event loops through read-copy-update.
struct RoutingSnapshot
{
    std::shared_ptr<const RoutingTables> tables;
    // Increases with each snapshot that this process publishes.
    std::uint64_t generation = 0;
    HostId self;
    Ownership ownership;
    std::unordered_map<SearcherId, SearcherLocation> searchers;
    // Searchers that the platform is about to remove; they get no new requests.
    std::unordered_set<SearcherId> leaving;
    // Hosts that accept requests.
    std::unordered_set<HostId> hosts;
    // True if this host is shutting down and accepts no new requests from callers.
    bool stopping = false;
};

} // namespace quetzal
