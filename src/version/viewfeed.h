// Interface of a source of routing tables and registrations.
#pragma once

#include "quetzal/millis.h"

namespace quetzal {

// Keeps a ServingView up to date from its source. Used on one event loop only.
class ViewFeed
{
public:
    virtual ~ViewFeed() = default;

    // Starts to read, and continues until the feed is destroyed.
    virtual void start() = 0;

    // Returns true while the source answers this host.
    virtual bool isHealthy() const = 0;

    // Sets standby. A feed on standby polls its source at long intervals; between them the host
    // relies on the updates of other hosts.
    virtual void setStandby(bool isStandby) = 0;

    // Sets the longest time for which the source may hold a call open that waits for changes.
    virtual void setMaxCallWait(Millis wait) = 0;

    // Reads again, on a new connection. Called when another host has newer data than this feed, or
    // when nothing shows that the view is complete: the source may have lost the call in progress.
    virtual void refresh() = 0;
};

} // namespace quetzal
