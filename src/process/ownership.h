// Which host's relay owns a searcher.
#pragma once

#include "quetzal/ids.h"

#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzal {

// A host that may own searchers.
struct OwnerCandidate
{
    HostId host;
    // Hash of the name of the host's zone.
    std::uint64_t zoneHash = 0;
    Incarnation incarnation;
};

// Assigns keys to hosts by rendezvous hashing, so that a change of hosts moves only the keys of
// the hosts that changed.
class Ownership
{
public:
    Ownership() = default;
    explicit Ownership(const std::vector<OwnerCandidate> &candidates);

    // Returns the owner of a searcher: the highest rank in its zone, or of all hosts if its zone
    // has none. The empty id means that there are no hosts.
    HostId ownerOf(SearcherId searcher, std::string_view zone) const;

    // Returns the owner of a request id among all hosts, or the next in rank if skip is one.
    HostId ownerOfRequest(std::uint64_t requestHash, std::size_t rank = 0) const;

    // Returns the life of a host, or zero for one that is not among the candidates.
    Incarnation incarnationOf(HostId host) const;

private:
    std::unordered_map<HostId, Incarnation> incarnations;
    std::unordered_map<std::uint64_t, std::vector<HostId>> hostsByZone;
    std::vector<HostId> allHosts;
};

} // namespace quetzal
