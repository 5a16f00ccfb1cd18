#include "request/fleetreach.h"

#include <algorithm>

namespace quetzal {

// A host takes its list to be complete if it has grown by a small part only within a time, and some
// time after the first host at the latest.
static constexpr Millis quietTime = Millis(400);
static constexpr double toleratedGrowth = 0.1;
static constexpr Millis maxSearchTime = Millis(5000);
// Time without an acknowledgement after which a host counts as out of reach.
static constexpr Millis acknowledgementTimeout = Millis(250);
// Two periods of the membership's pings.
static constexpr Millis isolationTime = Millis(800);

void FleetReach::setAlive(const std::set<HostId> &alive, Millis now)
{
    for (auto &[id, host] : this->others) {
        if (host.isAlive && !alive.contains(id)) {
            host.isAlive = false;
            host.lostAt = now;
        }
    }
    std::erase_if(this->others,
                  [&](const auto &item) { return !this->isCounted(item.second, now); });
    for (const HostId id : alive) {
        if (id == this->self)
            continue;
        const auto [found, isNew] = this->others.try_emplace(id);
        if (isNew && !this->wasComplete)
            this->foundAt.push_back(now);
        if (!found->second.isAlive) {
            found->second.isAlive = true;
            found->second.unansweredSince = Millis::never();
            this->heardAt = now;
        }
    }
}

void FleetReach::onHeard(HostId host, Millis now)
{
    const auto found = this->others.find(host);
    if (found == this->others.end())
        return;
    found->second.unansweredSince = Millis::never();
    this->heardAt = now;
}

void FleetReach::onSent(HostId host, Millis now)
{
    const auto found = this->others.find(host);
    if (found != this->others.end())
        found->second.unansweredSince = std::min(found->second.unansweredSince, now);
}

bool FleetReach::isCounted(const OtherHost &host, Millis now) const
{
    return host.isAlive || now - host.lostAt < lostHostRetention;
}

bool FleetReach::isComplete(Millis now)
{
    if (this->wasComplete)
        return true;
    if (this->foundAt.empty()) {
        this->wasComplete = !this->hasSeeds;
        return this->wasComplete;
    }
    const auto firstRecent
            = std::upper_bound(this->foundAt.begin(), this->foundAt.end(), now - quietTime);
    const auto recent = static_cast<double>(this->foundAt.end() - firstRecent);
    this->wasComplete = recent <= static_cast<double>(this->foundAt.size()) * toleratedGrowth
                        || now - this->foundAt.front() >= maxSearchTime;
    return this->wasComplete;
}

std::size_t FleetReach::size(Millis now)
{
    if (!this->isComplete(now))
        return 0;
    return 1
           + static_cast<std::size_t>(
                   std::count_if(this->others.begin(), this->others.end(), [&](const auto &item) {
                       return this->isCounted(item.second, now);
                   }));
}

std::size_t FleetReach::reachable(Millis now) const
{
    return 1
           + static_cast<std::size_t>(
                   std::count_if(this->others.begin(), this->others.end(), [&](const auto &item) {
                       return item.second.isAlive
                              && now - item.second.unansweredSince < acknowledgementTimeout;
                   }));
}

bool FleetReach::isIsolated(Millis now) const
{
    const bool hasOthers
            = std::any_of(this->others.begin(), this->others.end(),
                          [&](const auto &item) { return this->isCounted(item.second, now); });
    return hasOthers && now - this->heardAt > isolationTime;
}

} // namespace quetzal
