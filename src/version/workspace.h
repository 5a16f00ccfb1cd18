// Workspaces: groups of callers that share keys, a priority and an allowance.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

// SHA-256 digest of a caller's key. Tables and messages hold only digests, so that no key leaves
// the host that received it.
using KeyDigest = std::array<std::uint8_t, 32>;

KeyDigest digestOfKey(std::string_view key);

// Callers that share keys, a priority and an allowance.
struct Workspace
{
    std::string name;
    std::vector<KeyDigest> keys;
    // Order of precedence, before that of routes; 0 comes first.
    std::uint32_t rank = 0;
    // Requests a second, and requests at once beyond them, that all hosts together accept; a rate
    // of 0 means no limit.
    double allowedRate = 0;
    double allowedBurst = 0;

    friend bool operator==(const Workspace &, const Workspace &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->keys, this->rank, this->allowedRate, this->allowedBurst);
    }
};

// Returns true if a name can be sent in a header field: printable ASCII without blanks.
bool isValidWorkspaceName(std::string_view name);

// Removes keys that an earlier workspace has too. Returns a text about each.
std::vector<std::string> removeDuplicateKeys(std::vector<Workspace> &workspaces);

} // namespace quetzal
