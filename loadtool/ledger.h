// Reads the searchers' execution ledger and checks callers' answers against it.
#pragma once

#include "quetzal/ids.h"
#include "quetzal/millis.h"
#include "request/hit.h"
#include "standins/violationcounts.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzal {

// One run of a request on a searcher.
struct LedgerLine
{
    std::string requestId;
    VersionId version;
    std::uint32_t shard = 0;
    bool finished = false;
    bool cancelled = false;
    // Started after the deadline of the request.
    bool expired = false;
    // Started later than is allowed after the searcher began to drain.
    bool afterDrain = false;
};

// Parses the tab-separated ledger of the searchers' stand-in. Skips lines with another number of
// fields.
std::vector<LedgerLine> parseLedger(const std::string &text);

// A request and its answer, as the caller saw them.
struct CallerAnswer
{
    std::string requestId;
    std::string query;
    // Whether the request may run more than once.
    bool repeatable = true;
    // Whether the request is a search over all shards of a pool.
    bool isSearch = true;
    // Whether a response arrived.
    bool answered = false;
    int status = 0;
    // Verdict that the response states: "ran", "not-run" or "may-have-run"; "unreadable" if its
    // body cannot be parsed.
    std::string verdict;
    // Request id that the response states: in the body of a search, else in the header.
    std::string replyRequestId;
    VersionId version;
    std::uint32_t shardsAnswered = 0;
    std::uint32_t shardsTotal = 0;
    std::uint64_t documentsAnswered = 0;
    // Negative if unknown.
    std::int64_t documentsTotal = -1;
    // Shards without a reply.
    std::vector<std::uint32_t> missingShards;
    std::vector<Hit> hits;
    // Planned arrival time; latency counts from it, so that a late send is not hidden.
    Millis sentAt;
    Millis latency;
    // Service time of the slowest shard in ms, or negative if unknown.
    double slowestServiceMs = -1;
};

// Checks every answer against the ledger and against the correct hits, computed from the synthetic
// index. Returns the number of violations of each guarantee.
ViolationCounts countViolations(const std::vector<CallerAnswer> &answers,
                                const std::vector<LedgerLine> &ledger, std::uint64_t documents);

} // namespace quetzal
