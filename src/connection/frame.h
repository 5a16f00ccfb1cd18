// The outermost layer of a datagram or stream record between our hosts.
#pragma once

#include "connection/channel.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

// What a frame holds.
enum class FrameKind : std::uint8_t { Heartbeat, Channel };

// A key that hosts share. Numbers tell keys apart while one replaces another.
struct SharedKey
{
    std::uint8_t number = 0;
    std::string secret;
};

// The shared keys of a host: the first one signs, all of them are accepted.
class KeyRing
{
public:
    explicit KeyRing(std::vector<SharedKey> keys)
        : keys(std::move(keys))
    {}

    // Returns a signed frame of the body.
    std::string sign(FrameKind kind, std::string_view body) const;

    // What a sealed frame holds.
    struct VerifiedFrame
    {
        FrameKind kind = FrameKind::Heartbeat;
        std::string body;
    };

    // Returns what a frame holds, or nothing if it is malformed or its signature is wrong.
    std::optional<VerifiedFrame> verify(std::string_view frame) const;

    // Bytes that a frame adds to its body.
    static constexpr std::size_t overheadBytes = 21;

private:
    static std::string signature(const SharedKey &key, std::string_view head,
                                 std::string_view body);

    std::vector<SharedKey> keys;
};

// Returns the body of a channel frame.
std::string encodeDatagram(const ChannelDatagram &datagram);

// Returns the datagram of a channel frame's body, or nothing if it is malformed.
std::optional<ChannelDatagram> decodeDatagram(const std::string &body);

} // namespace quetzal
