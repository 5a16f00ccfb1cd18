// The routing tables as a map of entries, to compare and merge edits.
#pragma once

#include "version/tablesyaml.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

// How one entry differs between two versions of the tables.
enum class EntryDifference { Added, Changed, Removed };

// An entry that differs between two versions of the tables.
struct EntryChange
{
    // "route NAME", "pool NAME", "searcher ADDRESS" or "zone NAME".
    std::string entry;
    EntryDifference difference = EntryDifference::Changed;
};

// The routes, pools, searchers and zones of the tables as encoded entries by name.
class TableEntries
{
public:
    explicit TableEntries(const TableContents &contents);
    TableEntries() = default;

    // Returns the entries as tables.
    TableContents contents() const;

    // Returns the changes that lead from this to the other.
    std::vector<EntryChange> differences(const TableEntries &other) const;

    // Three-way merge: applies to theirs the changes from base to ours. An entry that both changed
    // to different values is left as in theirs and named in conflicts.
    static TableEntries merge(const TableEntries &base, const TableEntries &ours,
                              const TableEntries &theirs, std::vector<std::string> &conflicts);

    friend bool operator==(const TableEntries &, const TableEntries &) = default;

private:
    // Returns the encoded entry of that name, or nothing.
    std::optional<std::string> find(const std::string &entry) const;

    // Encoded entries by name.
    std::map<std::string, std::string> entries;
};

} // namespace quetzal
