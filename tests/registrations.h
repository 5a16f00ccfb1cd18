// Registrations as tests need them.
#pragma once

#include "version/searcherdirectory.h"

#include <string>

namespace quetzal {

// Returns a registration of the pool "shard" at one revision.
inline DirectoryEntry registration(const std::string &id, std::uint64_t revision,
                                   SearcherState state = SearcherState::Ready)
{
    DirectoryEntry entry;
    entry.id = id;
    entry.pool = "shard";
    entry.address = "127.0.0.1:1";
    entry.slots = 2;
    entry.state = state;
    entry.revision = revision;
    return entry;
}

} // namespace quetzal
