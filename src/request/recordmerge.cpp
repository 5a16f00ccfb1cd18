#include "request/recordmerge.h"

#include <algorithm>
#include <functional>

namespace quetzal {

std::string mergeRecords(const std::vector<std::string_view> &parts, std::size_t limit)
{
    std::vector<std::string_view> records;
    for (const std::string_view part : parts) {
        for (std::size_t at = 0; at + recordBytes <= part.size(); at += recordBytes)
            records.push_back(part.substr(at, recordBytes));
    }
    const std::size_t count = std::min(limit, records.size());
    const auto end = records.begin() + static_cast<std::ptrdiff_t>(count);
    // std::string_view compares characters as unsigned bytes.
    std::partial_sort(records.begin(), end, records.end(), std::greater<>());
    std::string merged;
    merged.reserve(count * recordBytes);
    for (auto record = records.begin(); record != end; ++record)
        merged += *record;
    return merged;
}

} // namespace quetzal
