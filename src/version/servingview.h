// The tables and the searchers that a host serves by, joined from every source that tells of them.
#pragma once

#include "version/searcherdirectory.h"
#include "version/tables.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace quetzal {

// What one host tells another about its view.
struct ViewDelta
{
    std::uint64_t complete = 0;
    // The entries are a whole listing up to complete.
    bool whole = false;
    std::vector<DirectoryEntry> entries;
    // The tables, if the asker's are older.
    std::optional<Tables> tables;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->complete, this->whole, this->entries, this->tables);
    }
};

// Keeps the newest tables and the directory. Nothing in it ever goes back in one life of the
// process. Used on one loop.
class ServingView
{
public:
    // Called after each change.
    void onChange(std::function<void()> handler) { this->changed = std::move(handler); }

    // Takes tables from any source. Returns false if they are not newer than those in force.
    bool takeTables(Tables &&tables);

    // Takes one registration.
    void takeEntry(const DirectoryEntry &entry, Millis now);

    // Takes several registrations, and tells of them once.
    void takeEntries(const std::vector<DirectoryEntry> &entries, Millis now);

    // Takes a whole listing up to a revision.
    void takeListing(const std::vector<DirectoryEntry> &listing, std::uint64_t complete,
                     Millis now);

    // Takes that every change up to a revision was told.
    void takeComplete(std::uint64_t complete);

    // Takes what another host tells.
    void takeDelta(ViewDelta &&delta, Millis now);

    // Returns what a host lacks that is complete up to a revision and has tables of a revision.
    ViewDelta delta(std::uint64_t after, Revision tablesRevision) const;

    // The registry does not answer. Registrations that end while it is so, or soon after, may end
    // by their leases alone.
    void noteRegistryLost(Millis now);
    void noteRegistryBack(Millis now);

    // Returns until when a searcher that is not ready may be used if no other is left.
    Millis lastUse(const DirectoryRecord &record) const;

    const std::shared_ptr<const Tables> &tables() const { return this->current; }
    const SearcherDirectory &directory() const { return this->searchers; }
    std::uint64_t revision() const { return this->searchers.revision(); }
    Revision tablesRevision() const { return this->current ? this->current->revision : Revision(); }

    // Forgets registrations that ended long ago.
    void sweep(Millis now) { this->searchers.forgetEnded(now); }

private:
    void notify(bool hasChanged);

    std::function<void()> changed;
    std::shared_ptr<const Tables> current;
    SearcherDirectory searchers;
    bool registryLost = false;
    Millis unstableUntil = Millis(-1e9);
};

} // namespace quetzal
