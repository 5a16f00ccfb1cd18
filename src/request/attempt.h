// One try of a sub-request on one searcher, as it travels from entry to relay and back.
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

// Names one attempt within one life of one entry host.
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

// What an entry asks of the relay that owns the searcher.
struct Attempt
{
    AttemptId id;
    SearcherId searcher;
    std::uint32_t shard = 0;
    // Zero for a request to a single searcher.
    VersionId version;
    // Time left for the answer to be back at the entry.
    Millis budget;
    bool repeatable = true;
    bool hedge = false;
};

// What a shard answered.
struct ShardAnswer
{
    VersionId version;
    std::uint32_t shard = 0;
    std::uint64_t documents = 0;
    std::vector<Hit> hits;
    // Status and body of a single searcher's answer.
    std::uint32_t status = 0;
    std::string body;
};

// The end of an attempt, as the entry learns it.
struct AttemptResult
{
    AttemptId id;
    Outcome outcome;
    ShardAnswer answer;
    // Time from the relay's send to the searcher's reply.
    Millis serviceTime;
    // What the searcher holds, said together with the refusal of a version it lacks.
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
