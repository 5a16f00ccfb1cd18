// What a request needs to know of tables, hosts and searchers, as one immutable value.
#pragma once

#include "process/ownership.h"
#include "version/routingtables.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace quetzal {

// Where a searcher is and who owns it.
struct SearcherLocation
{
    HostId owner;
    // The searcher in the tables of the same world.
    const Searcher *searcher = nullptr;
};

// Published by the control loop and read by the others through read-copy-update.
struct RoutingSnapshot
{
    std::shared_ptr<const RoutingTables> tables;
    std::uint64_t generation = 0;
    HostId self;
    Ownership ownership;
    std::unordered_map<SearcherId, SearcherLocation> searchers;
    // Searchers that the platform's list calls leaving.
    std::unordered_set<SearcherId> leaving;
    // Hosts that take requests now.
    std::unordered_set<HostId> hosts;
    // This host is shutting down: it takes no new requests from callers.
    bool stopping = false;
};

} // namespace quetzal
