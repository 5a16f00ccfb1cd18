#include "version/servingview.h"

namespace quetzal {

// Time for which a searcher that is draining or Gone may still be used if its pool has no other.
static constexpr Millis gracePeriod = Millis(700);
// The same for a registration whose lease may have expired because of a registry outage. A searcher
// that is alive registers again within that time.
static constexpr Millis outageGracePeriod = Millis(2500);

void ServingView::notifyIfChanged(bool hasChanged)
{
    this->notificationPending = this->notificationPending || hasChanged;
    if (!this->notificationPending || !this->changeHandler)
        return;
    this->changeHandler();
    this->notificationPending = false;
}

bool ServingView::applyTables(RoutingTables &&tables)
{
    if (this->currentTables && tables.revision.value <= this->currentTables->revision.value)
        return false;
    this->currentTables = std::make_shared<const RoutingTables>(std::move(tables));
    this->viewFreshness.setLacksTables(false);
    this->notifyIfChanged(true);
    return true;
}

void ServingView::applyRegistration(const SearcherRegistration &registration, Millis now)
{
    this->notifyIfChanged(this->searcherDirectory.apply(registration, now));
}

void ServingView::applyRegistrations(const std::vector<SearcherRegistration> &registrations,
                                     Millis now)
{
    bool anyChanged = false;
    for (const SearcherRegistration &registration : registrations)
        anyChanged = this->searcherDirectory.apply(registration, now) || anyChanged;
    this->notifyIfChanged(anyChanged);
}

void ServingView::applyListing(const std::vector<SearcherRegistration> &listing,
                               std::uint64_t completeRevision, Millis now,
                               const std::vector<ZoneRequest> &zones, bool isFromHost)
{
    const StorePosition position = StorePosition::unpacked(completeRevision);
    if (isFromHost && position < this->position())
        return;
    if (position.era == this->era) {
        // The directory may not remember which registrations ended before its revision, so an older
        // listing could restore some of them.
        if (position < this->position())
            return;
        const bool zonesChanged
                = this->evacuations.reconcile(zones, position.revision, isFromHost, now);
        this->notifyIfChanged(this->searcherDirectory.reconcile(listing, position.revision, now)
                              || zonesChanged);
        return;
    }
    this->era = position.era;
    const bool zonesChanged
            = this->evacuations.reconcileEra(zones, position.revision, isFromHost, now);
    this->notifyIfChanged(this->searcherDirectory.reconcileEra(listing, position.revision, now)
                          || zonesChanged);
}

void ServingView::applyZones(const std::vector<ZoneRequest> &requests, bool isFromHost, Millis now)
{
    bool anyChanged = false;
    for (const ZoneRequest &request : requests)
        anyChanged = this->evacuations.apply(request, isFromHost, now) || anyChanged;
    this->notifyIfChanged(anyChanged);
}

void ServingView::advanceRevision(std::uint64_t completeRevision)
{
    const StorePosition position = StorePosition::unpacked(completeRevision);
    if (position.era == this->era)
        this->searcherDirectory.advanceRevision(position.revision);
}

bool ServingView::applyDelta(ViewDelta &&delta, Millis now)
{
    const StorePosition position = StorePosition::unpacked(delta.completeRevision);
    const bool isSameEra = position.era == this->era;
    if (delta.tables)
        this->applyTables(std::move(*delta.tables));
    if (delta.isFullListing) {
        this->applyListing(delta.registrations, delta.completeRevision, now, delta.zones, true);
        return true;
    }
    if (!isSameEra)
        return false;
    this->applyZones(delta.zones, true, now);
    this->applyRegistrations(delta.registrations, now);
    // Comes last: the revision says that everything up to it is applied.
    this->advanceRevision(delta.completeRevision);
    return true;
}

ViewDelta ServingView::delta(std::uint64_t after, Revision tablesRevision) const
{
    const StorePosition since = StorePosition::unpacked(after);
    ViewDelta result;
    result.completeRevision = this->revision();
    if (this->currentTables && this->currentTables->revision.value > tablesRevision.value)
        result.tables = *this->currentTables;
    if (since.era > this->era)
        return result;
    result.isFullListing
            = since.era != this->era || since.revision < this->evacuations.purgedUpTo();
    result.registrations
            = this->searcherDirectory.changesSince(since.revision, result.isFullListing);
    result.zones = this->evacuations.changesSince(since.revision, result.isFullListing);
    return result;
}

void ServingView::settleRetained(Millis now)
{
    const bool zonesChanged
            = this->evacuations.settleRetained(this->searcherDirectory.revision(), now);
    const bool searchersChanged = this->searcherDirectory.settleRetained(now);
    if (zonesChanged || searchersChanged)
        this->notifyIfChanged(true);
}

void ServingView::purgeGone(Millis now)
{
    this->settleRetained(now);
    this->searcherDirectory.purgeGone(now);
    this->evacuations.purge(now, SearcherDirectory::goneRetention);
}

void ServingView::onRegistryLost(Millis now)
{
    this->registryLost = true;
    this->registryUnstableUntil = now + outageGracePeriod;
}

void ServingView::onRegistryRestored(Millis now)
{
    if (this->registryLost)
        this->registryUnstableUntil = now + outageGracePeriod;
    this->registryLost = false;
}

Millis ServingView::lastResortUntil(const DirectoryRecord &record) const
{
    if (record.registration.state == SearcherState::Ready)
        return Millis::never();
    const bool leaseMayHaveExpired
            = record.registration.state == SearcherState::Gone
              && (this->registryLost || record.learnedAt < this->registryUnstableUntil);
    return record.learnedAt + (leaseMayHaveExpired ? outageGracePeriod : gracePeriod);
}

} // namespace quetzal
