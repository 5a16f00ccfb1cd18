// Messages between hosts about requests that may not be repeated.
#pragma once

#include "connection/messages.h"
#include "request/onceregistry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

// What a message about such requests says.
enum class OnceMessageKind : std::uint8_t {
    // An entry hands a caller's request to the owner of its id.
    Forward,
    // The owner answers the entry.
    Answer,
    // The owner claims the id at another host.
    Claim,
    // The other host answers the claim.
    ClaimReply,
    // Records for hosts that should have them.
    Records,
    // The request was certainly not run: the claim is void.
    Release,
};

struct OnceMessage
{
    OnceMessageKind kind = OnceMessageKind::Forward;
    std::string key;
    std::uint64_t claimId = 0;
    // Names the caller's request at the entry: its loop and a number.
    std::uint64_t loopIndex = 0;
    std::uint64_t token = 0;
    std::string route;
    ForwardedRequest request;
    double budgetMs = 0;
    bool hasRecord = false;
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
