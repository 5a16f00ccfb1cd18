// The share of an index version that an answer covers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace quetzal {

// A shard that the answer lacks, and the reason.
struct MissingShard
{
    std::uint32_t shard = 0;
    std::error_code reason;
};

// The shards and documents of the query's index version that an answer was computed from.
struct Coverage
{
    std::uint32_t shardsAnswered = 0;
    std::uint32_t shardsTotal = 0;
    std::uint64_t documentsAnswered = 0;
    // Empty if the document count of a missing shard was never reported.
    std::optional<std::uint64_t> documentsTotal;
    std::vector<MissingShard> missing;

    bool complete() const { return this->shardsAnswered == this->shardsTotal; }

    // Returns the covered fraction from 0 to 1: of the documents if their total is known and not
    // zero, otherwise of the shards.
    double fraction() const
    {
        if (this->shardsTotal == 0)
            return 0;
        if (this->documentsTotal && *this->documentsTotal > 0)
            return static_cast<double>(this->documentsAnswered)
                   / static_cast<double>(*this->documentsTotal);
        return static_cast<double>(this->shardsAnswered) / static_cast<double>(this->shardsTotal);
    }
};

} // namespace quetzal
