// The outermost layer of a datagram or TCP message between our hosts.
#pragma once

#include "connection/channel.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

// The type of a frame's body.
enum class FrameKind : std::uint8_t { Heartbeat, Channel };

// A key that all hosts share. The number identifies the key in a frame during key rotation.
struct SharedKey
{
    std::uint8_t number = 0;
    std::string secret;
};

// The shared keys of a host. The first one signs; frames signed with any of them are accepted.
class KeyRing
{
public:
    explicit KeyRing(std::vector<SharedKey> keys)
        : keys(std::move(keys))
    {}

    // Returns a signed frame with the body.
    std::string sign(FrameKind kind, std::string_view body) const;

    // The content of a frame whose signature is valid.
    struct VerifiedFrame
    {
        FrameKind kind = FrameKind::Heartbeat;
        std::string body;
    };

    // Returns the content of a frame, or nothing if it is malformed or its signature is invalid.
    std::optional<VerifiedFrame> verify(std::string_view frame) const;

    // Size of a frame's header and signature.
    static constexpr std::size_t overheadBytes = 21;

private:
    static std::string signature(const SharedKey &key, std::string_view header,
                                 std::string_view body);

    std::vector<SharedKey> keys;
};

// Encodes a datagram as the body of a channel frame.
std::string encodeDatagram(const ChannelDatagram &datagram);

// Decodes the body of a channel frame. Returns nothing if it is malformed.
std::optional<ChannelDatagram> decodeDatagram(const std::string &body);

} // namespace quetzal
