// A single search result.
#pragma once

#include <string>

namespace quetzal {

// The id of a matching item and its score. Results are ordered by descending score.
struct Hit
{
    std::string id;
    double score = 0;

    friend bool operator==(const Hit &, const Hit &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->score);
    }
};

} // namespace quetzal
