// Claims of other hosts to have a newer view that have proved useless.
#pragma once

#include "quetzal/ids.h"
#include "quetzal/millis.h"

#include <map>
#include <optional>

namespace quetzal {

// Remembers for a time which hosts are not to be asked for their view. A host whose revision is
// corrupt, or whose view cannot be read, would otherwise be asked without end.
class DistrustedClaims
{
public:
    // Distrusts a host: the claim to one revision, or every claim if there is none.
    void add(HostId host, std::optional<Revision> claim, Millis until)
    {
        this->entries[host] = { claim, until };
    }

    // Returns true if a host's claim to a revision is distrusted.
    bool contains(HostId host, Revision claim, Millis now) const
    {
        const auto found = this->entries.find(host);
        return found != this->entries.end() && now < found->second.until
               && found->second.claim.value_or(claim) == claim;
    }

    // Forgets what is no longer distrusted.
    void removeExpired(Millis now)
    {
        std::erase_if(this->entries,
                      [now](const auto &entry) { return now >= entry.second.until; });
    }

private:
    struct Entry
    {
        std::optional<Revision> claim;
        Millis until;
    };

    std::map<HostId, Entry> entries;
};

} // namespace quetzal
