// Strongly typed 64-bit identifiers and the hashes that they are made of.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace quetzal {

// A 64-bit identifier of the kind named by Tag.
template <typename Tag>
struct Id
{
    std::uint64_t value = 0;

    friend constexpr auto operator<=>(const Id &, const Id &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->value);
    }
};

// A searcher, by the hash of its address.
using SearcherId = Id<struct SearcherTag>;
// One of our hosts, by the hash of its name or of its heartbeat address.
using HostId = Id<struct HostTag>;
// One run of a process; each restart has a larger number.
using Incarnation = Id<struct IncarnationTag>;
// An index version; a newer version has a larger number.
using VersionId = Id<struct VersionTag>;
// A query, unique within one incarnation of its entry host.
using QueryId = Id<struct QueryTag>;
// A revision of the routing tables; a newer revision has a larger number.
using Revision = Id<struct RevisionTag>;

// Returns the 64-bit xxHash of a text with a seed. The result is the same on every host.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

// Returns the hash of two numbers, used for rendezvous hashing of hosts and keys.
std::uint64_t stableHash(std::uint64_t a, std::uint64_t b);

} // namespace quetzal

template <typename Tag>
struct std::hash<quetzal::Id<Tag>>
{
    std::size_t operator()(const quetzal::Id<Tag> &id) const noexcept
    {
        return std::hash<std::uint64_t>()(id.value);
    }
};
