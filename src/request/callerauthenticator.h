// Identification of callers by the keys that they send.
#pragma once

#include "version/routingtables.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace quetzal {

// Finds the workspace of a caller, for one revision of the routing tables.
//
// Callers without a valid key are told apart before any work is done for them, so that a flood of
// such requests costs one digest each. Looks keys up by their digests and compares these in
// constant time. Immutable.
class CallerAuthenticator
{
public:
    explicit CallerAuthenticator(std::shared_ptr<const RoutingTables> tables);

    // Returns the workspace that has the key in the values of a request's Authorization fields, or
    // null if there is not exactly one value, of the form "Bearer KEY", with a known key. The
    // result lives as long as the tables.
    const Workspace *identify(const std::vector<std::string> &authorization) const;

    const std::shared_ptr<const RoutingTables> &tables() const { return this->source; }

private:
    struct KnownKey
    {
        KeyDigest digest;
        const Workspace *workspace = nullptr;
    };

    std::shared_ptr<const RoutingTables> source;
    // By the first bytes of the digest.
    std::multimap<std::uint64_t, KnownKey> keys;
};

} // namespace quetzal
