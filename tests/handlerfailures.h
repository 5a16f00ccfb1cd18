// Exceptions of event loops' handlers that test cases provoke.
#pragma once

#include <atomic>
#include <cstdint>

namespace quetzal {

// Number of contained exceptions that the cases run so far have provoked.
inline std::atomic<std::uint64_t> expectedHandlerFailures = 0;

} // namespace quetzal
