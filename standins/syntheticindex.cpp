#include "standins/syntheticindex.h"

#include "request/merge.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace quetzal {

static constexpr std::string_view idPrefix = "item-";
// Number of documents in a shard that match a query.
static constexpr std::size_t matchesPerShard = 40;
// Number of distinct scores.
static constexpr double scoreSteps = 1'000'000;

// Returns the number of a document, or nothing if the id is not one of the index.
static std::optional<std::uint64_t> documentNumber(const std::string &id)
{
    std::uint64_t number = 0;
    if (!id.starts_with(idPrefix))
        return std::nullopt;
    const char *begin = id.data() + idPrefix.size();
    const auto [end, error] = std::from_chars(begin, id.data() + id.size(), number);
    if (error != std::errc() || end != id.data() + id.size())
        return std::nullopt;
    return number;
}

// Returns a pseudo-random score in [0, 1).
static double score(std::uint64_t queryHash, VersionId version, std::uint64_t document)
{
    const std::uint64_t hash = stableHash(stableHash(queryHash, version.value), document);
    return static_cast<double>(hash % static_cast<std::uint64_t>(scoreSteps)) / scoreSteps;
}

std::uint64_t SyntheticIndex::documentsInShard(std::uint32_t partitions, std::uint32_t shard) const
{
    const std::uint64_t perShard = this->documents / partitions;
    return perShard + (shard < this->documents % partitions ? 1 : 0);
}

std::vector<Hit> SyntheticIndex::search(std::string_view query, VersionId version,
                                        std::uint32_t partitions, std::uint32_t shard,
                                        std::size_t limit) const
{
    const std::uint64_t queryHash = stableHash(query);
    const std::uint64_t shardDocuments = this->documentsInShard(partitions, shard);
    std::vector<Hit> hits;
    const std::size_t matches = std::min<std::uint64_t>(matchesPerShard, shardDocuments);
    // The matches begin at a document that depends on the query and the shard; each is seven
    // documents after the previous one, modulo the size of the shard.
    for (std::size_t i = 0; i < matches; ++i) {
        const std::uint64_t index = (stableHash(queryHash, shard) + i * 7) % shardDocuments;
        const std::uint64_t document = index * partitions + shard;
        hits.push_back({ std::string(idPrefix) + std::to_string(document),
                         score(queryHash, version, document) });
    }
    std::sort(hits.begin(), hits.end(), ranksBefore);
    if (hits.size() > limit)
        hits.resize(limit);
    return hits;
}

double SyntheticIndex::scoreOf(std::string_view query, VersionId version,
                               const std::string &id) const
{
    const auto document = documentNumber(id);
    if (!document || *document >= this->documents)
        return -1;
    return score(stableHash(query), version, *document);
}

std::uint32_t SyntheticIndex::shardOf(const std::string &id, std::uint32_t partitions)
{
    return static_cast<std::uint32_t>(documentNumber(id).value_or(0) % partitions);
}

} // namespace quetzal
