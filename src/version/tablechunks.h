// Stored form of the routing tables: immutable chunks, and one manifest that names them.
#pragma once

#include "version/routingtables.h"
#include "version/tablesyaml.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

// A pool without its searchers, which are in other chunks.
struct PoolHeader
{
    std::string name;
    std::uint32_t shards = 1;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->shards);
    }
};

// A part of the entries of the tables. Which entries share a chunk depends only on their keys and
// on the number of searchers.
struct TableChunk
{
    std::vector<Route> routes;
    std::vector<PoolHeader> pools;
    std::vector<Searcher> searchers;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->routes, this->pools, this->searchers);
    }
};

// Names the chunks of one revision of the tables.
struct Manifest
{
    Revision revision;
    // Random number of this edit, not 0. After a lost reply it shows whether the write of the
    // manifest took effect.
    std::uint64_t changeId = 0;
    // changeId of the previous revision; with that revision's number it is the key of its history
    // entry. 0 if there is none.
    std::uint64_t previousChangeId = 0;
    // Increased by each garbage collection of chunks, so that the manifest changes and concurrent
    // edits start again.
    std::uint64_t gcGeneration = 0;
    std::string author;
    std::string summary;
    std::vector<std::string> zones;
    // Content hashes of the chunks, sorted.
    std::vector<std::string> chunks;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->revision, this->changeId, this->previousChangeId, this->gcGeneration,
                this->author, this->summary, this->zones, this->chunks);
    }
};

// Chunk contents by content hash.
using ChunkMap = std::map<std::string, std::string>;

// Returns the content hash under which a chunk is stored: 32 hexadecimal digits.
std::string contentHash(const std::string &bytes);

// Encodes the tables as chunks.
ChunkMap splitTables(const TableContents &contents);

// Decodes the tables of a manifest. Returns nothing if a chunk is missing, corrupt or malformed, or
// a searcher's pool does not exist.
std::optional<TableContents> joinTables(const Manifest &manifest, const ChunkMap &chunks);

} // namespace quetzal
