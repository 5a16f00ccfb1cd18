// Adaptive limit on the number of concurrent queries to a pool.
#pragma once

#include "quetzal/millis.h"
#include "version/routingtables.h"

#include <cstdint>

namespace quetzal {

// Limits the queries to one pool that one event loop of an entry host has in flight.
//
// The limit follows additive increase, multiplicative decrease: it grows while answers meet their
// latency target and is multiplied by a factor below one when an answer is late or a relay or
// searcher refuses work for lack of time or capacity, at most once per typical latency. Routes of
// lower priority may use a smaller share of the limit. If disabled, it admits all queries. Not
// thread-safe.
class Admission
{
public:
    explicit Admission(bool enabled = true)
        : enabled(enabled)
    {}

    // Reserves a slot for a query. Returns false if the limit for its priority is reached.
    bool admit(Priority priority, Millis now);

    // Returns true if admit() refused a query within the last recentRefusalPeriod, which means that
    // the pool has no spare capacity.
    bool refusedRecently(Millis now) const
    {
        return now < this->lastRefusedAt + recentRefusalPeriod;
    }

    // Releases the slot of a query that has ended and adapts the limit.
    // latency: time from start to end of the query.
    // refused: a relay or searcher refused part of the query for lack of capacity.
    // late: the route's target latency passed before all shards had answered.
    void onEnd(Millis now, Millis latency, bool refused, bool late);

    // Releases the slot of a query without adapting the limit.
    void release() { --this->running; }

    // Returns how long a refused caller should wait before it tries again.
    Millis retryAfter() const;

    // Returns the current limit on concurrent queries, before the shares of the priorities.
    double currentLimit() const { return this->limit; }
    // Returns the number of slots in use.
    std::uint32_t inFlight() const { return this->running; }

private:
    static constexpr Millis recentRefusalPeriod = Millis(500);

    bool enabled;
    // Initially long before any time that occurs, as is limitReducedAt.
    Millis lastRefusedAt = Millis(-1e9);
    std::uint32_t running = 0;
    double limit = 64;
    // Exponentially weighted moving average of query latencies.
    Millis typicalLatency = Millis(20);
    Millis limitReducedAt = Millis(-1e9);
};

} // namespace quetzal
