// Decides on arrival whether a request for several parts can be served.
#pragma once

#include "request/shardpool.h"

#include <memory>
#include <vector>

namespace quetzal {

// Returns false if more than maxMissing of the pools have no searcher to which work may be sent, so
// that an answer with enough parts is impossible however long the request waits.
//
// Load pattern: all searchers of some shards crash or leave, while callers keep asking for all
// shards. Each such request would load the searchers of all other shards and fail in the end;
// refused on arrival, it costs them nothing, has not run, and the caller learns at once when to
// come back.
bool isServable(const std::vector<std::shared_ptr<ShardPool>> &pools, std::size_t maxMissing,
                Millis now);

} // namespace quetzal
