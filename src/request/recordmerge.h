// Merges reply parts that consist of fixed-size records.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

// Size of one record in bytes.
inline constexpr std::size_t recordBytes = 16;

// Returns the greatest records of all parts in descending order, at most limit of them. Records
// compare as unsigned bytes; duplicates are kept. An incomplete record at the end of a part is
// ignored.
std::string mergeRecords(const std::vector<std::string_view> &parts, std::size_t limit);

} // namespace quetzal
