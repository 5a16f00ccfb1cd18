// What the searchers of a pool say about the index versions they hold.
#pragma once

#include "quetzal/ids.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace quetzal {

// One shard of one index version on one searcher, in the searcher's own words.
struct Holding
{
    VersionId version;
    // Number of shards into which the version is partitioned.
    std::uint32_t partitions = 0;
    std::uint32_t shard = 0;
    std::uint64_t documents = 0;

    friend bool operator==(const Holding &, const Holding &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->version, this->partitions, this->shard, this->documents);
    }
};

// One shard of a version: who may be asked, and how many documents it has if that was ever said.
struct ShardLayout
{
    std::vector<SearcherId> searchers;
    std::optional<std::uint64_t> documents;
};

// The partition map of one version. Immutable; a query keeps the one it started with.
struct VersionLayout
{
    VersionId version;
    std::vector<ShardLayout> shards;

    // Returns the number of shards that have a usable holder.
    std::uint32_t coveredShards() const;

    // Returns the documents of all shards, or nothing if a shard's count is unknown.
    std::optional<std::uint64_t> totalDocuments() const;
};

// Collects the searchers' holdings and picks the version for new queries.
//
// A version whose searchers disagree about its partitions is unfit until they agree. The book is
// used by one event loop and takes no lock.
class IndexVersionRegistry
{
public:
    // Sets the searchers of the pool. Those left out are forgotten.
    void setMembers(const std::vector<SearcherId> &members);

    // Records the complete holdings of a searcher. Returns true if they changed.
    bool report(SearcherId searcher, const std::vector<Holding> &holdings);

    // Marks a searcher as leaving, or as usable again. Returns true if that changed.
    bool setDraining(SearcherId searcher, bool draining);

    bool isDraining(SearcherId searcher) const { return this->draining.contains(searcher); }

    // Returns the layout of a version, or an empty pointer if nobody usable holds it.
    std::shared_ptr<const VersionLayout> layout(VersionId version);

    // Returns the newest version whose shards are all covered, else the one with the largest
    // share of covered shards, else an empty pointer.
    std::shared_ptr<const VersionLayout> chooseLayout();

    // Returns a layout with one shard that every usable searcher holds.
    std::shared_ptr<const VersionLayout> singleShardLayout();

    // Returns the versions whose searchers disagree about the partitions.
    std::vector<VersionId> conflictingVersions();

private:
    void rebuildIfStale();
    void addHolding(SearcherId searcher, const Holding &holding);

    std::unordered_set<SearcherId> members;
    std::unordered_set<SearcherId> draining;
    std::unordered_map<SearcherId, std::vector<Holding>> reports;
    std::map<VersionId, std::shared_ptr<VersionLayout>> layouts;
    std::unordered_set<VersionId> conflicting;
    std::shared_ptr<const VersionLayout> allSearchers;
    std::shared_ptr<const VersionLayout> chosenLayout;
    bool stale = true;
};

} // namespace quetzal
