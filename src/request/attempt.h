// One attempt of a sub-request on one searcher, as passed from entry host to relay and back.
#pragma once

#include "quetzal/ids.h"
#include "quetzal/millis.h"
#include "quetzal/verdict.h"
#include "request/hit.h"
#include "request/replicachooser.h"
#include "version/indexversionregistry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

// Identifies an attempt; unique within one incarnation of one entry host.
struct AttemptId
{
    QueryId query;
    std::uint32_t ordinal = 0;

    friend constexpr auto operator<=>(const AttemptId &, const AttemptId &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->query, this->ordinal);
    }
};

// A sub-request that an entry host sends to the relay that owns the searcher.
struct Attempt
{
    AttemptId id;
    SearcherId searcher;
    std::uint32_t shard = 0;
    // Index version to answer from; zero for a request to a single searcher.
    VersionId version;
    // Time remaining until the answer must have reached the entry host.
    Millis budget;
    // The request may run more than once.
    bool repeatable = true;
    bool hedge = false;
};

// A searcher's answer for one shard.
struct ShardAnswer
{
    VersionId version;
    std::uint32_t shard = 0;
    // Number of documents that the shard holds.
    std::uint64_t documents = 0;
    std::vector<Hit> hits;
    // HTTP status and body, for a request to a single searcher.
    std::uint32_t status = 0;
    std::string body;
};

// The result of an attempt, as reported to the entry host.
struct AttemptResult
{
    AttemptId id;
    Outcome outcome;
    ShardAnswer answer;
    // Time from the relay's sending of the sub-request to the searcher's reply.
    Millis serviceTime;
    // All index shards that the searcher holds; sent along when it refuses a version that it lacks.
    std::optional<std::vector<Holding>> holdings;
};

} // namespace quetzal

template <>
struct std::hash<quetzal::AttemptId>
{
    std::size_t operator()(const quetzal::AttemptId &id) const noexcept
    {
        return std::hash<std::uint64_t>()(id.query.value * 0x9E3779B97F4A7C15ULL + id.ordinal);
    }
};
