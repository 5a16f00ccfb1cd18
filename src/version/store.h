// Interface of the platform's key-value store for the binary-encoded routing tables. The JSON
// values that platform/storefeed.h reads have another API and other keys.
#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

// How a call to the store ended.
enum class StoreStatus {
    Ok,
    NotFound,
    // The key's version is not the expected one; nothing changed.
    Conflict,
    // No usable reply; a write may have taken effect.
    Unavailable,
};

// The reply to a call. The version is the store's count of the changes of the key.
struct StoreReply
{
    StoreStatus status = StoreStatus::Unavailable;
    std::string value;
    std::uint64_t version = 0;

    bool ok() const { return this->status == StoreStatus::Ok; }
};

// A blocking client of the store, for tools: reads, writes and removes a key, and lists the keys
// with a prefix. A write or removal with ifVersion happens only if the key has that version; zero
// means that the key must not exist.
template <typename Client>
concept Store
        = requires(Client client, const std::string &text, std::optional<std::uint64_t> ifVersion)
{
    {
        client.read(text)
        } -> std::same_as<StoreReply>;
    {
        client.write(text, text, ifVersion)
        } -> std::same_as<StoreReply>;
    {
        client.remove(text, ifVersion)
        } -> std::same_as<StoreReply>;
    {
        client.list(text)
        } -> std::same_as<std::vector<std::string>>;
};

// Keys of the routing tables: the current manifest, the chunks by content hash, and earlier
// manifests.
inline constexpr const char *manifestKey = "quetzal/manifest";
inline constexpr const char *chunkPrefix = "quetzal/chunk/";
inline constexpr const char *historyPrefix = "quetzal/history/";

} // namespace quetzal
