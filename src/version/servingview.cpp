#include "version/servingview.h"

namespace quetzal {

// Time for which a leaving searcher may still be used if its pool has no other.
static constexpr Millis leavingUse = Millis(700);
// The same for a registration that may have ended by its lease while the registry was away; a
// searcher that is alive registers again within that time.
static constexpr Millis lapsedUse = Millis(2500);

void ServingView::notifyIfChanged(bool hasChanged)
{
    if (hasChanged && this->changeHandler)
        this->changeHandler();
}

bool ServingView::applyTables(RoutingTables &&tables)
{
    if (this->currentTables && tables.revision.value <= this->currentTables->revision.value)
        return false;
    this->currentTables = std::make_shared<const RoutingTables>(std::move(tables));
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
    bool any = false;
    for (const SearcherRegistration &registration : registrations)
        any = this->searcherDirectory.apply(registration, now) || any;
    this->notifyIfChanged(any);
}

void ServingView::applyListing(const std::vector<SearcherRegistration> &listing,
                               std::uint64_t complete, Millis now)
{
    // An old listing, from a source that lags, cannot tell what has ended.
    if (complete < this->searcherDirectory.revision()) {
        this->applyRegistrations(listing, now);
        return;
    }
    this->notifyIfChanged(this->searcherDirectory.reconcile(listing, complete, now));
}

void ServingView::advanceRevision(std::uint64_t complete)
{
    this->searcherDirectory.advanceRevision(complete);
}

void ServingView::applyDelta(ViewDelta &&delta, Millis now)
{
    if (delta.tables)
        this->applyTables(std::move(*delta.tables));
    if (delta.isFullListing) {
        this->applyListing(delta.registrations, delta.completeRevision, now);
        return;
    }
    this->advanceRevision(delta.completeRevision);
    this->applyRegistrations(delta.registrations, now);
}

ViewDelta ServingView::delta(std::uint64_t after, Revision tablesRevision) const
{
    ViewDelta result;
    result.completeRevision = this->searcherDirectory.revision();
    result.registrations = this->searcherDirectory.changesSince(after, result.isFullListing);
    if (this->currentTables && this->currentTables->revision.value > tablesRevision.value)
        result.tables = *this->currentTables;
    return result;
}

void ServingView::onRegistryLost(Millis now)
{
    this->registryLost = true;
    this->registryUnstableUntil = now + lapsedUse;
}

void ServingView::onRegistryRestored(Millis now)
{
    if (this->registryLost)
        this->registryUnstableUntil = now + lapsedUse;
    this->registryLost = false;
}

Millis ServingView::lastResortUntil(const DirectoryRecord &record) const
{
    if (record.registration.state == SearcherState::Ready)
        return Millis::never();
    const bool mayHaveLapsed
            = record.registration.state == SearcherState::Gone
              && (this->registryLost || record.learnedAt < this->registryUnstableUntil);
    return record.learnedAt + (mayHaveLapsed ? lapsedUse : leavingUse);
}

} // namespace quetzal
