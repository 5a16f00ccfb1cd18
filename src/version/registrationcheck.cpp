#include "version/registrationcheck.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

#include <Poco/Net/IPAddress.h>

namespace quetzal {

static constexpr std::size_t maxNameBytes = 256;
static constexpr std::uint32_t maxSlots = 1'000'000;
// A searcher is slow after its start for seconds or minutes.
static constexpr Millis maxWarmup = Millis(86'400'000);

// Splits an address at the colon before its port. Returns false if there is none, or if the host is
// an IPv6 number without brackets.
static bool splitAddress(std::string_view text, std::string_view &host, std::string_view &port)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    host = text.substr(0, colon);
    port = text.substr(colon + 1);
    const bool hasBrackets = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (hasBrackets)
        host = host.substr(1, host.size() - 2);
    return hasBrackets == (host.find(':') != std::string_view::npos);
}

std::optional<Poco::Net::SocketAddress> parseNumericAddress(std::string_view text)
{
    std::string_view host;
    std::string_view portText;
    if (!splitAddress(text, host, portText))
        return std::nullopt;
    std::uint16_t port = 0;
    const char *end = portText.data() + portText.size();
    const auto parsed = std::from_chars(portText.data(), end, port);
    Poco::Net::IPAddress address;
    // A percent sign begins the name of an interface, which exists on one machine only.
    if (parsed.ec != std::errc() || parsed.ptr != end || port == 0
        || host.find('%') != std::string_view::npos
        || !Poco::Net::IPAddress::tryParse(std::string(host), address))
        return std::nullopt;
    return Poco::Net::SocketAddress(address, port);
}

// Returns true if a text is neither empty nor very long and has no control characters.
static bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameBytes
           && std::none_of(text.begin(), text.end(), [](char c) {
                  const auto byte = static_cast<unsigned char>(c);
                  return byte < 0x20 || byte == 0x7f;
              });
}

// Returns true for a text of visible ASCII characters other than the quotation mark.
static bool isIdentifier(std::string_view text)
{
    return isName(text) && std::all_of(text.begin(), text.end(), [](char c) {
               const auto byte = static_cast<unsigned char>(c);
               return byte > 0x20 && byte < 0x7f && c != '"';
           });
}

std::string registrationProblem(const SearcherRegistration &registration)
{
    if (registration.state == SearcherState::Gone)
        return {};
    if (registration.state != SearcherState::Ready && registration.state != SearcherState::Draining)
        return "the state is unknown";
    if (!isIdentifier(registration.id))
        return "the id is empty, too long or has characters other than visible ASCII";
    if (!isName(registration.pool))
        return "the pool's name is empty, too long or has control characters";
    if (!registration.zone.empty() && !isName(registration.zone))
        return "the zone's name is too long or has control characters";
    if (!parseNumericAddress(registration.address))
        return "the address is not an IP number and a port";
    if (registration.slots == 0 || registration.slots > maxSlots)
        return "the number of slots is not from 1 to " + std::to_string(maxSlots);
    // Written as a negation so that NaN is refused too.
    if (!(registration.warmup >= Millis() && registration.warmup <= maxWarmup))
        return "the warm-up time is not from 0 ms to a day";
    return {};
}

} // namespace quetzal
