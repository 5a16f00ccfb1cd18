// Messages by which one host delegates parts of a request to another host, encoded with cereal.
// For compatibility, new fields are added only at the end. Not related to the relay role of
// relayservice.h.
#pragma once

#include "quetzal/fault.h"
#include "quetzal/ids.h"
#include "version/codec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal {

// Delegates parts of a request to the receiver. Times are the remaining times at sending.
struct RelayQuery
{
    // Identifies the relayed request at its sender.
    std::uint64_t number = 0;
    std::string route;
    // Names of the pools; one part is requested from each. Names are used because the receiver may
    // have another revision of the tables.
    std::vector<std::string> pools;
    std::string method;
    std::string target;
    std::string requestId;
    std::string forwardedFields;
    std::string body;
    // Time after which the answer is returned as soon as it has enough parts.
    double targetMs = 0;
    double deadlineMs = 0;
    // Number of parts that may be missing from the answer to the whole request.
    std::uint16_t maxMissing = 0;
    // Maximum number of records in the merged answer.
    std::uint32_t resultSize = 0;
    // Maximum number of searchers per pool that the request is sent to.
    std::uint32_t maxAttempts = 1;
    // For each pool, the keys of the searchers that the request may be sent to; empty if it may be
    // sent to all.
    std::vector<std::vector<std::uint32_t>> allowedSearchers;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->number, this->route, this->pools, this->method, this->target, this->requestId,
                this->forwardedFields, this->body, this->targetMs, this->deadlineMs,
                this->maxMissing, this->resultSize, this->maxAttempts, this->allowedSearchers);
    }
};

// The merged answer of the delegated parts.
struct RelayAnswer
{
    // As in the RelayQuery.
    std::uint64_t number = 0;
    // Why the receiver refused the request; None if it accepted it.
    Fault refused = Fault::None;
    // The seal of each requested pool's reply; empty if the part is missing.
    std::vector<std::string> seals;
    // The merged records of the parts.
    std::string records;
    // True if any searcher ran the request or may have run it.
    bool mayHaveRun = false;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->number, this->refused, this->seals, this->records, this->mayHaveRun);
    }
};

// Cancels a relayed request.
struct RelayCancel
{
    std::uint64_t number = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->number);
    }
};

// The sender's use of a searcher that limits the requests of all hosts together.
struct RelayRateReport
{
    // Registration id of the searcher.
    std::string searcher;
    // False if the searcher no longer limits its requests.
    bool isLimited = false;
    // Requests a second that the searcher accepts.
    double limit = 0;
    // How long ago the searcher stated that.
    double ageMs = 0;
    // Requests a second for which the sender could use the searcher.
    double demand = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->searcher, this->isLimited, this->limit, this->ageMs, this->demand);
    }
};

// Tells the receiver that an incarnation of a searcher is leaving.
struct RelayLeavingReport
{
    // Registration id of the searcher, and the start of its process in Unix milliseconds.
    std::string searcher;
    std::uint64_t startTimeUnixMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->searcher, this->startTimeUnixMs);
    }
};

// The type of a relay message; its first byte. Hosts ignore types that they do not know.
enum class RelayMessageKind : std::uint8_t {
    Query,
    Answer,
    Cancel,
    RateReport,
    LeavingReport,
    // See request/allowancemessages.h.
    UsageReports,
    AllowanceLevels,
};

// Encodes a message after a byte with its type.
template <typename Message>
std::string encodeRelayMessage(RelayMessageKind kind, const Message &message)
{
    return static_cast<char>(kind) + encode(message);
}

} // namespace quetzal
