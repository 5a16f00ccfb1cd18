// Messages by which one host has another gather some parts of a request. Encoded with cereal;
// fields are added at the end only.
#pragma once

#include "quetzal/fault.h"
#include "quetzal/ids.h"
#include "version/codec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal {

// Parts of a request that the receiver is to gather. Times are what is left of them.
struct RelayQuery
{
    std::uint64_t number = 0;
    std::string route;
    // One part of each is wanted. They are named, as the receiver may have other tables in force.
    std::vector<std::string> pools;
    std::string method;
    std::string target;
    std::string requestId;
    std::string forwardedFields;
    std::string body;
    double targetMs = 0;
    double deadlineMs = 0;
    // Parts that the whole answer may lack.
    std::uint16_t maxMissing = 0;
    // Records in the merged answer.
    std::uint32_t resultSize = 0;
    // Searchers that the request may be sent to, for each pool.
    std::uint32_t maxAttempts = 1;
    // For each pool the keys of the searchers that may get the request; empty if all may.
    std::vector<std::vector<std::uint32_t>> allowedSearchers;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->number, this->route, this->pools, this->method, this->target, this->requestId,
                this->forwardedFields, this->body, this->targetMs, this->deadlineMs,
                this->maxMissing, this->resultSize, this->maxAttempts, this->allowedSearchers);
    }
};

// What was gathered.
struct RelayAnswer
{
    std::uint64_t number = 0;
    // None if the receiver took the request.
    Fault refused = Fault::None;
    // A seal for each of the pools that were named; empty where the part is missing.
    std::vector<std::string> seals;
    // The merged records of the parts.
    std::string records;
    // True if some searcher ran the request or may have run it.
    bool mayHaveRun = false;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->number, this->refused, this->seals, this->records, this->mayHaveRun);
    }
};

// Withdraws a relayed request.
struct RelayCancel
{
    std::uint64_t number = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->number);
    }
};

// What a message between gateways holds.
enum class RelayMessageKind : std::uint8_t { Query, Answer, Cancel };

// Returns the bytes of a message with its kind.
template <typename Message>
std::string encodeRelayMessage(RelayMessageKind kind, const Message &message)
{
    return static_cast<char>(kind) + encode(message);
}

} // namespace quetzal
