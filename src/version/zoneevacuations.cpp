#include "version/zoneevacuations.h"

#include <algorithm>
#include <set>

namespace quetzal {

// Returns true if a request in a copy of the registry seems to have been taken back since.
static bool isOutdated(const ZoneRequest &copied, const ZoneRecord &known)
{
    return !known.request.isEvacuated && copied.revision <= known.highestRevision;
}

std::uint64_t ZoneEvacuations::storedRevision(const ZoneRecord &record) const
{
    const auto found = this->retained.find(record.request.zone);
    if (found == this->retained.end())
        return record.request.revision;
    return found->second.stored ? found->second.stored->revision : 0;
}

bool ZoneEvacuations::replace(ZoneRecord &record, const ZoneRequest &request, bool isFromHost,
                              Millis now)
{
    const bool hasChanged = record.request.isEvacuated != request.isEvacuated;
    record.request = request;
    record.highestRevision = std::max(record.highestRevision, request.revision);
    if (!hasChanged)
        return false;
    record.learnedAt = now;
    record.isFromHost = isFromHost;
    return true;
}

bool ZoneEvacuations::apply(const ZoneRequest &request, bool isFromHost, Millis now)
{
    const auto [found, isNew] = this->byZone.try_emplace(request.zone);
    ZoneRecord &record = found->second;
    if (isNew) {
        record = { request, now, isFromHost, request.revision };
        return request.isEvacuated;
    }
    if (request.revision <= this->storedRevision(record))
        return false;
    this->retained.erase(request.zone);
    return replace(record, request, isFromHost, now);
}

bool ZoneEvacuations::reconcile(const std::vector<ZoneRequest> &listing,
                                std::uint64_t completeRevision, bool isFromHost, Millis now)
{
    bool changed = false;
    std::set<std::string> listed;
    for (const ZoneRequest &request : listing) {
        listed.insert(request.zone);
        changed = this->apply(request, isFromHost, now) || changed;
    }
    for (auto &[zone, record] : this->byZone) {
        const auto kept = this->retained.find(zone);
        const bool isMissingSinceRestore = kept != this->retained.end() && !kept->second.stored;
        if (listed.contains(zone) || isMissingSinceRestore
            || this->storedRevision(record) >= completeRevision)
            continue;
        this->retained.erase(zone);
        changed = replace(record, { zone, false, completeRevision }, isFromHost, now) || changed;
    }
    // What was requested and taken back before the listing is not in it.
    this->purgedRevision = std::max(this->purgedRevision, completeRevision);
    return changed;
}

bool ZoneEvacuations::reconcileEra(const std::vector<ZoneRequest> &listing,
                                   std::uint64_t completeRevision, bool isFromHost, Millis now)
{
    bool changed = false;
    std::set<std::string> listed;
    for (const ZoneRequest &request : listing) {
        listed.insert(request.zone);
        const auto found = this->byZone.find(request.zone);
        const bool isKnown = found != this->byZone.end();
        if (isKnown && isOutdated(request, found->second)) {
            this->retained[request.zone] = { request, now + outdatedRetention };
            continue;
        }
        this->retained.erase(request.zone);
        if (isKnown)
            changed = replace(found->second, request, isFromHost, now) || changed;
        else
            changed = this->apply(request, isFromHost, now) || changed;
    }
    for (const auto &[zone, record] : this->byZone) {
        if (!listed.contains(zone))
            this->retained[zone] = { std::nullopt, now + missingRetention };
    }
    this->purgedRevision = completeRevision;
    return changed;
}

bool ZoneEvacuations::settleRetained(std::uint64_t completeRevision, Millis now)
{
    bool changed = false;
    std::erase_if(this->retained, [&](const auto &item) {
        const auto &[zone, kept] = item;
        if (now < kept.until)
            return false;
        const ZoneRequest ended = { zone, false, completeRevision };
        changed = replace(this->byZone.at(zone), kept.stored.value_or(ended), false, now)
                  || changed;
        return true;
    });
    return changed;
}

std::vector<ZoneRequest> ZoneEvacuations::changesSince(std::uint64_t after,
                                                       bool isFullListing) const
{
    std::vector<ZoneRequest> result;
    for (const auto &[zone, record] : this->byZone) {
        const auto kept = this->retained.find(zone);
        if (kept != this->retained.end() && !kept->second.stored)
            continue;
        const ZoneRequest &stored
                = kept != this->retained.end() ? *kept->second.stored : record.request;
        if (isFullListing ? stored.isEvacuated : stored.revision > after)
            result.push_back(stored);
    }
    return result;
}

void ZoneEvacuations::purge(Millis now, Millis retention)
{
    std::erase_if(this->byZone, [&](const auto &item) {
        const ZoneRecord &record = item.second;
        if (record.request.isEvacuated || now - record.learnedAt < retention)
            return false;
        this->purgedRevision = std::max(this->purgedRevision, this->storedRevision(record));
        this->retained.erase(item.first);
        return true;
    });
}

bool ZoneEvacuations::isEvacuated(const std::string &zone) const
{
    const auto found = this->byZone.find(zone);
    return found != this->byZone.end() && found->second.request.isEvacuated;
}

} // namespace quetzal
