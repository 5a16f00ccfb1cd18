#include "request/callerauthenticator.h"

#include <cstring>

#include <Poco/String.h>

namespace quetzal {

static std::uint64_t prefixOf(const KeyDigest &digest)
{
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, digest.data(), sizeof(prefix));
    return prefix;
}

// Compares all bytes, so that the time does not depend on where the digests differ.
static bool equalInConstantTime(const KeyDigest &a, const KeyDigest &b)
{
    unsigned difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i)
        difference |= static_cast<unsigned>(a[i] ^ b[i]);
    return difference == 0;
}

// Returns the key of an Authorization field, or an empty view.
static std::string_view bearerKey(std::string_view value)
{
    static constexpr std::string_view scheme = "bearer ";
    if (value.size() <= scheme.size()
        || Poco::icompare(std::string(value.substr(0, scheme.size())), std::string(scheme)) != 0)
        return {};
    value.remove_prefix(scheme.size());
    while (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    while (!value.empty() && value.back() == ' ')
        value.remove_suffix(1);
    return value;
}

CallerAuthenticator::CallerAuthenticator(std::shared_ptr<const RoutingTables> tables)
    : source(std::move(tables))
{
    for (const Workspace &workspace : this->source->workspaces) {
        for (const KeyDigest &digest : workspace.keys)
            this->keys.emplace(prefixOf(digest), KnownKey{ digest, &workspace });
    }
}

const Workspace *CallerAuthenticator::identify(const std::vector<std::string> &authorization) const
{
    if (authorization.size() != 1)
        return nullptr;
    const std::string_view key = bearerKey(authorization.front());
    if (key.empty())
        return nullptr;
    const KeyDigest digest = digestOfKey(key);
    const Workspace *found = nullptr;
    const auto [first, last] = this->keys.equal_range(prefixOf(digest));
    for (auto item = first; item != last; ++item) {
        if (equalInConstantTime(item->second.digest, digest))
            found = item->second.workspace;
    }
    return found;
}

} // namespace quetzal
