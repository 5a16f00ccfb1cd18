// A blocking client of the platform's key-value service, for tools.
#pragma once

#include "quetzal/millis.h"
#include "version/store.h"

#include <optional>
#include <string>
#include <vector>

namespace quetzal {

// Calls the service over HTTP, one connection a call. A call without a reply within the patience
// is Unavailable: a write may have taken effect.
class HttpStore
{
public:
    HttpStore(std::string address, Millis patience)
        : address(std::move(address))
        , timeout(patience)
    {}

    StoreReply read(const std::string &key);
    StoreReply write(const std::string &key, const std::string &value,
                     std::optional<std::uint64_t> ifVersion);
    StoreReply remove(const std::string &key, std::optional<std::uint64_t> ifVersion);
    std::vector<std::string> list(const std::string &prefix);

private:
    StoreReply call(const std::string &method, const std::string &target, const std::string &body,
                    std::optional<std::uint64_t> ifVersion) const;

    std::string address;
    Millis timeout;
};

static_assert(Store<HttpStore>);

} // namespace quetzal
