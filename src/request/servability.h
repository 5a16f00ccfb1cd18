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

// Returns from when on a request to the pools of which maxMissing may be missing is expected to be
// servable: now, or when searchers that asked for a pause may be used again. Never if that is not
// known.
//
// Load pattern: all searchers of a shard refuse requests and name the time after which they want
// more. Callers that are told the same time come back when it is of use.
Millis servableAt(const std::vector<std::shared_ptr<ShardPool>> &pools, std::size_t maxMissing,
                  Millis now);

} // namespace quetzal
