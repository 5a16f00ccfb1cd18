// A point in the history of a store that may be restored from a copy of an earlier state.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace quetzal {

// A revision of the store, qualified by the number of times that the store has been restored.
//
// A restored store continues at the revision of its copy, so revisions can be compared within one
// era only. Positions of a later era come after all positions of an earlier one.
struct StorePosition
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    static constexpr int revisionBits = 44;
    static constexpr std::uint64_t maxRevision = (std::uint64_t(1) << revisionBits) - 1;
    static constexpr std::uint64_t maxEra = (std::uint64_t(1) << (64 - revisionBits)) - 1;

    friend constexpr auto operator<=>(const StorePosition &, const StorePosition &) = default;

    // Returns a number that orders positions as they are ordered: the era in the high bits. In era
    // 0 it is the revision.
    constexpr std::uint64_t packed() const { return this->era << revisionBits | this->revision; }

    static constexpr StorePosition unpacked(std::uint64_t number)
    {
        return { number >> revisionBits, number & maxRevision };
    }

    // Returns "era/revision", or the revision alone in era 0.
    std::string toString() const
    {
        const std::string text = std::to_string(this->revision);
        return this->era == 0 ? text : std::to_string(this->era) + "/" + text;
    }
};

} // namespace quetzal
