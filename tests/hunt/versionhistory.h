// The versions of the tables that an operator has written, and what each of them allows.
#pragma once

#include "quetzal/millis.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace quetzal {

// Pools that answered a request; empty if it was refused with 404.
using Outcome = std::set<std::string>;

// Used by several threads.
class VersionHistory
{
public:
    using Routes = std::map<std::string, std::set<std::string>>;

    // Adds a version that is about to be written.
    void add(std::uint64_t version, Routes routes)
    {
        const std::lock_guard lock(this->mutex);
        this->versions.push_back({ version, std::move(routes), Millis::never() });
    }

    // The store has confirmed the version that was added last.
    void confirm(Millis now)
    {
        const std::lock_guard lock(this->mutex);
        this->versions.back().confirmedAt = now;
    }

    // Returns the oldest version, not older than a bound, that allows the outcome of a request on a
    // route; zero if there is none.
    std::uint64_t oldestAllowing(const std::string &route, const Outcome &outcome,
                                 std::uint64_t bound) const
    {
        const std::lock_guard lock(this->mutex);
        for (const Version &version : this->versions) {
            if (version.number < bound)
                continue;
            const auto entry = version.routes.find(route);
            const bool isRouted = entry != version.routes.end();
            if (outcome.empty()
                        ? !isRouted
                        : isRouted
                                  && std::includes(entry->second.begin(), entry->second.end(),
                                                   outcome.begin(), outcome.end()))
                return version.number;
        }
        return 0;
    }

    // Returns the newest version confirmed until a time.
    std::uint64_t newestAt(Millis time) const
    {
        const std::lock_guard lock(this->mutex);
        std::uint64_t newest = 0;
        for (const Version &version : this->versions)
            newest = version.confirmedAt <= time ? version.number : newest;
        return newest;
    }

private:
    struct Version
    {
        std::uint64_t number = 0;
        Routes routes;
        Millis confirmedAt;
    };

    mutable std::mutex mutex;
    std::vector<Version> versions;
};

} // namespace quetzal
