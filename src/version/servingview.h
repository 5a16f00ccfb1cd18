// The routing tables and searchers that a host uses, merged from the store, files and other hosts.
#pragma once

#include "version/routingtables.h"
#include "version/searcherdirectory.h"
#include "version/storeposition.h"
#include "version/viewfreshness.h"
#include "version/zoneevacuations.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace quetzal {

// The changes of one host's view since an earlier revision, as sent to another host.
struct ViewDelta
{
    // Every change up to this position, which is packed, is included.
    std::uint64_t completeRevision = 0;
    // True if the registrations are a full listing, not only what changed.
    bool isFullListing = false;
    std::vector<SearcherRegistration> registrations;
    // The routing tables, if those of the requesting host are older.
    std::optional<RoutingTables> tables;
    // Evacuated zones, and restored ones unless this is a full listing.
    std::vector<ZoneRequest> zones;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->completeRevision, this->isFullListing, this->registrations, this->tables,
                this->zones);
    }
};

// Holds the newest routing tables and the searcher directory. Neither returns to an older revision
// while the process runs. Used on one event loop only.
//
// Revisions of the directory are packed positions, see StorePosition; those of single registrations
// and zones are revisions of the view's era. After a restore of the store the view takes the
// listing of the new era, and keeps for a while what the listing lacks or has in an older state.
class ServingView
{
public:
    // Sets the function that is called after each change.
    void onChange(std::function<void()> handler) { this->changeHandler = std::move(handler); }

    // Applies routing tables from any source. Returns false if they are not newer than the current
    // ones.
    bool applyTables(RoutingTables &&tables);

    // Applies one registration.
    void applyRegistration(const SearcherRegistration &registration, Millis now);

    // Applies several registrations, with one notification for all of them.
    void applyRegistrations(const std::vector<SearcherRegistration> &registrations, Millis now);

    // Applies a full listing that is complete up to a revision, unless the directory is complete up
    // to a later one of the same era. A listing of the store in another era replaces the view's
    // era, one of another host only if its era is later.
    // zones: the evacuated ones. isFromHost: the listing was sent by another host.
    void applyListing(const std::vector<SearcherRegistration> &listing,
                      std::uint64_t completeRevision, Millis now,
                      const std::vector<ZoneRequest> &zones = {}, bool isFromHost = false);

    // Applies the operators' requests about zones, with one notification for all of them.
    void applyZones(const std::vector<ZoneRequest> &requests, bool isFromHost, Millis now);

    // Returns true if nothing is to be sent to the searchers of a zone.
    bool isEvacuated(const std::string &zone) const { return this->evacuations.isEvacuated(zone); }
    const ZoneEvacuations &zones() const { return this->evacuations; }

    // Records that every change up to a revision of the view's era has been applied.
    void advanceRevision(std::uint64_t completeRevision);

    // Applies the changes that another host sent. Returns false if they cannot be applied, because
    // the store has shown another era or they are not the listing that a new era needs.
    bool applyDelta(ViewDelta &&delta, Millis now);

    // Returns the changes for a host that has all registrations up to a revision, and routing
    // tables of a revision.
    ViewDelta delta(std::uint64_t after, Revision tablesRevision) const;

    // Record that the registry stopped answering, or answers again. A registration that ends during
    // an outage or soon after may have ended only because its lease could not be renewed.
    void onRegistryLost(Millis now);
    void onRegistryRestored(Millis now);

    // When the view was known to contain every change.
    ViewFreshness &freshness() { return this->viewFreshness; }
    const ViewFreshness &freshness() const { return this->viewFreshness; }

    // Returns the time until which a searcher may be used if its pool has no other. Never ends for
    // one that is ready.
    Millis lastResortUntil(const DirectoryRecord &record) const;

    const std::shared_ptr<const RoutingTables> &tables() const { return this->currentTables; }
    const SearcherDirectory &directory() const { return this->searcherDirectory; }
    StorePosition position() const { return { this->era, this->searcherDirectory.revision() }; }
    // Returns the packed position.
    std::uint64_t revision() const { return this->position().packed(); }
    // Returns the number of registrations and zones that differ from the restored store.
    std::size_t retainedCount() const
    {
        return this->searcherDirectory.retainedCount() + this->evacuations.retainedCount();
    }
    Revision tablesRevision() const
    {
        return this->currentTables ? this->currentTables->revision : Revision();
    }

    // Gives up what has been retained since a restore for long enough.
    void settleRetained(Millis now);

    // Removes registrations that have been Gone, and zones that have been restored, for
    // SearcherDirectory::goneRetention. Includes settleRetained.
    void purgeGone(Millis now);

private:
    // Calls the handler if something changed, or if its last call ended with an exception.
    void notifyIfChanged(bool hasChanged);

    std::function<void()> changeHandler;
    // A change of which the handler has not been told.
    bool notificationPending = false;
    std::shared_ptr<const RoutingTables> currentTables;
    SearcherDirectory searcherDirectory;
    ZoneEvacuations evacuations;
    ViewFreshness viewFreshness;
    // The store's era in which the directory's revisions are.
    std::uint64_t era = 0;
    bool registryLost = false;
    // Until then a registration may end only because its lease could not be renewed.
    Millis registryUnstableUntil = Millis(-1e9);
};

} // namespace quetzal
