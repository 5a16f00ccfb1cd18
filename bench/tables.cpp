// Two operators edit the tables concurrently while store replies are lost and old chunks are
// garbage collected. The final tables must equal the accepted edits applied in the order of
// revisions.
#include "bench/report.h"
#include "bench/virtual/fakestore.h"
#include "version/tableeditor.h"

#include <map>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::uint64_t, seed, 1, "seed");

namespace quetzal {

namespace {

constexpr int editCount = 1000;
constexpr std::uint32_t searcherCount = 60;

TableContents initialTables()
{
    TableContents contents;
    contents.zones = { "kigali-1" };
    Pool pool;
    pool.name = "shopfront";
    for (std::uint32_t i = 0; i < searcherCount; ++i) {
        Searcher searcher;
        searcher.pool = pool.name;
        searcher.address = "10.0.0." + std::to_string(i + 1) + ":9000";
        searcher.zone = "kigali-1";
        searcher.slots = 1;
        searcher.connectionCap = 25;
        pool.searchers.push_back(searcher);
    }
    contents.pools.push_back(pool);
    return contents;
}

// An accepted edit: the new slot count of one searcher.
struct AcceptedEdit
{
    std::string address;
    std::uint32_t slots = 0;
};

// Reads the tables, changes one searcher and applies the result, with the tables that it read as
// the base of conflict detection.
class Operator
{
public:
    Operator(FakeStore &store, std::uint64_t seed)
        : editor(store, seed)
        , random(seed)
    {}

    // Makes one edit, and records it if it is accepted.
    void edit(std::map<Revision, AcceptedEdit> &accepted)
    {
        StoredManifest stored;
        if (this->editor.readManifest(stored) != StoreStatus::Ok)
            return;
        const auto base = this->editor.readTables(stored.manifest);
        if (!base)
            return;
        TableContents wanted = *base;
        Searcher &searcher = wanted.pools[0].searchers[this->random() % searcherCount];
        searcher.slots = 1 + static_cast<std::uint32_t>(this->random() % 1000);
        const EditResult result = this->editor.apply(wanted, base, { "operator", "" });
        this->conflicts += result.status == EditStatus::Conflict ? 1 : 0;
        this->unavailable += result.status == EditStatus::Unavailable ? 1 : 0;
        if (result.status == EditStatus::Accepted)
            accepted[result.revision] = { searcher.address, searcher.slots };
    }

    // Garbage-collects the chunks that neither the manifest nor the five newest entries of its
    // history use.
    void collectGarbage() { this->editor.collectGarbage(5); }

    int conflicts = 0;
    int unavailable = 0;

private:
    TableEditor<FakeStore> editor;
    std::mt19937_64 random;
};

// Runs both operators until enough edits are accepted. Returns the exit code.
int run(std::uint64_t seed)
{
    FakeStore store(seed);
    TableEditor<FakeStore> first(store, seed);
    first.apply(initialTables(), std::nullopt, { "operator", "first" });
    Operator one(store, seed + 1);
    Operator two(store, seed + 2);
    std::mt19937_64 random(seed + 3);
    std::map<Revision, AcceptedEdit> accepted;
    store.lostReplyFraction = 0.05;
    store.beforeCall = [&] {
        // Runs a whole edit of the second operator between two store calls of the first one.
        if (random() % 8 == 0)
            two.edit(accepted);
        if (random() % 64 == 0)
            two.collectGarbage();
    };
    while (accepted.size() < editCount)
        one.edit(accepted);
    store.beforeCall = nullptr;
    store.lostReplyFraction = 0;
    std::map<std::string, std::uint32_t> expected;
    for (const auto &[revision, edit] : accepted)
        expected[edit.address] = edit.slots;
    StoredManifest stored;
    first.readManifest(stored);
    const auto final = first.readTables(stored.manifest);
    double differences = final ? 0 : 1;
    if (final) {
        for (const Searcher &searcher : final->pools[0].searchers) {
            const auto known = expected.find(searcher.address);
            const std::uint32_t slots = known == expected.end() ? 1 : known->second;
            differences += searcher.slots == slots ? 0 : 1;
        }
    }
    Report report;
    report.addFigure("tables/edits-accepted", static_cast<double>(accepted.size()), "edits");
    report.addFigure("tables/edits-refused", one.conflicts + two.conflicts, "edits");
    report.addFigure("tables/edits-unclear", one.unavailable + two.unavailable, "edits");
    report.addFigure("tables/store-calls-per-edit",
                     static_cast<double>(store.calls) / static_cast<double>(accepted.size()),
                     "calls");
    report.checkAtMost("tables/entries-that-differ", differences, "entries", 0);
    // The initial tables are one revision more.
    const double gap = static_cast<double>(stored.manifest.revision.value)
                       - static_cast<double>(accepted.size()) - 1;
    report.checkAtMost("tables/revisions-without-an-accepted-edit", gap, "revisions", 0);
    return report.print();
}

} // namespace

} // namespace quetzal

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    return quetzal::run(absl::GetFlag(FLAGS_seed));
}
