// Directory of the searchers that registered themselves, as known to this host.
#pragma once

#include "quetzal/millis.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

// State of a registration. Gone means that it was deleted, expired or is invalid.
enum class SearcherState { Ready, Draining, Gone };

inline constexpr std::array<std::string_view, 3> searcherStateNames
        = { "ready", "draining", "gone" };

// One searcher's registration at one revision of the registry.
struct SearcherRegistration
{
    std::string id;
    std::string pool;
    // IP number and port.
    std::string address;
    std::string zone;
    // Requests that the searcher runs at the same time.
    std::uint32_t slots = 1;
    SearcherState state = SearcherState::Ready;
    // Remaining time for which the searcher is slower than usual after its start.
    Millis warmup;
    // Start of the searcher's process in Unix milliseconds; tells apart the incarnations of a
    // searcher that restarts under the same id. 0 if not known.
    std::uint64_t startTimeUnixMs = 0;
    // Revision of the registry at which the registration last changed.
    std::uint64_t revision = 0;

    // Returns true if both name the same incarnation of a searcher at the same address and pool.
    bool isSameIncarnation(const SearcherRegistration &other) const
    {
        return this->id == other.id && this->startTimeUnixMs == other.startTimeUnixMs
               && this->address == other.address && this->pool == other.pool;
    }

    friend bool operator==(const SearcherRegistration &, const SearcherRegistration &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        double warmupMs = this->warmup.count();
        archive(this->id, this->pool, this->address, this->zone, this->slots, this->state, warmupMs,
                this->startTimeUnixMs, this->revision);
        this->warmup = Millis(warmupMs);
    }
};

// A registration with the time at which this host learned of its state.
struct DirectoryRecord
{
    SearcherRegistration registration;
    // When this host learned of the registration's present state or incarnation.
    Millis learnedAt;
};

// Merges registrations from several sources, in any order of arrival: for each id the highest
// revision wins, so a registration never returns to an older state.
//
// A registration that ended is kept as Gone for goneRetention, so that an older report from another
// host does not restore it.
//
// Revisions are those of one era of the registry. When it is restored from an older copy, what this
// directory knows and the copy lacks or contradicts is retained until the registry reports a write
// of it, or until the searcher has had time to write it again.
class SearcherDirectory
{
public:
    // Applies one registration if its revision is newer. Returns true if the directory changed.
    bool apply(const SearcherRegistration &registration, Millis now);

    // Applies a full listing that is complete up to a revision: registrations that are not in it
    // and are not newer become Gone. Returns true if the directory changed.
    bool reconcile(const std::vector<SearcherRegistration> &listing, std::uint64_t completeRevision,
                   Millis now);

    // Applies the first full listing of a new era of the registry, whose revisions replace those of
    // the former era. Returns true if the directory changed.
    bool reconcileEra(const std::vector<SearcherRegistration> &listing,
                      std::uint64_t completeRevision, Millis now);

    // Gives up registrations that have been retained for as long as a searcher may take to write
    // them again, in favour of what the registry holds. Returns true if the directory changed.
    bool settleRetained(Millis now);

    // Records that all changes up to a revision have been applied.
    void advanceRevision(std::uint64_t completeRevision);

    // Returns the revision up to which every change is known.
    std::uint64_t revision() const { return this->completeRevision; }

    // Returns the registrations that changed after a revision, including those that are Gone, as
    // the registry holds them in this era. If changes after it have already been purged, or the
    // revision is 0, sets isFullListing. If that is set, returns all registrations that are not
    // Gone.
    std::vector<SearcherRegistration> changesSince(std::uint64_t after, bool &isFullListing) const;

    // Removes registrations that have been Gone for goneRetention.
    void purgeGone(Millis now);

    const std::map<std::string, DirectoryRecord> &records() const { return this->byId; }

    // Returns the number of registrations that are not Gone.
    std::size_t liveCount() const;

    // Returns the number of registrations that differ from the restored registry.
    std::size_t retainedCount() const { return this->retained.size(); }

    // Time for which a registration that ended is kept as Gone.
    static constexpr Millis goneRetention = Millis(60'000);
    // Time after a restore for which a registration that the copy lacks is kept. A searcher that is
    // alive registers again within that time.
    static constexpr Millis missingRetention = Millis(3500);
    // Time after a restore for which an older state in the copy is not used. A searcher that is not
    // alive has lost its registration by then.
    static constexpr Millis outdatedRetention = Millis(10'000);

private:
    // What the registry holds in place of a registration that is retained.
    struct Retained
    {
        std::optional<SearcherRegistration> stored;
        Millis until;
    };

    // Replaces the content of a record.
    static void replace(DirectoryRecord &record, const SearcherRegistration &registration,
                        Millis now);
    // Returns the revision of the registry's entry of a searcher, 0 if it has none in this era.
    std::uint64_t storedRevision(const DirectoryRecord &record) const;

    std::map<std::string, DirectoryRecord> byId;
    // By id; each of them has a record.
    std::map<std::string, Retained> retained;
    std::uint64_t completeRevision = 0;
    // Registrations that ended up to this revision may not be known: they were purged, or a listing
    // did not show them.
    std::uint64_t purgedRevision = 0;
};

} // namespace quetzal
