// Merges parts that hold fixed-size records.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

// Size of one record in bytes.
inline constexpr std::size_t recordBytes = 16;

// Returns the greatest records of all parts, greatest first, at most limit of them. Records compare
// byte by byte; equal records all count. A remainder shorter than a record is left out.
std::string mergeRecords(const std::vector<std::string_view> &parts, std::size_t limit);

} // namespace quetzal
