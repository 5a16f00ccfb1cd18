// Decides when a host may no longer assume that its view has every change.
#pragma once

#include "quetzal/millis.h"

#include <algorithm>
#include <cstddef>

namespace quetzal {

// Judges the age of a view whose source answers only when there is a change.
//
// A source that has no change to report looks the same as one that has lost the call. One host, the
// first in rank, therefore bounds the time for which its source may stay silent, and confirms
// the view to the others whenever its source has answered. Another host that is not confirmed in
// time asks its source anew; the limit grows with its rank, so that in general only one host asks.
// Does no I/O and reads no clock.
class ViewFreshness
{
public:
    // Sets the time within which a change is to be in force.
    void setChangeDeadline(Millis deadline) { this->changeDeadline = deadline; }

    // Sets how many hosts that read the source precede this one.
    void setRank(std::size_t newRank) { this->rank = newRank; }

    // Sets whether the view lacks tables that its source has shown. Nothing confirms it meanwhile.
    void setLacksTables(bool lacks) { this->lacksTables = lacks; }
    bool isLackingTables() const { return this->lacksTables; }

    // The source has shown that the view contained every change at that time.
    void confirmBySource(Millis at)
    {
        if (!this->lacksTables)
            this->sourceAt = std::max(this->sourceAt, at);
    }

    // Another host has confirmed that the view contained every change at that time.
    void confirmByPeer(Millis at)
    {
        if (!this->lacksTables)
            this->peerAt = std::max(this->peerAt, at);
    }

    // The process did not run until now, and earlier confirmations may be older than they seem.
    void onPaused(Millis now) { this->pausedUntil = now; }

    // Returns how long ago the view was known to contain every change.
    Millis age(Millis now) const;

    // Returns the longest time for which the source may hold a call open.
    Millis maxCallWait(Millis now) const;

    // Returns true if the source is to be asked anew now, and counts on that being done.
    bool takeDoubt(Millis now);

    // Returns true if the view is to be confirmed to the other hosts now, and counts on that being
    // done.
    bool takeConfirmation(Millis now);

private:
    // Returns the age at which this host asks its source anew.
    Millis doubtAge() const;
    // Returns true if no other host has confirmed the view for some time, or none precedes this
    // one.
    bool isConfirmer(Millis now) const;

    Millis changeDeadline = Millis(3000);
    bool lacksTables = false;
    std::size_t rank = 0;
    Millis sourceAt = Millis(-1e9);
    Millis peerAt = Millis(-1e9);
    Millis pausedUntil = Millis(-1e9);
    // When the source was last asked anew because of a doubt.
    Millis doubtedAt = Millis(-1e9);
    // The time up to which the view was last confirmed to the other hosts.
    Millis announcedAt = Millis(-1e9);
};

} // namespace quetzal
