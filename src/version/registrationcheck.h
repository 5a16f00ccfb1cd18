// Checks what other programs say of a searcher before anything is made from it.
#pragma once

#include "version/searcherdirectory.h"

#include <optional>
#include <string>
#include <string_view>

#include <Poco/Net/SocketAddress.h>

namespace quetzal {

// Parses "1.2.3.4:80" or "[::1]:80", with a port other than 0. Host names are refused, because
// resolving one would block the caller. Never throws.
std::optional<Poco::Net::SocketAddress> parseNumericAddress(std::string_view text);

// Returns why a registration names no searcher to use, or an empty text if it names one.
// Registrations that are Gone name none and have no problem.
//
// Every source of registrations calls it: the platform's store, files and other hosts. The id goes
// into header fields and log lines, so it may not have blanks or control characters.
std::string registrationProblem(const SearcherRegistration &registration);

} // namespace quetzal
