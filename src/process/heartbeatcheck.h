// Checks what other hosts say of themselves and of others before the membership uses it.
#pragma once

#include "process/membership.h"

#include <string>

namespace quetzal {

// Returns why what is said of a host cannot be used, or an empty text if it can.
std::string memberProblem(const MemberInfo &member);

// Returns the same for a change of a host's state.
std::string updateProblem(const MemberUpdate &update);

// Removes the introductions and updates of a heartbeat that cannot be used. Returns why the first
// of them cannot, or an empty text if all can. The sender is not examined.
std::string removeInvalidEntries(Heartbeat &heartbeat);

} // namespace quetzal
