// The room that hosts give a workspace.
#pragma once

#include "quetzal/millis.h"
#include "version/workspace.h"

#include <algorithm>

namespace quetzal {

// A token bucket's rate in requests a second, and its size. A rate of 0 means no limit.
struct Allowance
{
    double rate = 0;
    double burst = 1;
};

// What operators tolerate beyond an allowance, as hosts cannot count without error: in any window
// the requests that the allowance admits, times one plus a ratio, plus a constant.
struct AllowanceTolerance
{
    Millis window = Millis(5000);
    double ratio = 0;
    double slack = 0;
};

// Returns what hosts aim at: the middle of what is tolerated. Aiming at the allowance itself would
// refuse requests that are within it whenever a count is late; the other half of the tolerance is
// for what is admitted before hosts hear of each other.
inline Allowance allowanceOf(const Workspace &workspace, const AllowanceTolerance &tolerance)
{
    static constexpr double usedPart = 0.5;
    static constexpr double millisPerSecond = 1000;
    if (workspace.allowedRate <= 0)
        return {};
    const double factor = 1 + tolerance.ratio * usedPart;
    const double windowSeconds = tolerance.window.count() / millisPerSecond;
    return { workspace.allowedRate * factor + tolerance.slack * usedPart / windowSeconds,
             std::max(1.0, workspace.allowedBurst * factor) };
}

} // namespace quetzal
