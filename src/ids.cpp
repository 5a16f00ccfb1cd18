#include "quetzal/ids.h"

#include <array>

#include <xxhash.h>

namespace quetzal {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t stableHash(std::uint64_t a, std::uint64_t b)
{
    const std::array<std::uint64_t, 2> pair = { a, b };
    return XXH3_64bits(pair.data(), sizeof(pair));
}

} // namespace quetzal
