// Violated guarantees, counted from callers' answers and searchers' ledgers.
#pragma once

#include <cstdint>

namespace quetzal {

// Number of violations of each guarantee. P1 to P9 number the guarantees in the reports;
// violations of P7 and P8 are not counted here.
struct ViolationCounts
{
    // P1: answers whose hits are not those of a single index version.
    std::uint64_t mixedVersion = 0;
    // P2: answers that state a wrong coverage.
    std::uint64_t wrongCoverage = 0;
    // P3: replies delivered to another request than their own.
    std::uint64_t foreignReply = 0;
    // P4: requests that were reported as not run although a searcher ran them.
    std::uint64_t falseNotRun = 0;
    // P5: non-repeatable requests that ran more than once.
    std::uint64_t ranTwice = 0;
    // P6: runs that started on a searcher later than is allowed after it began to drain.
    std::uint64_t afterDrain = 0;
    // P9: connections that exceeded a searcher's connection cap, and searchers that ran more
    // requests at once than they have slots.
    std::uint64_t overCap = 0;

    std::uint64_t total() const
    {
        return this->mixedVersion + this->wrongCoverage + this->foreignReply + this->falseNotRun
               + this->ranTwice + this->afterDrain + this->overCap;
    }
};

} // namespace quetzal
