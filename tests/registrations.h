// Sample registrations for tests.
#pragma once

#include "version/searcherdirectory.h"

#include <string>

namespace quetzal {

// Returns a registration in the pool "shard" at a revision.
inline SearcherRegistration makeRegistration(const std::string &id, std::uint64_t revision,
                                             SearcherState state = SearcherState::Ready)
{
    SearcherRegistration registration;
    registration.id = id;
    registration.pool = "shard";
    registration.address = "127.0.0.1:1";
    registration.slots = 2;
    registration.state = state;
    registration.revision = revision;
    return registration;
}

} // namespace quetzal
