// Messages between hosts for at-most-once execution of non-repeatable requests.
#pragma once

#include "connection/messages.h"
#include "request/onceregistry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

// The kinds of messages. The numbers are part of the wire format.
enum class OnceMessageKind : std::uint8_t {
    // The entry host forwards a caller's request to the owner of its request id.
    Forward,
    // The owner returns the answer to the entry host.
    Answer,
    // The owner claims the request id at a replica, before it runs the request.
    Claim,
    // The replica replies to a claim.
    ClaimReply,
    // Records that the receiver has to hold as a replica.
    Records,
    // The request was certainly not run: the replica drops the claim.
    Release,
};

// One message. Which fields are set depends on the kind; the order of the fields is the wire
// format.
struct OnceMessage
{
    OnceMessageKind kind = OnceMessageKind::Forward;
    // Route name and request id.
    std::string key;
    // Identifies the claim, so that a late release does not drop a newer claim.
    std::uint64_t claimId = 0;
    // Identify the caller's request at its entry host: index of the event loop and a number on it.
    std::uint64_t loopIndex = 0;
    std::uint64_t token = 0;
    std::string route;
    ForwardedRequest request;
    // Time left until the request's deadline, in milliseconds.
    double budgetMs = 0;
    // In a reply to a claim: the replica already has a record, which is in records.
    bool hasRecord = false;
    // In a reply to a claim: the replica has received all records that it has to hold.
    bool synced = false;
    std::vector<OnceRecord> records;
    OnceAnswer answer;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->kind, this->key, this->claimId, this->loopIndex, this->token, this->route,
                this->request, this->budgetMs, this->hasRecord, this->synced, this->records,
                this->answer);
    }
};

} // namespace quetzal
