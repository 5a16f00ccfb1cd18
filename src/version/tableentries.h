// The tables as single entries, for comparing and merging edits.
#pragma once

#include "version/tablesyaml.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

// How one entry differs between two tables.
enum class EntryDifference { Added, Changed, Removed };

struct EntryChange
{
    // "route NAME", "pool NAME", "searcher ADDRESS" or "zone NAME".
    std::string entry;
    EntryDifference difference = EntryDifference::Changed;
};

// Both tables taken apart into entries that can be compared and merged one by one.
class TableEntries
{
public:
    explicit TableEntries(const TableContents &contents);
    TableEntries() = default;

    // Returns the whole tables.
    TableContents contents() const;

    // Returns what changed from this to the other.
    std::vector<EntryChange> differences(const TableEntries &other) const;

    // Applies to theirs what changed from base to ours. Entries that both changed in different
    // ways are left as theirs and named in conflicts.
    static TableEntries merge(const TableEntries &base, const TableEntries &ours,
                              const TableEntries &theirs, std::vector<std::string> &conflicts);

    friend bool operator==(const TableEntries &, const TableEntries &) = default;

private:
    std::optional<std::string> find(const std::string &entry) const;

    // Encoded entries by name.
    std::map<std::string, std::string> entries;
};

} // namespace quetzal
