// Counters and latency distributions of one event loop.
#pragma once

#include "quetzal/millis.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace quetzal {

// Events that are counted.
enum class Counter {
    Requests,
    Answered,
    Refused,
    BadRequests,
    Failed,
    // Requests for which the results of some shards were missing.
    Incomplete,
    // Restarts of queries on another index version.
    Restarts,
    SubRequests,
    Hedges,
    Cancels,
    CallersGone,
    // Attempts accepted by a relay loop, and attempts that it reported with the verdict NotRun or
    // MayHaveRun.
    RelayWork,
    RelayNotRun,
    RelayMayHaveRun,
    SilentConnections,
    ReplyMismatches,
    Connects,
    Pauses,
    // Requests refused because no known key came with them.
    KeyRefusals,
    // Requests refused because their workspace's allowance was used up.
    AllowanceRefusals,
    // Connections closed because their peers exceeded a limit, and pauses of reading from one.
    LimitedConnections,
    ReadPauses,
};

// Metric names in the order of the enumerators, without the prefix "quetzal_".
inline constexpr std::array<std::string_view, 22> counterNames = {
    "requests_total",
    "answered_total",
    "refused_total",
    "bad_requests_total",
    "failed_total",
    "incomplete_total",
    "restarts_total",
    "sub_requests_total",
    "hedges_total",
    "cancels_total",
    "callers_gone_total",
    "relay_work_total",
    "relay_not_run_total",
    "relay_may_have_run_total",
    "silent_connections_total",
    "reply_mismatches_total",
    "connects_total",
    "pauses_total",
    "key_refusals_total",
    "allowance_refusals_total",
    "limited_connections_total",
    "read_pauses_total",
};

// Durations that are measured, in milliseconds.
enum class Timing {
    Query,
    // Not measured; exported with a count of zero.
    SubRequest,
    // Service time of the searcher in a successful attempt.
    Service,
    // Time from the arrival of an attempt at the relay loop until it is sent to the searcher.
    RelayQueue
};

// Metric names in the order of the enumerators, without the prefix "quetzal_".
inline constexpr std::array<std::string_view, 4> timingNames
        = { "query_ms", "sub_request_ms", "service_ms", "relay_queue_ms" };

// The metrics of one loop, used on its thread only. The texts of all loops are joined for /metrics.
class Metrics
{
public:
    explicit Metrics(std::string loopName);

    void add(Counter counter, std::uint64_t count = 1)
    {
        this->counters[static_cast<std::size_t>(counter)] += count;
    }

    void add(Timing timing, Millis value)
    {
        this->timings[static_cast<std::size_t>(timing)](value.count());
    }

    std::uint64_t value(Counter counter) const
    {
        return this->counters[static_cast<std::size_t>(counter)];
    }

    // Returns the metrics in the Prometheus text format, labelled with the loop's name.
    std::string text() const;

private:
    using Distribution = boost::accumulators::accumulator_set<
            double,
            boost::accumulators::stats<boost::accumulators::tag::count,
                                       boost::accumulators::tag::sum, boost::accumulators::tag::max,
                                       boost::accumulators::tag::extended_p_square>>;

    std::string loopName;
    std::array<std::uint64_t, counterNames.size()> counters = {};
    std::array<Distribution, timingNames.size()> timings;
};

} // namespace quetzal
