// Interface of a source of routing tables and registrations.
#pragma once

#include "quetzal/millis.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace quetzal {

// What a feed does at the moment.
enum class FeedStep {
    // Not started.
    Idle,
    // Waits for the time of its next call.
    Pausing,
    // Waits for an answer that lists the view, or that reports its next change.
    Listing,
    Watching,
    // Applies an answer to the view or makes a call.
    Handling,
};

inline constexpr std::array<std::string_view, 5> feedStepNames
        = { "idle", "pausing", "listing", "watching", "handling" };

// The state of a feed, for logs and metrics.
struct FeedStatus
{
    FeedStep step = FeedStep::Idle;
    // When the step began.
    Millis stepSince = Millis(-1e9);
    // When the source last answered.
    Millis answeredAt = Millis(-1e9);
    // Answers that could not be handled.
    std::uint64_t failures = 0;
    // The revision of the tables that could not be read, if they are newer than those in force.
    std::uint64_t refusedTables = 0;
};

// Keeps a ServingView up to date from its source. Used on one event loop only.
class ViewFeed
{
public:
    virtual ~ViewFeed() = default;

    // Starts to read, and continues until the feed is destroyed.
    virtual void start() = 0;

    // Returns true while the source answers this host.
    virtual bool isHealthy() const = 0;

    virtual FeedStatus status() const = 0;

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
