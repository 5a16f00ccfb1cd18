#include "version/searcherdirectory.h"

#include <algorithm>
#include <set>

namespace quetzal {

// Returns true if a registration in a copy of the registry is of an earlier time than the known
// one. Revisions decide only where the searcher's own life does not: they may be of different
// histories.
static bool isOutdated(const SearcherRegistration &copied, const SearcherRegistration &known)
{
    if (copied.isSameIncarnation(known))
        return copied.state < known.state;
    const bool hasStartTimes = copied.startTimeUnixMs != 0 && known.startTimeUnixMs != 0;
    if (hasStartTimes && copied.startTimeUnixMs != known.startTimeUnixMs)
        return copied.startTimeUnixMs < known.startTimeUnixMs;
    return copied.revision < known.revision;
}

void SearcherDirectory::replace(DirectoryRecord &record, const SearcherRegistration &registration,
                                Millis now)
{
    const bool sameState = record.registration.state == registration.state
                           && (registration.state == SearcherState::Gone
                               || record.registration.isSameIncarnation(registration));
    if (!sameState)
        record.learnedAt = now;
    if (registration.state == SearcherState::Gone) {
        // A deletion names only the id; the other fields keep their last values.
        record.registration.state = SearcherState::Gone;
        record.registration.revision = registration.revision;
    } else {
        record.registration = registration;
    }
}

std::uint64_t SearcherDirectory::storedRevision(const DirectoryRecord &record) const
{
    const auto found = this->retained.find(record.registration.id);
    if (found == this->retained.end())
        return record.registration.revision;
    return found->second.stored ? found->second.stored->revision : 0;
}

bool SearcherDirectory::apply(const SearcherRegistration &registration, Millis now)
{
    const auto found = this->byId.find(registration.id);
    if (found == this->byId.end()) {
        this->byId.emplace(registration.id, DirectoryRecord{ registration, now });
        return true;
    }
    DirectoryRecord &record = found->second;
    if (registration.revision <= this->storedRevision(record))
        return false;
    this->retained.erase(registration.id);
    replace(record, registration, now);
    return true;
}

bool SearcherDirectory::reconcile(const std::vector<SearcherRegistration> &listing,
                                  std::uint64_t completeRevision, Millis now)
{
    bool changed = false;
    std::set<std::string> listed;
    for (const SearcherRegistration &registration : listing) {
        listed.insert(registration.id);
        changed = this->apply(registration, now) || changed;
    }
    for (auto &[id, record] : this->byId) {
        const auto kept = this->retained.find(id);
        const bool isMissingSinceRestore = kept != this->retained.end() && !kept->second.stored;
        if (listed.contains(id) || isMissingSinceRestore
            || this->storedRevision(record) > completeRevision)
            continue;
        this->retained.erase(id);
        record.registration.revision = completeRevision;
        if (record.registration.state == SearcherState::Gone)
            continue;
        record.registration.state = SearcherState::Gone;
        record.learnedAt = now;
        changed = true;
    }
    this->advanceRevision(completeRevision);
    // What began and ended before the listing is not in it.
    this->purgedRevision = std::max(this->purgedRevision, completeRevision);
    return changed;
}

bool SearcherDirectory::reconcileEra(const std::vector<SearcherRegistration> &listing,
                                     std::uint64_t revision, Millis now)
{
    bool changed = false;
    std::set<std::string> listed;
    for (const SearcherRegistration &registration : listing) {
        listed.insert(registration.id);
        const auto [found, isNew]
                = this->byId.try_emplace(registration.id, DirectoryRecord{ registration, now });
        DirectoryRecord &record = found->second;
        if (!isNew && isOutdated(registration, record.registration)) {
            this->retained[registration.id] = { registration, now + outdatedRetention };
            continue;
        }
        this->retained.erase(registration.id);
        replace(record, registration, now);
        changed = true;
    }
    for (const auto &[id, record] : this->byId) {
        if (!listed.contains(id))
            this->retained[id] = { std::nullopt, now + missingRetention };
    }
    this->completeRevision = revision;
    this->purgedRevision = revision;
    return changed;
}

bool SearcherDirectory::settleRetained(Millis now)
{
    bool changed = false;
    std::erase_if(this->retained, [&](const auto &item) {
        const auto &[id, kept] = item;
        if (now < kept.until)
            return false;
        DirectoryRecord &record = this->byId.at(id);
        changed = changed || kept.stored || record.registration.state != SearcherState::Gone;
        SearcherRegistration ended = record.registration;
        ended.state = SearcherState::Gone;
        ended.revision = this->completeRevision;
        replace(record, kept.stored.value_or(ended), now);
        return true;
    });
    return changed;
}

void SearcherDirectory::advanceRevision(std::uint64_t completeRevision)
{
    this->completeRevision = std::max(this->completeRevision, completeRevision);
}

std::vector<SearcherRegistration> SearcherDirectory::changesSince(std::uint64_t after,
                                                                  bool &isFullListing) const
{
    isFullListing = isFullListing || after < this->purgedRevision || after == 0;
    std::vector<SearcherRegistration> result;
    for (const auto &[id, record] : this->byId) {
        const auto kept = this->retained.find(id);
        if (kept != this->retained.end() && !kept->second.stored)
            continue;
        const SearcherRegistration &stored
                = kept != this->retained.end() ? *kept->second.stored : record.registration;
        if (isFullListing ? stored.state != SearcherState::Gone : stored.revision > after)
            result.push_back(stored);
    }
    return result;
}

void SearcherDirectory::purgeGone(Millis now)
{
    std::erase_if(this->byId, [&](const auto &item) {
        const DirectoryRecord &record = item.second;
        if (record.registration.state != SearcherState::Gone
            || now - record.learnedAt < goneRetention)
            return false;
        this->purgedRevision = std::max(this->purgedRevision, this->storedRevision(record));
        this->retained.erase(item.first);
        return true;
    });
}

std::size_t SearcherDirectory::liveCount() const
{
    return static_cast<std::size_t>(
            std::count_if(this->byId.begin(), this->byId.end(), [](const auto &item) {
                return item.second.registration.state != SearcherState::Gone;
            }));
}

} // namespace quetzal
