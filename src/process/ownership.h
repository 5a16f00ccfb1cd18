// Assignment of searchers and request ids to hosts.
#pragma once

#include "quetzal/ids.h"

#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzal {

// A host that searchers and request ids may be assigned to.
struct OwnerCandidate
{
    HostId host;
    // Hash of the name of the host's zone.
    std::uint64_t zoneHash = 0;
    Incarnation incarnation;
};

// Assigns keys to hosts by rendezvous hashing, so that adding or removing a host moves only the
// keys of that host.
class Ownership
{
public:
    Ownership() = default;
    explicit Ownership(const std::vector<OwnerCandidate> &candidates);

    // Returns the owner of a searcher: the highest-ranked host of its zone, or of all hosts if the
    // zone has none. Returns the empty id if there are no hosts.
    HostId ownerOf(SearcherId searcher, std::string_view zone) const;

    // Returns the host with the given rank for a request id, where rank 0 is the owner. Returns the
    // empty id if there are not so many hosts.
    HostId ownerOfRequest(std::uint64_t requestHash, std::size_t rank = 0) const;

    // Returns the incarnation of a host, or zero if it is not a candidate.
    Incarnation incarnationOf(HostId host) const;

private:
    std::unordered_map<HostId, Incarnation> incarnations;
    std::unordered_map<std::uint64_t, std::vector<HostId>> hostsByZone;
    std::vector<HostId> allHosts;
};

} // namespace quetzal
