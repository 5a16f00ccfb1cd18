// Selection of the searcher for a sub-request.
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

// Enables the parts of the cost function; the policy bench disables them one by one.
struct ChooserOptions
{
    bool useObservations = true;
    bool useOutstanding = true;
    bool useZoneCost = true;
    bool useBackoff = true;
    bool useSlowStart = true;
};

// Selects among replicas by what one event loop of an entry host has observed of them.
//
// The cost of a searcher is its latency estimate scaled by its outstanding requests per slot, plus
// the cost of reaching its zone. A searcher that fails is backed off, which ranks it after its
// peers; the back-off doubles with each consecutive failure. A searcher is never ruled out for its
// cost, so the last replica remains available. Not thread-safe.
class ReplicaChooser
{
public:
    ReplicaChooser(std::uint64_t seed, const ChooserOptions &options);

    // Sets the properties of a searcher. slots: number of requests that it runs concurrently.
    // zoneCost: added to its cost for being in another zone. A new searcher is subject to slow
    // start.
    void setSearcher(SearcherId searcher, std::uint32_t slots, Millis zoneCost, Millis now);

    // Removes all searchers that are not listed.
    void keepOnly(std::span<const SearcherId> searchers);

    // Returns the cheaper of two randomly drawn candidates that are not excluded, or nothing if all
    // are excluded.
    std::optional<SearcherId> choose(std::span<const SearcherId> candidates,
                                     std::span<const SearcherId> excluded, Millis now);

    // Records that a sub-request was sent.
    void onSent(SearcherId searcher);

    // Records the outcome of an attempt. latency: time since it was sent.
    void onEnd(SearcherId searcher, Millis now, Millis latency, const Outcome &outcome);

    // Returns true while the searcher is backed off after failures.
    bool isBackedOff(SearcherId searcher, Millis now) const;

    // Returns the searchers whose latency estimate exceeds the median of all by the given factor.
    std::vector<SearcherId> outliers(double factor) const;

private:
    // Observations of one searcher.
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

    // Returns the cost in milliseconds.
    double cost(const SearcherStats &stats, Millis now) const;
    Millis expectedLatency(const SearcherStats &stats, Millis now) const;
    void recordFailure(SearcherStats &stats, Millis now);

    ChooserOptions options;
    std::mt19937_64 random;
    std::unordered_map<SearcherId, SearcherStats> stats;
    // Exponentially weighted mean over all searchers; the estimate for a searcher without samples.
    Millis typicalLatency = Millis(10);
};

} // namespace quetzal
