// Broken promises, counted from callers' answers and searchers' ledgers.
#pragma once

#include <cstdint>

namespace quetzal {

// One count for each promise; all are zero when everything held.
struct PromiseCounts
{
    // P1: an answer drawn from more than one version.
    std::uint64_t snapshot = 0;
    // P2: a stated coverage that is not the true one.
    std::uint64_t coverage = 0;
    // P3: a reply that reached another request.
    std::uint64_t foreignReply = 0;
    // P4: a request said not to have run that a searcher ran.
    std::uint64_t falseNotRun = 0;
    // P5: a request that may not be repeated and ran more than once.
    std::uint64_t ranTwice = 0;
    // P6: new work on a searcher that had been leaving for too long.
    std::uint64_t afterDrain = 0;
    // P9: connections or slots of a searcher that were exceeded.
    std::uint64_t overCap = 0;

    std::uint64_t total() const
    {
        return this->snapshot + this->coverage + this->foreignReply + this->falseNotRun
               + this->ranTwice + this->afterDrain + this->overCap;
    }
};

} // namespace quetzal
