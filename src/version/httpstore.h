// A blocking HTTP client of the platform's key-value store, for command-line tools.
#pragma once

#include "quetzal/millis.h"
#include "version/store.h"

#include <optional>
#include <string>
#include <vector>

namespace quetzal {

// Opens a connection for each call. A call without a reply within the timeout returns Unavailable;
// a write may have taken effect nevertheless. A failed list returns no keys.
class HttpStore
{
public:
    // The address is IP number and port.
    HttpStore(std::string address, Millis timeout)
        : address(std::move(address))
        , timeout(timeout)
    {}

    // See the concept Store for these four.
    StoreReply read(const std::string &key);
    StoreReply write(const std::string &key, const std::string &value,
                     std::optional<std::uint64_t> ifVersion);
    StoreReply remove(const std::string &key, std::optional<std::uint64_t> ifVersion);
    std::vector<std::string> list(const std::string &prefix);

private:
    // Sends one request, with If-Match if a version is given.
    StoreReply call(const std::string &method, const std::string &target, const std::string &body,
                    std::optional<std::uint64_t> ifVersion) const;

    std::string address;
    Millis timeout;
};

static_assert(Store<HttpStore>);

} // namespace quetzal
