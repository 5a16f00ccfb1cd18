// Chooses the searcher for a sub-request.
#pragma once

#include "quetzal/ids.h"
#include "quetzal/millis.h"
#include "quetzal/verdict.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

namespace quetzal {

// Which parts of the choice are in use; the policy bench switches them off one by one.
struct ChooserOptions
{
    bool useObservations = true;
    bool useOutstanding = true;
    bool useZoneCost = true;
    bool useBackoff = true;
    bool useSlowStart = true;
};

// Keeps one entry's own observations of searchers and picks among replicas by them.
//
// The cost of a searcher is its expected wait: latency estimate times work in sight, plus the way
// to its zone. Failures put it behind its peers for a while that doubles with each failure in a
// row. Nothing here removes the last replica. Used by one event loop.
class ReplicaChooser
{
public:
    ReplicaChooser(std::uint64_t seed, const ChooserOptions &options);

    // Sets what is known from the tables. A searcher seen for the first time starts slowly.
    void setSearcher(SearcherId searcher, std::uint32_t slots, Millis zoneCost, Millis now);

    // Drops the observations of searchers that are not among these.
    void keepOnly(std::span<const SearcherId> searchers);

    // Picks one of the candidates that is not excluded; nothing if all are.
    std::optional<SearcherId> choose(std::span<const SearcherId> candidates,
                                     std::span<const SearcherId> excluded, Millis now);

    // Records that a sub-request was sent.
    void onSent(SearcherId searcher);

    // Records the end of an attempt that was sent.
    void onEnd(SearcherId searcher, Millis now, Millis latency, const Outcome &outcome);

    // Returns true while the searcher is put behind its peers after failures.
    bool isBackedOff(SearcherId searcher, Millis now) const;

    // Returns the searchers whose latency estimate is over the factor times the median of all.
    std::vector<SearcherId> outliers(double factor) const;

private:
    struct SearcherStats
    {
        std::uint32_t slots = 1;
        Millis zoneCost;
        Millis slowStartSince;
        Millis latency;
        bool hasLatency = false;
        Millis latencyUpdatedAt;
        double outstanding = 0;
        int consecutiveFailures = 0;
        Millis backOffUntil;
    };

    double cost(const SearcherStats &stats, Millis now) const;
    Millis expectedLatency(const SearcherStats &stats, Millis now) const;
    void recordFailure(SearcherStats &stats, Millis now);

    ChooserOptions options;
    std::mt19937_64 random;
    std::unordered_map<SearcherId, SearcherStats> stats;
    // Mean latency over all searchers, the estimate for one that was never seen.
    Millis typicalLatency = Millis(10);
};

} // namespace quetzal
