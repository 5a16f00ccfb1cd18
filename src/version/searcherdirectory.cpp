#include "version/searcherdirectory.h"

#include <algorithm>
#include <set>

namespace quetzal {

bool SearcherDirectory::apply(const DirectoryEntry &entry, Millis now)
{
    const auto found = this->byId.find(entry.id);
    if (found == this->byId.end()) {
        this->byId.emplace(entry.id, DirectoryRecord{ entry, now });
        return true;
    }
    DirectoryRecord &record = found->second;
    if (entry.revision <= record.entry.revision)
        return false;
    const bool sameState
            = record.entry.state == entry.state
              && (entry.state == SearcherState::Gone || record.entry.isSameLife(entry));
    if (!sameState)
        record.learnedAt = now;
    if (entry.state == SearcherState::Gone) {
        // An ending names the id alone; the rest stays as it was.
        record.entry.state = SearcherState::Gone;
        record.entry.revision = entry.revision;
    } else {
        record.entry = entry;
    }
    return true;
}

bool SearcherDirectory::reconcile(const std::vector<DirectoryEntry> &listing,
                                  std::uint64_t complete, Millis now)
{
    bool changed = false;
    std::set<std::string> listed;
    for (const DirectoryEntry &entry : listing) {
        listed.insert(entry.id);
        changed = this->apply(entry, now) || changed;
    }
    for (auto &[id, record] : this->byId) {
        const bool ended = record.entry.state != SearcherState::Gone && !listed.contains(id)
                           && record.entry.revision <= complete;
        if (!ended)
            continue;
        record.entry.state = SearcherState::Gone;
        record.entry.revision = complete;
        record.learnedAt = now;
        changed = true;
    }
    this->advance(complete);
    return changed;
}

void SearcherDirectory::advance(std::uint64_t complete)
{
    this->complete = std::max(this->complete, complete);
}

std::vector<DirectoryEntry> SearcherDirectory::changesSince(std::uint64_t after, bool &whole) const
{
    whole = after < this->forgottenUpTo || after == 0;
    std::vector<DirectoryEntry> result;
    for (const auto &[id, record] : this->byId) {
        const bool wanted
                = whole ? record.entry.state != SearcherState::Gone : record.entry.revision > after;
        if (wanted)
            result.push_back(record.entry);
    }
    return result;
}

void SearcherDirectory::forgetEnded(Millis now)
{
    std::erase_if(this->byId, [&](const auto &item) {
        const DirectoryRecord &record = item.second;
        if (record.entry.state != SearcherState::Gone || now - record.learnedAt < forgetAfter)
            return false;
        this->forgottenUpTo = std::max(this->forgottenUpTo, record.entry.revision);
        return true;
    });
}

std::size_t SearcherDirectory::liveCount() const
{
    return static_cast<std::size_t>(
            std::count_if(this->byId.begin(), this->byId.end(), [](const auto &item) {
                return item.second.entry.state != SearcherState::Gone;
            }));
}

} // namespace quetzal
