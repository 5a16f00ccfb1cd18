// Decides at the door whether a query may start.
#pragma once

#include "quetzal/millis.h"
#include "version/routingtables.h"

#include <cstdint>

namespace quetzal {

// Limits the queries of one pool that one entry has in flight.
//
// The limit grows by additive increase while answers come within their target and shrinks by a
// factor when relays refuse work for lack of time or room, at most once per round trip. Routes of
// lower priority may use a smaller part of it. Used by one event loop.
class Admission
{
public:
    explicit Admission(bool enabled = true)
        : enabled(enabled)
    {}

    // Takes a place for a query of that priority. Returns false if there is none.
    bool admit(Priority priority, Millis now);

    // True if a query was refused within the last moments: the pool has nothing to spare.
    bool refusedRecently(Millis now) const
    {
        return now < this->lastRefusedAt + recentRefusalPeriod;
    }

    // Gives the place back.
    // refused: a relay or searcher refused part of the query for lack of capacity.
    // late: the answer came after the route's target.
    void onEnd(Millis now, Millis latency, bool refused, bool late);

    // Gives the place back without learning from the query.
    void release() { --this->running; }

    // Returns the time after which a refused caller may try again.
    Millis retryAfter() const;

    double currentLimit() const { return this->limit; }
    std::uint32_t inFlight() const { return this->running; }

private:
    static constexpr Millis recentRefusalPeriod = Millis(500);

    bool enabled;
    Millis lastRefusedAt = Millis(-1e9);
    std::uint32_t running = 0;
    double limit = 64;
    Millis typicalLatency = Millis(20);
    Millis limitReducedAt = Millis(-1e9);
};

} // namespace quetzal
