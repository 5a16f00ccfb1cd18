#include "version/tablechunks.h"

#include "version/codec.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cstdio>

#include <xxhash.h>

namespace quetzal {

// Approximate number of searchers in a chunk; an edit of one searcher rewrites its chunk.
static constexpr std::size_t searchersPerChunk = 256;
// Larger tables get larger chunks instead of more.
static constexpr std::size_t maxChunks = 1024;

std::string contentHash(const std::string &bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    std::array<char, 33> text = {};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return text.data();
}

// Returns a power of two, so that searchers change chunks only when their number about doubles.
static std::size_t chunkCount(std::size_t searchers)
{
    return std::min(maxChunks, std::bit_ceil(searchers / searchersPerChunk + 1));
}

ChunkMap splitTables(const TableContents &contents)
{
    std::size_t searchers = 0;
    for (const Pool &pool : contents.pools)
        searchers += pool.searchers.size();
    std::vector<TableChunk> searcherChunks(chunkCount(searchers));
    TableChunk headerChunk;
    headerChunk.routes = contents.routes;
    std::sort(headerChunk.routes.begin(), headerChunk.routes.end(),
              [](const Route &a, const Route &b) { return a.name < b.name; });
    for (const Pool &pool : contents.pools) {
        headerChunk.pools.push_back({ pool.name, pool.shards });
        for (const Searcher &searcher : pool.searchers)
            searcherChunks[stableHash(searcher.address) % searcherChunks.size()]
                    .searchers.push_back(searcher);
    }
    std::sort(headerChunk.pools.begin(), headerChunk.pools.end(),
              [](const PoolHeader &a, const PoolHeader &b) { return a.name < b.name; });
    ChunkMap chunks;
    std::string headerBytes = encode(headerChunk);
    chunks.emplace(contentHash(headerBytes), std::move(headerBytes));
    for (TableChunk &searcherChunk : searcherChunks) {
        std::sort(searcherChunk.searchers.begin(), searcherChunk.searchers.end(),
                  [](const Searcher &a, const Searcher &b) { return a.address < b.address; });
        if (searcherChunk.searchers.empty())
            continue;
        std::string bytes = encode(searcherChunk);
        chunks.emplace(contentHash(bytes), std::move(bytes));
    }
    return chunks;
}

std::optional<TableContents> joinTables(const Manifest &manifest, const ChunkMap &chunks)
{
    TableContents contents;
    contents.zones = manifest.zones;
    std::vector<Searcher> searchers;
    for (const std::string &hash : manifest.chunks) {
        const auto found = chunks.find(hash);
        if (found == chunks.end() || contentHash(found->second) != hash)
            return std::nullopt;
        const auto chunk = decode<TableChunk>(found->second);
        if (!chunk)
            return std::nullopt;
        contents.routes.insert(contents.routes.end(), chunk->routes.begin(), chunk->routes.end());
        for (const PoolHeader &header : chunk->pools)
            contents.pools.push_back({ header.name, header.shards, {} });
        searchers.insert(searchers.end(), chunk->searchers.begin(), chunk->searchers.end());
    }
    std::sort(searchers.begin(), searchers.end(), [](const Searcher &a, const Searcher &b) {
        return std::tie(a.pool, a.shard, a.address) < std::tie(b.pool, b.shard, b.address);
    });
    for (Searcher &searcher : searchers) {
        const auto pool = std::find_if(contents.pools.begin(), contents.pools.end(),
                                       [&](const Pool &p) { return p.name == searcher.pool; });
        if (pool == contents.pools.end())
            return std::nullopt;
        pool->searchers.push_back(std::move(searcher));
    }
    return contents;
}

} // namespace quetzal
