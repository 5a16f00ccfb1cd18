#include "loadtool/ledger.h"

#include "request/merge.h"
#include "standins/syntheticindex.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace quetzal {

std::vector<LedgerLine> parseLedger(const std::string &text)
{
    std::vector<LedgerLine> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        std::vector<std::string> fields;
        std::istringstream parts(line);
        for (std::string field; std::getline(parts, field, '\t');)
            fields.push_back(field);
        static constexpr std::size_t fieldCount = 10;
        if (fields.size() != fieldCount)
            continue;
        LedgerLine entry;
        entry.requestId = fields[0];
        entry.version = { std::stoull(fields[3]) };
        entry.shard = static_cast<std::uint32_t>(std::stoul(fields[4]));
        entry.cancelled = fields[7] == "1";
        entry.finished = fields[6] != "0" && !entry.cancelled;
        entry.expired = fields[8] == "1";
        entry.afterDrain = fields[9] == "1";
        lines.push_back(std::move(entry));
    }
    return lines;
}

namespace {

// What the ledger says of one request.
struct Runs
{
    std::uint32_t count = 0;
    std::set<std::pair<VersionId, std::uint32_t>> finished;
};

} // namespace

// True if the hits are the best ones of the answered shards at the stated version.
static bool hitsAreRight(const CallerAnswer &answer, const SyntheticIndex &index)
{
    std::vector<std::vector<Hit>> lists;
    const std::size_t limit = answer.hits.size();
    for (std::uint32_t shard = 0; shard < answer.shardsTotal; ++shard) {
        const bool isMissing = std::find(answer.missing.begin(), answer.missing.end(), shard)
                               != answer.missing.end();
        if (!isMissing)
            lists.push_back(index.search(answer.query, answer.version, answer.shardsTotal, shard,
                                         std::max<std::size_t>(limit, 1)));
    }
    const std::vector<Hit> right = mergeHits(std::move(lists), limit);
    if (right.size() != limit)
        return false;
    for (std::size_t i = 0; i < limit; ++i) {
        if (right[i].id != answer.hits[i].id)
            return false;
    }
    return true;
}

static bool coverageIsTrue(const CallerAnswer &answer, const SyntheticIndex &index)
{
    std::uint64_t answered = index.total();
    for (const std::uint32_t shard : answer.missing)
        answered -= index.documentsOf(answer.shardsTotal, shard);
    const bool total = answer.documentsTotal < 0
                       || answer.documentsTotal == static_cast<std::int64_t>(index.total());
    return total && answered == answer.documentsAnswered
           && answer.shardsAnswered + answer.missing.size() == answer.shardsTotal;
}

static void checkSearch(const CallerAnswer &answer, const Runs &runs, const SyntheticIndex &index,
                        PromiseCounts &counts)
{
    std::uint32_t finished = 0;
    for (const auto &[version, shard] : runs.finished)
        finished += version == answer.version ? 1 : 0;
    if (finished < answer.shardsAnswered)
        counts.snapshot += 1;
    if (answer.shardsAnswered > 0 && !hitsAreRight(answer, index))
        counts.snapshot += 1;
    if (!coverageIsTrue(answer, index))
        counts.coverage += 1;
}

PromiseCounts checkPromises(const std::vector<CallerAnswer> &answers,
                            const std::vector<LedgerLine> &ledger, std::uint64_t documents)
{
    const SyntheticIndex index(documents);
    PromiseCounts counts;
    std::unordered_map<std::string, Runs> runs;
    for (const LedgerLine &line : ledger) {
        Runs &entry = runs[line.requestId];
        entry.count += 1;
        if (line.finished)
            entry.finished.insert({ line.version, line.shard });
        counts.afterDrain += line.afterDrain ? 1 : 0;
    }
    std::set<std::string> checkedOnce;
    for (const CallerAnswer &answer : answers) {
        const auto found = runs.find(answer.requestId);
        const Runs none;
        const Runs &ran = found == runs.end() ? none : found->second;
        if (answer.answered && !answer.bodyRequestId.empty()
            && answer.bodyRequestId != answer.requestId)
            counts.foreignReply += 1;
        if (answer.answered && answer.verdict == "not-run" && ran.count > 0)
            counts.falseNotRun += 1;
        const bool firstSight = !answer.repeatable && checkedOnce.insert(answer.requestId).second;
        if (firstSight && ran.count > 1)
            counts.ranTwice += 1;
        if (answer.answered && answer.search && answer.verdict == "ran")
            checkSearch(answer, ran, index, counts);
    }
    return counts;
}

} // namespace quetzal
