// A synthetic index whose correct answers can be computed without the searchers.
#pragma once

#include "quetzal/ids.h"
#include "request/hit.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

// An index of numbered documents. In a version with p partitions, document d is in shard d mod p.
// The score is a hash of the query, the document and the version, so that an answer with hits from
// two versions is detected.
class SyntheticIndex
{
public:
    explicit SyntheticIndex(std::uint64_t documents)
        : documents(documents)
    {}

    std::uint64_t totalDocuments() const { return this->documents; }

    // Returns the number of documents in a shard.
    std::uint64_t documentsInShard(std::uint32_t partitions, std::uint32_t shard) const;

    // Returns the best hits of a shard, best first.
    std::vector<Hit> search(std::string_view query, VersionId version, std::uint32_t partitions,
                            std::uint32_t shard, std::size_t limit) const;

    // Returns the correct score of a document, or -1 for an unknown id.
    double scoreOf(std::string_view query, VersionId version, const std::string &id) const;

    // Returns the shard that holds a document.
    static std::uint32_t shardOf(const std::string &id, std::uint32_t partitions);

private:
    std::uint64_t documents;
};

} // namespace quetzal
