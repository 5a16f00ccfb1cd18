// The searchers' ledger, and the checks of callers' answers against it.
#pragma once

#include "quetzal/ids.h"
#include "quetzal/millis.h"
#include "request/hit.h"
#include "standins/promisecounts.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzal {

// One run on a searcher, as the stand-in wrote it.
struct LedgerLine
{
    std::string requestId;
    VersionId version;
    std::uint32_t shard = 0;
    bool finished = false;
    bool cancelled = false;
    bool expired = false;
    bool afterDrain = false;
};

// Reads the stand-ins' ledger.
std::vector<LedgerLine> parseLedger(const std::string &text);

// What a caller was told.
struct CallerAnswer
{
    std::string requestId;
    std::string query;
    bool repeatable = true;
    bool search = true;
    bool answered = false;
    int status = 0;
    std::string verdict;
    std::string bodyRequestId;
    VersionId version;
    std::uint32_t shardsAnswered = 0;
    std::uint32_t shardsTotal = 0;
    std::uint64_t documentsAnswered = 0;
    std::int64_t documentsTotal = -1;
    std::vector<std::uint32_t> missing;
    std::vector<Hit> hits;
    Millis sentAt;
    Millis latency;
    // The slowest shard's time on its searcher, or negative if unknown.
    double serviceMs = -1;
};

// Checks every answer against the ledger and against the index's right answers.
PromiseCounts checkPromises(const std::vector<CallerAnswer> &answers,
                            const std::vector<LedgerLine> &ledger, std::uint64_t documents);

} // namespace quetzal
