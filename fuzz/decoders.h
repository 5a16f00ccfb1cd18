// Decoders of untrusted input, for fuzzing.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal::fuzz {

// The decoders, named after their input. Tables, registrations and pages come from the platform's
// store; table files, searchers file and settings are YAML files.
enum class Decoder {
    CallerRequest,
    SearcherReply,
    StorePage,
    Tables,
    Registration,
    TableFiles,
    SearchersFile,
    Settings,
    Frame,
    Heartbeat,
    RelayQuery,
    RelayAnswer,
    ViewDelta,
    LogLine,
};

// Names in the order of the enumerators.
inline constexpr std::array<std::string_view, 14> decoderNames
        = { "caller-request", "searcher-reply", "store-page", "tables",  "registration",
            "table-files",    "searchers-file", "settings",   "frame",   "heartbeat",
            "relay-query",    "relay-answer",   "view-delta", "log-line" };

// Decodes bytes and discards the result. Must not crash, hang or allocate without bound.
void decodeBytes(Decoder decoder, const std::string &bytes);

// Returns valid sample inputs of a decoder.
std::vector<std::string> sampleInputs(Decoder decoder);

// Decodes randomly mutated samples with every decoder. Returns the number of inputs.
std::uint64_t runRounds(std::uint64_t seed, std::uint64_t rounds);

} // namespace quetzal::fuzz
