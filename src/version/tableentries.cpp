#include "version/tableentries.h"

#include "version/codec.h"
#include "version/tablechunks.h"

#include <algorithm>

namespace quetzal {

// Prefixes of entry names.
static constexpr std::string_view routePrefix = "route ";
static constexpr std::string_view poolPrefix = "pool ";
static constexpr std::string_view searcherPrefix = "searcher ";
static constexpr std::string_view zonePrefix = "zone ";

TableEntries::TableEntries(const TableContents &contents)
{
    for (const std::string &zone : contents.zones)
        this->entries[std::string(zonePrefix) + zone] = zone;
    for (const Route &route : contents.routes)
        this->entries[std::string(routePrefix) + route.name] = encode(route);
    for (const Pool &pool : contents.pools) {
        this->entries[std::string(poolPrefix) + pool.name]
                = encode(PoolHeader{ pool.name, pool.shards });
        for (const Searcher &searcher : pool.searchers)
            this->entries[std::string(searcherPrefix) + searcher.address] = encode(searcher);
    }
}

TableContents TableEntries::contents() const
{
    TableContents contents;
    std::map<std::string, Pool> pools;
    for (const auto &[name, bytes] : this->entries) {
        if (name.starts_with(zonePrefix))
            contents.zones.push_back(bytes);
        else if (name.starts_with(routePrefix))
            contents.routes.push_back(decode<Route>(bytes).value_or(Route()));
        else if (name.starts_with(poolPrefix)) {
            const PoolHeader header = decode<PoolHeader>(bytes).value_or(PoolHeader());
            pools[header.name].name = header.name;
            pools[header.name].shards = header.shards;
        } else {
            const Searcher searcher = decode<Searcher>(bytes).value_or(Searcher());
            pools[searcher.pool].searchers.push_back(searcher);
        }
    }
    for (auto &[name, pool] : pools) {
        std::sort(pool.searchers.begin(), pool.searchers.end(),
                  [](const Searcher &a, const Searcher &b) {
                      return std::tie(a.shard, a.address) < std::tie(b.shard, b.address);
                  });
        contents.pools.push_back(std::move(pool));
    }
    return contents;
}

std::optional<std::string> TableEntries::find(const std::string &entry) const
{
    const auto found = this->entries.find(entry);
    if (found == this->entries.end())
        return std::nullopt;
    return found->second;
}

std::vector<EntryChange> TableEntries::differences(const TableEntries &other) const
{
    std::vector<EntryChange> changes;
    for (const auto &[name, bytes] : this->entries) {
        const auto after = other.find(name);
        if (!after)
            changes.push_back({ name, EntryDifference::Removed });
        else if (*after != bytes)
            changes.push_back({ name, EntryDifference::Changed });
    }
    for (const auto &[name, bytes] : other.entries) {
        if (!this->entries.contains(name))
            changes.push_back({ name, EntryDifference::Added });
    }
    return changes;
}

TableEntries TableEntries::merge(const TableEntries &base, const TableEntries &ours,
                                 const TableEntries &theirs, std::vector<std::string> &conflicts)
{
    TableEntries result = theirs;
    for (const EntryChange &change : base.differences(ours)) {
        const auto before = base.find(change.entry);
        const auto wanted = ours.find(change.entry);
        const auto current = theirs.find(change.entry);
        if (current != before && current != wanted) {
            conflicts.push_back(change.entry);
            continue;
        }
        if (wanted)
            result.entries[change.entry] = *wanted;
        else
            result.entries.erase(change.entry);
    }
    return result;
}

} // namespace quetzal
