// How much time before a target has to be reserved for work that follows a decision.
#pragma once

#include "quetzal/millis.h"

namespace quetzal {

// Estimates how long a step takes, from its observed durations, so that it can be started early
// enough.
//
// Load pattern: hosts of unequal capacity that see from one request in several seconds to hundreds
// a second. The estimate is the smoothed mean plus a multiple of the smoothed deviation (as in RFC
// 6298), which is meaningful from the first observation on and follows a host that becomes slow.
// Used by one event loop; takes no lock.
class TimeReserve
{
public:
    // initial is returned until the first observation; no value above limit is returned.
    TimeReserve(Millis initial, Millis limit)
        : initial(initial)
        , limit(limit)
    {}

    // Records an observed duration. Negative durations count as zero, and those above the limit as
    // the limit.
    void observe(Millis duration);

    // Returns the time to reserve.
    Millis value() const;

private:
    Millis initial;
    Millis limit;
    Millis mean;
    Millis deviation;
    bool isEmpty = true;
};

} // namespace quetzal
