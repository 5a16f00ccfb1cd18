// Merges the hits of several shards.
#pragma once

#include "request/hit.h"

#include <cstddef>
#include <vector>

namespace quetzal {

// Returns true if a ranks before b: by descending score, then by ascending id, so that the order is
// deterministic.
bool ranksBefore(const Hit &a, const Hit &b);

// Returns the highest-ranked hits of all shards, at most limit, with duplicate ids removed.
std::vector<Hit> mergeHits(std::vector<std::vector<Hit>> &&shards, std::size_t limit);

} // namespace quetzal
