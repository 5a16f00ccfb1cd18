#include "connection/frame.h"

#include "version/codec.h"

#include <algorithm>

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

namespace quetzal {

// The letters "QZ", the protocol version, the frame kind and the key's number.
static constexpr std::size_t headerBytes = 5;
// The signature is a truncated HMAC-SHA-256.
static constexpr std::size_t signatureBytes = 16;
static constexpr char protocolVersion = 1;

static_assert(headerBytes + signatureBytes == KeyRing::overheadBytes);

namespace {

// SHA-256 with the size constants that Poco::HMACEngine requires of its hash.
class Sha256 : public Poco::SHA2Engine
{
public:
    enum { BLOCK_SIZE = 64, DIGEST_SIZE = 32 }; // NOLINT(readability-identifier-naming)
};

} // namespace

std::string KeyRing::signature(const SharedKey &key, std::string_view header, std::string_view body)
{
    Poco::HMACEngine<Sha256> engine(key.secret);
    engine.update(header.data(), header.size());
    engine.update(body.data(), body.size());
    const Poco::DigestEngine::Digest &digest = engine.digest();
    return { digest.begin(), digest.begin() + signatureBytes };
}

std::string KeyRing::sign(FrameKind kind, std::string_view body) const
{
    std::string frame = { 'Q', 'Z', protocolVersion, static_cast<char>(kind),
                          static_cast<char>(this->keys.front().number) };
    frame += signature(this->keys.front(), frame, body);
    frame += body;
    return frame;
}

// Compares in a time that does not depend on the content, against timing attacks.
static bool equalInConstantTime(std::string_view a, std::string_view b)
{
    unsigned difference = a.size() == b.size() ? 0 : 1;
    for (std::size_t i = 0; i < std::min(a.size(), b.size()); ++i)
        difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    return difference == 0;
}

std::optional<KeyRing::VerifiedFrame> KeyRing::verify(std::string_view frame) const
{
    if (frame.size() < overheadBytes || frame[0] != 'Q' || frame[1] != 'Z'
        || frame[2] != protocolVersion)
        return std::nullopt;
    const auto kind = static_cast<FrameKind>(frame[3]);
    if (kind != FrameKind::Heartbeat && kind != FrameKind::Channel)
        return std::nullopt;
    const auto number = static_cast<std::uint8_t>(frame[4]);
    const auto key = std::find_if(this->keys.begin(), this->keys.end(),
                                  [number](const SharedKey &k) { return k.number == number; });
    if (key == this->keys.end())
        return std::nullopt;
    const std::string_view body = frame.substr(overheadBytes);
    const std::string expected = signature(*key, frame.substr(0, headerBytes), body);
    if (!equalInConstantTime(expected, frame.substr(headerBytes, signatureBytes)))
        return std::nullopt;
    return VerifiedFrame{ kind, std::string(body) };
}

std::string encodeDatagram(const ChannelDatagram &datagram)
{
    return encode(std::pair(datagram.header, datagram.payload));
}

std::optional<ChannelDatagram> decodeDatagram(const std::string &body)
{
    auto pair = decode<std::pair<ChannelHeader, std::string>>(body);
    if (!pair)
        return std::nullopt;
    return ChannelDatagram{ pair->first, std::move(pair->second) };
}

} // namespace quetzal
