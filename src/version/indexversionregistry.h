// Registry of the index versions that the searchers of a pool report.
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

// One shard of one index version, as reported by a searcher that holds it.
struct Holding
{
    VersionId version;
    // Number of shards into which the version is partitioned.
    std::uint32_t partitions = 0;
    std::uint32_t shard = 0;
    // Number of documents in the shard.
    std::uint64_t documents = 0;

    friend bool operator==(const Holding &, const Holding &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->version, this->partitions, this->shard, this->documents);
    }
};

// One shard of a version: the usable searchers that hold it, and its number of documents if any
// searcher reported it.
struct ShardLayout
{
    std::vector<SearcherId> searchers;
    std::optional<std::uint64_t> documents;
};

// The shards of one version. Immutable; a query keeps the layout that it started with.
struct VersionLayout
{
    VersionId version;
    std::vector<ShardLayout> shards;

    // Returns the number of shards that at least one usable searcher holds.
    std::uint32_t coveredShards() const;

    // Returns the number of documents in all shards, or nothing if a shard's is not known.
    std::optional<std::uint64_t> totalDocuments() const;
};

// Collects the searchers' holdings and chooses the version for new queries. A searcher is usable if
// it belongs to the pool and is not draining.
//
// A version whose searchers report different numbers of partitions, or of documents in a shard, is
// not used until they agree. Used on one event loop only, without locks.
class IndexVersionRegistry
{
public:
    // Sets the searchers of the pool. Reports of all others are dropped.
    void setMembers(const std::vector<SearcherId> &members);

    // Records the complete holdings of a searcher. Returns true if they changed; ignores searchers
    // outside the pool.
    bool report(SearcherId searcher, const std::vector<Holding> &holdings);

    // Marks a searcher as draining, or as usable again. Returns true if that changed.
    bool setDraining(SearcherId searcher, bool draining);

    bool isDraining(SearcherId searcher) const { return this->draining.contains(searcher); }

    // Returns the layout of a version, or null if it is conflicting or no usable searcher holds it.
    std::shared_ptr<const VersionLayout> layout(VersionId version);

    // Returns the layout of the newest version whose shards are all covered, else of the one with
    // the largest share of covered shards, else null.
    std::shared_ptr<const VersionLayout> chooseLayout();

    // Returns a layout with a single shard that every usable searcher holds, whatever it reports.
    std::shared_ptr<const VersionLayout> singleShardLayout();

    // Returns the versions whose searchers report conflicting holdings.
    std::vector<VersionId> conflictingVersions();

private:
    // Recomputes the layouts if the input changed since the last time.
    void rebuildIfStale();
    // Adds a holding to its version's layout; drops one with invalid numbers.
    void addHolding(SearcherId searcher, const Holding &holding);

    std::unordered_set<SearcherId> members;
    std::unordered_set<SearcherId> draining;
    std::unordered_map<SearcherId, std::vector<Holding>> reports;
    std::map<VersionId, std::shared_ptr<VersionLayout>> layouts;
    std::unordered_set<VersionId> conflicting;
    // What singleShardLayout and chooseLayout return.
    std::shared_ptr<const VersionLayout> allSearchers;
    std::shared_ptr<const VersionLayout> chosenLayout;
    bool stale = true;
};

} // namespace quetzal
