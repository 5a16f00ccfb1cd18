// Whether a request was executed, and which hop reported it.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>
#include <system_error>

namespace quetzal {

// Whether a request ran on a backend server. NotRun is reported only where it is certain, so that
// the request may safely be sent again.
enum class Verdict { NotRun, Ran, MayHaveRun };

// Names in the order of the enumerators, as written to log lines and responses.
inline constexpr std::array<std::string_view, 3> verdictNames
        = { "not-run", "ran", "may-have-run" };

// The hop that reported a verdict.
enum class Hop { Entry, Relay, Searcher };

// Names in the order of the enumerators.
inline constexpr std::array<std::string_view, 3> hopNames = { "entry", "relay", "searcher" };

// Returns the name of a verdict.
constexpr std::string_view nameOf(Verdict verdict)
{
    return verdictNames[static_cast<std::size_t>(verdict)];
}

// Returns the name of a hop.
constexpr std::string_view nameOf(Hop hop)
{
    return hopNames[static_cast<std::size_t>(hop)];
}

// The result of one attempt. An empty code means that it did not fail.
struct Outcome
{
    Verdict verdict = Verdict::NotRun;
    std::error_code code;
    Hop hop = Hop::Entry;

    // Returns true if the attempt ran and returned a response.
    bool succeeded() const { return this->verdict == Verdict::Ran && !this->code; }
};

} // namespace quetzal
