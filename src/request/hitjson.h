// Searchers' answers as JSON.
#pragma once

#include "request/attempt.h"

#include <optional>
#include <string>
#include <vector>

namespace quetzal {

// A searcher's answer to a sub-request, with its own word on what it holds.
struct SearchReply
{
    ShardAnswer answer;
    std::uint32_t partitions = 0;
};

// A searcher's status.
struct SearcherStatus
{
    std::vector<Holding> holdings;
    bool draining = false;
};

// Return nothing if the text is malformed or lacks a field.
std::optional<SearchReply> parseSearchReply(const std::string &text);
std::optional<SearcherStatus> parseSearcherStatus(const std::string &text);

} // namespace quetzal
