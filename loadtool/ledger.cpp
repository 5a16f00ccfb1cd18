#include "loadtool/ledger.h"

#include "request/merge.h"
#include "standins/syntheticindex.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace quetzal {

// The columns are those written by the searchers' stand-in: request id, attempt, searcher, version,
// shard, start, end, cancelled, expired, after drain.
std::vector<LedgerLine> parseLedger(const std::string &text)
{
    std::vector<LedgerLine> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        std::vector<std::string> fields;
        std::istringstream columns(line);
        for (std::string field; std::getline(columns, field, '\t');)
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

// The runs of one request, over all searchers.
struct RequestRuns
{
    std::uint32_t count = 0;
    // Version and shard of each run that finished.
    std::set<std::pair<VersionId, std::uint32_t>> finished;
};

} // namespace

// Returns whether the hits are the best ones of the answered shards in the stated version.
static bool hitsAreCorrect(const CallerAnswer &answer, const SyntheticIndex &index)
{
    std::vector<std::vector<Hit>> lists;
    const std::size_t limit = answer.hits.size();
    for (std::uint32_t shard = 0; shard < answer.shardsTotal; ++shard) {
        const bool isMissing
                = std::find(answer.missingShards.begin(), answer.missingShards.end(), shard)
                  != answer.missingShards.end();
        if (!isMissing)
            lists.push_back(index.search(answer.query, answer.version, answer.shardsTotal, shard,
                                         std::max<std::size_t>(limit, 1)));
    }
    const std::vector<Hit> expected = mergeHits(std::move(lists), limit);
    if (expected.size() != limit)
        return false;
    for (std::size_t i = 0; i < limit; ++i) {
        if (expected[i].id != answer.hits[i].id)
            return false;
    }
    return true;
}

// Returns whether the stated coverage matches the shards that are missing from the answer.
static bool coverageIsCorrect(const CallerAnswer &answer, const SyntheticIndex &index)
{
    std::uint64_t answered = index.totalDocuments();
    for (const std::uint32_t shard : answer.missingShards)
        answered -= index.documentsInShard(answer.shardsTotal, shard);
    const bool totalIsCorrect
            = answer.documentsTotal < 0
              || answer.documentsTotal == static_cast<std::int64_t>(index.totalDocuments());
    return totalIsCorrect && answered == answer.documentsAnswered
           && answer.shardsAnswered + answer.missingShards.size() == answer.shardsTotal;
}

// Checks that an answered search was run in a single version, and its hits and coverage.
static void checkSearch(const CallerAnswer &answer, const RequestRuns &runs,
                        const SyntheticIndex &index, ViolationCounts &counts)
{
    std::uint32_t finished = 0;
    for (const auto &[version, shard] : runs.finished)
        finished += version == answer.version ? 1 : 0;
    if (finished < answer.shardsAnswered)
        counts.mixedVersion += 1;
    if (answer.shardsAnswered > 0 && !hitsAreCorrect(answer, index))
        counts.mixedVersion += 1;
    if (!coverageIsCorrect(answer, index))
        counts.wrongCoverage += 1;
}

ViolationCounts countViolations(const std::vector<CallerAnswer> &answers,
                                const std::vector<LedgerLine> &ledger, std::uint64_t documents)
{
    const SyntheticIndex index(documents);
    ViolationCounts counts;
    std::unordered_map<std::string, RequestRuns> runs;
    for (const LedgerLine &line : ledger) {
        RequestRuns &entry = runs[line.requestId];
        entry.count += 1;
        if (line.finished)
            entry.finished.insert({ line.version, line.shard });
        counts.afterDrain += line.afterDrain ? 1 : 0;
    }
    std::set<std::string> checkedIds;
    for (const CallerAnswer &answer : answers) {
        const auto found = runs.find(answer.requestId);
        const RequestRuns noRuns;
        const RequestRuns &requestRuns = found == runs.end() ? noRuns : found->second;
        if (answer.answered && !answer.replyRequestId.empty()
            && answer.replyRequestId != answer.requestId)
            counts.foreignReply += 1;
        if (answer.answered && answer.verdict == "not-run" && requestRuns.count > 0)
            counts.falseNotRun += 1;
        const bool isFirstCheck = !answer.repeatable && checkedIds.insert(answer.requestId).second;
        if (isFirstCheck && requestRuns.count > 1)
            counts.ranTwice += 1;
        if (answer.answered && answer.isSearch && answer.verdict == "ran")
            checkSearch(answer, requestRuns, index, counts);
    }
    return counts;
}

} // namespace quetzal
