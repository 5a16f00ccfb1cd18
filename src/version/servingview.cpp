#include "version/servingview.h"

namespace quetzal {

// Time for which a leaving searcher may still be used if its pool has no other.
static constexpr Millis leavingUse = Millis(700);
// The same for a registration that may have ended by its lease while the registry was away; a
// searcher that is alive registers again within that time.
static constexpr Millis lapsedUse = Millis(2500);

void ServingView::notify(bool hasChanged)
{
    if (hasChanged && this->changed)
        this->changed();
}

bool ServingView::takeTables(Tables &&tables)
{
    if (this->current && tables.revision.value <= this->current->revision.value)
        return false;
    this->current = std::make_shared<const Tables>(std::move(tables));
    this->notify(true);
    return true;
}

void ServingView::takeEntry(const DirectoryEntry &entry, Millis now)
{
    this->notify(this->searchers.apply(entry, now));
}

void ServingView::takeEntries(const std::vector<DirectoryEntry> &entries, Millis now)
{
    bool any = false;
    for (const DirectoryEntry &entry : entries)
        any = this->searchers.apply(entry, now) || any;
    this->notify(any);
}

void ServingView::takeListing(const std::vector<DirectoryEntry> &listing, std::uint64_t complete,
                              Millis now)
{
    // An old listing, from a source that lags, cannot tell what has ended.
    if (complete < this->searchers.revision()) {
        this->takeEntries(listing, now);
        return;
    }
    this->notify(this->searchers.reconcile(listing, complete, now));
}

void ServingView::takeComplete(std::uint64_t complete)
{
    this->searchers.advance(complete);
}

void ServingView::takeDelta(ViewDelta &&delta, Millis now)
{
    if (delta.tables)
        this->takeTables(std::move(*delta.tables));
    if (delta.whole) {
        this->takeListing(delta.entries, delta.complete, now);
        return;
    }
    this->takeComplete(delta.complete);
    this->takeEntries(delta.entries, now);
}

ViewDelta ServingView::delta(std::uint64_t after, Revision tablesRevision) const
{
    ViewDelta result;
    result.complete = this->searchers.revision();
    result.entries = this->searchers.changesSince(after, result.whole);
    if (this->current && this->current->revision.value > tablesRevision.value)
        result.tables = *this->current;
    return result;
}

void ServingView::noteRegistryLost(Millis now)
{
    this->registryLost = true;
    this->unstableUntil = now + lapsedUse;
}

void ServingView::noteRegistryBack(Millis now)
{
    if (this->registryLost)
        this->unstableUntil = now + lapsedUse;
    this->registryLost = false;
}

Millis ServingView::lastUse(const DirectoryRecord &record) const
{
    if (record.entry.state == SearcherState::Ready)
        return Millis::never();
    const bool mayHaveLapsed = record.entry.state == SearcherState::Gone
                               && (this->registryLost || record.learnedAt < this->unstableUntil);
    return record.learnedAt + (mayHaveLapsed ? lapsedUse : leavingUse);
}

} // namespace quetzal
