// Parses the JSON replies of searchers.
#pragma once

#include "request/attempt.h"

#include <optional>
#include <string>
#include <vector>

namespace quetzal {

// A searcher's reply to a sub-request, with the number of partitions that its index reports.
struct SearchReply
{
    ShardAnswer answer;
    std::uint32_t partitions = 0;
};

// The status that a searcher reports: the shards that it holds and whether it is draining.
struct SearcherStatus
{
    std::vector<Holding> holdings;
    bool draining = false;
};

// Return nothing if the text is not valid JSON or a required field is missing.
std::optional<SearchReply> parseSearchReply(const std::string &text);
std::optional<SearcherStatus> parseSearcherStatus(const std::string &text);

} // namespace quetzal
