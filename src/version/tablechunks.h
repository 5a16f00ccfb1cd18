// The tables as the platform's store holds them: immutable chunks and one manifest.
#pragma once

#include "version/routingtables.h"
#include "version/tablesyaml.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

// Name and expected shards of a pool; its searchers are in other chunks.
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

// Some entries of the tables. Which entries share a chunk depends on their keys alone.
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

// The small value that names the chunks of a revision.
struct Manifest
{
    Revision revision;
    // Chosen at random by the editor; tells after a lost reply whether the swap took effect.
    std::uint64_t changeId = 0;
    // The change before this one: with its revision it names an entry of the history.
    std::uint64_t previousChangeId = 0;
    // Raised by each removal of unreferenced chunks, so that slower editors see it.
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

// Splits the tables into chunks.
ChunkMap splitTables(const TableContents &contents);

// Returns the tables of a manifest, or nothing if a chunk is missing, corrupt or malformed.
std::optional<TableContents> joinTables(const Manifest &manifest, const ChunkMap &chunks);

} // namespace quetzal
