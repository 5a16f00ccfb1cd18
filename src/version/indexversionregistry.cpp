#include "version/indexversionregistry.h"

#include <algorithm>

namespace quetzal {

// No index has more partitions; a holding with a larger number is invalid input.
static constexpr std::uint32_t maxPartitions = 100'000;

std::uint32_t VersionLayout::coveredShards() const
{
    const auto covered = std::count_if(this->shards.begin(), this->shards.end(),
                                       [](const ShardLayout &s) { return !s.searchers.empty(); });
    return static_cast<std::uint32_t>(covered);
}

std::optional<std::uint64_t> VersionLayout::totalDocuments() const
{
    std::uint64_t total = 0;
    for (const ShardLayout &shard : this->shards) {
        if (!shard.documents)
            return std::nullopt;
        total += *shard.documents;
    }
    return total;
}

void IndexVersionRegistry::setMembers(const std::vector<SearcherId> &members)
{
    this->members = { members.begin(), members.end() };
    std::erase_if(this->reports,
                  [this](const auto &entry) { return !this->members.contains(entry.first); });
    std::erase_if(this->draining, [this](SearcherId id) { return !this->members.contains(id); });
    this->stale = true;
}

bool IndexVersionRegistry::report(SearcherId searcher, const std::vector<Holding> &holdings)
{
    if (!this->members.contains(searcher))
        return false;
    std::vector<Holding> &known = this->reports[searcher];
    if (known == holdings)
        return false;
    known = holdings;
    this->stale = true;
    return true;
}

bool IndexVersionRegistry::setDraining(SearcherId searcher, bool draining)
{
    const bool changed = draining ? this->draining.insert(searcher).second
                                  : this->draining.erase(searcher) > 0;
    this->stale = this->stale || changed;
    return changed;
}

std::shared_ptr<const VersionLayout> IndexVersionRegistry::layout(VersionId version)
{
    this->rebuildIfStale();
    const auto found = this->layouts.find(version);
    if (found == this->layouts.end() || this->conflicting.contains(version))
        return nullptr;
    if (found->second->coveredShards() == 0)
        return nullptr;
    return found->second;
}

std::shared_ptr<const VersionLayout> IndexVersionRegistry::chooseLayout()
{
    this->rebuildIfStale();
    return this->chosenLayout;
}

std::shared_ptr<const VersionLayout> IndexVersionRegistry::singleShardLayout()
{
    this->rebuildIfStale();
    return this->allSearchers;
}

std::vector<VersionId> IndexVersionRegistry::conflictingVersions()
{
    this->rebuildIfStale();
    return { this->conflicting.begin(), this->conflicting.end() };
}

// Returns the layout with the largest share of covered shards, the newest among equals, or null.
static std::shared_ptr<const VersionLayout>
bestLayout(const std::map<VersionId, std::shared_ptr<VersionLayout>> &layouts,
           const std::unordered_set<VersionId> &conflicting)
{
    std::shared_ptr<const VersionLayout> best;
    double bestShare = 0;
    for (auto entry = layouts.rbegin(); entry != layouts.rend(); ++entry) {
        if (conflicting.contains(entry->first))
            continue;
        const VersionLayout &layout = *entry->second;
        const double share = static_cast<double>(layout.coveredShards())
                             / static_cast<double>(layout.shards.size());
        // Versions come newest first, so an older one is chosen only if it covers a larger share.
        if (share > bestShare) {
            best = entry->second;
            bestShare = share;
        }
    }
    return best;
}

void IndexVersionRegistry::rebuildIfStale()
{
    if (!this->stale)
        return;
    this->stale = false;
    this->layouts.clear();
    this->conflicting.clear();
    for (const auto &[searcher, holdings] : this->reports) {
        for (const Holding &holding : holdings)
            this->addHolding(searcher, holding);
    }
    for (auto &[version, layout] : this->layouts) {
        for (ShardLayout &shard : layout->shards)
            std::sort(shard.searchers.begin(), shard.searchers.end());
    }
    auto singleShard = std::make_shared<VersionLayout>();
    singleShard->shards.resize(1);
    singleShard->shards[0].documents = 0;
    for (const SearcherId searcher : this->members) {
        if (!this->draining.contains(searcher))
            singleShard->shards[0].searchers.push_back(searcher);
    }
    std::sort(singleShard->shards[0].searchers.begin(), singleShard->shards[0].searchers.end());
    this->allSearchers = singleShard;
    this->chosenLayout = bestLayout(this->layouts, this->conflicting);
}

void IndexVersionRegistry::addHolding(SearcherId searcher, const Holding &holding)
{
    const bool isValid = holding.partitions > 0 && holding.partitions <= maxPartitions
                         && holding.shard < holding.partitions;
    if (!isValid)
        return;
    std::shared_ptr<VersionLayout> &layout = this->layouts[holding.version];
    if (!layout) {
        layout = std::make_shared<VersionLayout>();
        layout->version = holding.version;
        layout->shards.resize(holding.partitions);
    }
    if (layout->shards.size() != holding.partitions) {
        this->conflicting.insert(holding.version);
        return;
    }
    ShardLayout &shard = layout->shards[holding.shard];
    if (shard.documents && *shard.documents != holding.documents)
        this->conflicting.insert(holding.version);
    shard.documents = holding.documents;
    if (!this->draining.contains(searcher))
        shard.searchers.push_back(searcher);
}

} // namespace quetzal
