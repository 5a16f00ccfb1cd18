#include "process/ownership.h"

#include <algorithm>

namespace quetzal {

Ownership::Ownership(const std::vector<OwnerCandidate> &candidates)
{
    for (const OwnerCandidate &candidate : candidates) {
        this->hostsByZone[candidate.zoneHash].push_back(candidate.host);
        this->allHosts.push_back(candidate.host);
        this->incarnations[candidate.host] = candidate.incarnation;
    }
}

static HostId highestRank(const std::vector<HostId> &hosts, std::uint64_t key)
{
    HostId best;
    std::uint64_t bestScore = 0;
    for (const HostId host : hosts) {
        const std::uint64_t score = stableHash(host.value, key);
        if (best.value == 0 || score > bestScore) {
            best = host;
            bestScore = score;
        }
    }
    return best;
}

HostId Ownership::ownerOf(SearcherId searcher, std::string_view zone) const
{
    const auto inZone = this->hostsByZone.find(stableHash(zone));
    if (inZone != this->hostsByZone.end())
        return highestRank(inZone->second, searcher.value);
    return highestRank(this->allHosts, searcher.value);
}

Incarnation Ownership::incarnationOf(HostId host) const
{
    const auto found = this->incarnations.find(host);
    return found == this->incarnations.end() ? Incarnation() : found->second;
}

HostId Ownership::ownerOfRequest(std::uint64_t requestHash, std::size_t rank) const
{
    if (rank == 0)
        return highestRank(this->allHosts, requestHash);
    if (rank >= this->allHosts.size())
        return {};
    std::vector<HostId> ranked = this->allHosts;
    std::sort(ranked.begin(), ranked.end(), [requestHash](HostId a, HostId b) {
        return stableHash(a.value, requestHash) > stableHash(b.value, requestHash);
    });
    return ranked[rank];
}

} // namespace quetzal
