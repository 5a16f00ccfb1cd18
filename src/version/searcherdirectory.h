// The searchers that registered themselves, as far as this host has heard.
#pragma once

#include "quetzal/millis.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

// What a registry says of a searcher.
enum class SearcherState { Ready, Draining, Gone };

inline constexpr std::array<std::string_view, 3> searcherStateNames
        = { "ready", "draining", "gone" };

// One registration at one revision of the registry.
struct SearcherRegistration
{
    std::string id;
    std::string pool;
    // IP number and port.
    std::string address;
    std::string zone;
    std::uint32_t slots = 1;
    SearcherState state = SearcherState::Ready;
    // Time for which the searcher is slower than usual after its start.
    Millis warmup;
    // Start of the searcher's life in Unix milliseconds; a searcher may start again under its id.
    std::uint64_t startTimeUnixMs = 0;
    // The registry's revision of the last change.
    std::uint64_t revision = 0;

    // True if both name the same life of a searcher at the same address.
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

// What a host keeps of one registration.
struct DirectoryRecord
{
    SearcherRegistration registration;
    // When this host learned of the state that the entry has.
    Millis learnedAt;
};

// Joins registrations in any order of arrival: for each id the higher revision wins, so that
// several sources can be merged and nothing goes back.
//
// A registration that ended stays as Gone for a while, so that an older word about it, heard from
// another host, does not bring it back.
class SearcherDirectory
{
public:
    // Takes what a source says of one id. Returns true if that changed the directory.
    bool apply(const SearcherRegistration &registration, Millis now);

    // Takes a whole listing that is complete up to a revision: what it lacks has ended. Returns
    // true if that changed the directory.
    bool reconcile(const std::vector<SearcherRegistration> &listing, std::uint64_t complete,
                   Millis now);

    // Takes that all changes up to a revision have been applied.
    void advanceRevision(std::uint64_t complete);

    // Returns the revision up to which every change is known.
    std::uint64_t revision() const { return this->completeRevision; }

    // Returns the entries that changed after a revision, those that ended among them. Sets whole
    // if endings before that revision were forgotten: then the entries are a whole listing.
    std::vector<SearcherRegistration> changesSince(std::uint64_t after, bool &whole) const;

    // Forgets endings older than goneRetention.
    void purgeGone(Millis now);

    const std::map<std::string, DirectoryRecord> &records() const { return this->byId; }

    // Counts registrations that have not ended.
    std::size_t liveCount() const;

    static constexpr Millis goneRetention = Millis(60'000);

private:
    std::map<std::string, DirectoryRecord> byId;
    std::uint64_t completeRevision = 0;
    std::uint64_t purgedRevision = 0;
};

} // namespace quetzal
