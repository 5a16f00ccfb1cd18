// Messages between our hosts, encoded with cereal. For compatibility, new fields and enumerators
// are added only at the end.
//
// The entry host of a query is the host that received it from the caller. It sends sub-requests to
// relays, the hosts that own the searchers, and the relays send them to the searchers.
#pragma once

#include "quetzal/fault.h"
#include "request/attempt.h"
#include "version/codec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace quetzal {

// The type of a channel message; its first byte.
enum class MessageKind : std::uint8_t {
    SubRequests,
    SubReplies,
    Cancels,
    SearcherReports,
    TableRequest,
    TableResponse,
    // A OnceMessage, for at-most-once execution.
    Once,
};

// The W3C trace context of a request.
struct TraceContext
{
    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0;
    // Parent of the spans that the receiver creates.
    std::uint64_t span = 0;
    bool sampled = false;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->traceHigh, this->traceLow, this->span, this->sampled);
    }
};

// The part of a caller's request that is forwarded to searchers.
struct ForwardedRequest
{
    std::string requestId;
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    // Maximum number of hits per shard.
    std::uint32_t limit = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->requestId, this->method, this->target, this->contentType, this->body,
                this->limit);
    }
};

// One sub-request of a query.
struct SubRequestItem
{
    // Number of the attempt within the query.
    std::uint32_t ordinal = 0;
    SearcherId searcher;
    std::uint32_t shard = 0;
    // Time left for the answer to arrive at the entry host.
    double budgetMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->ordinal, this->searcher, this->shard, this->budgetMs);
    }
};

// The sub-requests of one query to the searchers of one relay.
struct SubRequests
{
    QueryId query;
    TraceContext trace;
    // Version of the index to search; zero for a request to a single searcher, which is answered
    // without regard to versions and shards.
    VersionId version;
    // The request may run more than once.
    bool repeatable = true;
    ForwardedRequest request;
    std::vector<SubRequestItem> items;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->query, this->trace, this->version, this->repeatable, this->request,
                this->items);
    }
};

// The result of one sub-request; the fields are those of AttemptResult.
struct SubReply
{
    AttemptId attempt;
    Verdict verdict = Verdict::NotRun;
    Fault fault = Fault::None;
    Hop hop = Hop::Relay;
    double serviceMs = 0;
    VersionId version;
    std::uint32_t shard = 0;
    std::uint64_t documents = 0;
    std::vector<Hit> hits;
    std::uint32_t status = 0;
    std::string body;
    std::optional<std::vector<Holding>> holdings;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->attempt, this->verdict, this->fault, this->hop, this->serviceMs,
                this->version, this->shard, this->documents, this->hits, this->status, this->body,
                this->holdings);
    }
};

// Results of sub-requests that one relay sends to one entry host.
struct SubReplies
{
    std::vector<SubReply> replies;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->replies);
    }
};

// Cancels one sub-request.
struct CancelItem
{
    AttemptId attempt;
    SearcherId searcher;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->attempt, this->searcher);
    }
};

// Cancels sub-requests to the searchers of one relay.
struct Cancels
{
    std::vector<CancelItem> items;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->items);
    }
};

// The state of a searcher as the relay that owns it last received it.
struct SearcherReport
{
    SearcherId searcher;
    // The shards and versions that the searcher serves.
    std::vector<Holding> holdings;
    // True if the searcher announced that it is draining.
    bool draining = false;

    friend bool operator==(const SearcherReport &, const SearcherReport &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->searcher, this->holdings, this->draining);
    }
};

// Reports that a relay sends to other hosts.
struct SearcherReports
{
    std::vector<SearcherReport> reports;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->reports);
    }
};

// Requests the manifest of a peer's tables, or chunks of them.
struct TableRequest
{
    bool manifest = false;
    // Content hashes of the chunks.
    std::vector<std::string> chunks;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->manifest, this->chunks);
    }
};

// A chunk of the tables with its content hash.
struct NamedChunk
{
    std::string hash;
    std::string bytes;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->hash, this->bytes);
    }
};

// The response to a TableRequest.
struct TableResponse
{
    // Empty if it was not requested or there is none.
    std::string manifest;
    std::vector<NamedChunk> chunks;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->manifest, this->chunks);
    }
};

// Converts the result of an attempt to its message.
inline SubReply toSubReply(const AttemptResult &result)
{
    SubReply reply;
    reply.attempt = result.id;
    reply.verdict = result.outcome.verdict;
    reply.fault = static_cast<Fault>(result.outcome.code.value());
    reply.hop = result.outcome.hop;
    reply.serviceMs = result.serviceTime.count();
    reply.version = result.answer.version;
    reply.shard = result.answer.shard;
    reply.documents = result.answer.documents;
    reply.hits = result.answer.hits;
    reply.status = result.answer.status;
    reply.body = result.answer.body;
    reply.holdings = result.holdings;
    return reply;
}

// Converts a message to the result of an attempt.
inline AttemptResult toAttemptResult(SubReply &&reply)
{
    AttemptResult result;
    result.id = reply.attempt;
    result.outcome.verdict = reply.verdict;
    if (reply.fault != Fault::None)
        result.outcome.code = reply.fault;
    result.outcome.hop = reply.hop;
    result.serviceTime = Millis(reply.serviceMs);
    result.answer.version = reply.version;
    result.answer.shard = reply.shard;
    result.answer.documents = reply.documents;
    result.answer.hits = std::move(reply.hits);
    result.answer.status = reply.status;
    result.answer.body = std::move(reply.body);
    result.holdings = std::move(reply.holdings);
    return result;
}

} // namespace quetzal
