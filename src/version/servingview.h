// The tables and the searchers that a host serves by, joined from every source that tells of them.
#pragma once

#include "version/routingtables.h"
#include "version/searcherdirectory.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace quetzal {

// What one host tells another about its view.
struct ViewDelta
{
    std::uint64_t completeRevision = 0;
    // The entries are a whole listing up to complete.
    bool isFullListing = false;
    std::vector<SearcherRegistration> registrations;
    // The tables, if the asker's are older.
    std::optional<RoutingTables> tables;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->completeRevision, this->isFullListing, this->registrations, this->tables);
    }
};

// Keeps the newest tables and the directory. Nothing in it ever goes back in one life of the
// process. Used on one loop.
class ServingView
{
public:
    // Called after each change.
    void onChange(std::function<void()> handler) { this->changeHandler = std::move(handler); }

    // Takes tables from any source. Returns false if they are not newer than those in force.
    bool applyTables(RoutingTables &&tables);

    // Takes one registration.
    void applyRegistration(const SearcherRegistration &registration, Millis now);

    // Takes several registrations, and tells of them once.
    void applyRegistrations(const std::vector<SearcherRegistration> &registrations, Millis now);

    // Takes a whole listing up to a revision.
    void applyListing(const std::vector<SearcherRegistration> &listing, std::uint64_t complete,
                      Millis now);

    // Takes that every change up to a revision was told.
    void advanceRevision(std::uint64_t complete);

    // Takes what another host tells.
    void applyDelta(ViewDelta &&delta, Millis now);

    // Returns what a host lacks that is complete up to a revision and has tables of a revision.
    ViewDelta delta(std::uint64_t after, Revision tablesRevision) const;

    // The registry does not answer. Registrations that end while it is so, or soon after, may end
    // by their leases alone.
    void onRegistryLost(Millis now);
    void onRegistryRestored(Millis now);

    // Returns until when a searcher that is not ready may be used if no other is left.
    Millis lastResortUntil(const DirectoryRecord &record) const;

    const std::shared_ptr<const RoutingTables> &tables() const { return this->currentTables; }
    const SearcherDirectory &directory() const { return this->searcherDirectory; }
    std::uint64_t revision() const { return this->searcherDirectory.revision(); }
    Revision tablesRevision() const
    {
        return this->currentTables ? this->currentTables->revision : Revision();
    }

    // Forgets registrations that ended long ago.
    void purgeGone(Millis now) { this->searcherDirectory.purgeGone(now); }

private:
    void notifyIfChanged(bool hasChanged);

    std::function<void()> changeHandler;
    std::shared_ptr<const RoutingTables> currentTables;
    SearcherDirectory searcherDirectory;
    bool registryLost = false;
    Millis registryUnstableUntil = Millis(-1e9);
};

} // namespace quetzal
