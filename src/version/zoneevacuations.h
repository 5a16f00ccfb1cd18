// Zones whose searchers are not used at the operators' request.
#pragma once

#include "quetzal/millis.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

// The operators' request about a zone at one revision of the registry.
struct ZoneRequest
{
    std::string zone;
    // False once the request has been taken back.
    bool isEvacuated = true;
    std::uint64_t revision = 0;

    friend bool operator==(const ZoneRequest &, const ZoneRequest &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->zone, this->isEvacuated, this->revision);
    }
};

// A request with the time and the source from which this host learned of it.
struct ZoneRecord
{
    ZoneRequest request;
    Millis learnedAt;
    bool isFromHost = false;
    // The highest revision of the request in any era of the registry.
    std::uint64_t highestRevision = 0;
};

// Merges requests about zones from the store and from other hosts, in any order of arrival: for
// each zone the highest revision wins. A request that was taken back is kept for retention, so that
// an older report does not restore it.
//
// When the registry is restored from an older copy, what the copy lacks or contradicts is retained
// until the operators write it again, or have had time to.
class ZoneEvacuations
{
public:
    // Applies a request if its revision is newer. Returns true if a zone was evacuated or restored.
    bool apply(const ZoneRequest &request, bool isFromHost, Millis now);

    // Applies a listing that is complete up to a revision: requests that are not in it and are not
    // newer were taken back. Returns true if a zone was evacuated or restored.
    bool reconcile(const std::vector<ZoneRequest> &listing, std::uint64_t completeRevision,
                   bool isFromHost, Millis now);

    // Applies the first listing of a new era of the registry. Returns true if a zone was evacuated
    // or restored.
    bool reconcileEra(const std::vector<ZoneRequest> &listing, std::uint64_t completeRevision,
                      bool isFromHost, Millis now);

    // Gives up requests that have been retained for long enough, in favour of what the registry
    // holds. Returns true if a zone was evacuated or restored.
    bool settleRetained(std::uint64_t completeRevision, Millis now);

    // Returns the requests that changed after a revision, as the registry holds them, or all that
    // are in force.
    std::vector<ZoneRequest> changesSince(std::uint64_t after, bool isFullListing) const;

    // Returns the revision up to which requests that were taken back may not be known.
    std::uint64_t purgedUpTo() const { return this->purgedRevision; }

    // Removes requests that were taken back more than the retention time ago.
    void purge(Millis now, Millis retention);

    bool isEvacuated(const std::string &zone) const;

    // By zone; includes zones that were restored recently.
    const std::map<std::string, ZoneRecord> &records() const { return this->byZone; }

    // Returns the number of requests that differ from the restored registry.
    std::size_t retainedCount() const { return this->retained.size(); }

    // Time after a restore for which a request that the copy lacks stays in force.
    static constexpr Millis missingRetention = Millis(30'000);
    // Time after a restore for which a request does not come into force that seems to have been
    // taken back after the copy. Short, because it may be a new one.
    static constexpr Millis outdatedRetention = Millis(2500);

private:
    // What the registry holds in place of a request that is retained.
    struct Retained
    {
        std::optional<ZoneRequest> stored;
        Millis until;
    };

    // Returns the revision of the registry's entry of a zone, 0 if it has none in this era.
    std::uint64_t storedRevision(const ZoneRecord &record) const;
    // Replaces the request of a record. Returns true if the zone was evacuated or restored.
    static bool replace(ZoneRecord &record, const ZoneRequest &request, bool isFromHost,
                        Millis now);

    std::map<std::string, ZoneRecord> byZone;
    // By zone; each of them has a record.
    std::map<std::string, Retained> retained;
    std::uint64_t purgedRevision = 0;
};

} // namespace quetzal
