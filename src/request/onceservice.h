// Carries requests that may not be repeated to the owner of their id, and keeps its memory.
#pragma once

#include "process/eventloop.h"
#include "process/ownership.h"
#include "request/answerwriter.h"
#include "request/oncemessages.h"
#include "request/onceregistry.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzal {

// What the service needs of its host.
struct OnceHooks
{
    std::function<void(HostId to, OnceMessage message)> send;
    // Runs a forwarded request and calls done with its answer.
    std::function<void(const OnceMessage &forward, std::function<void(const HttpAnswer &)> done)>
            run;
};

// The part of one entry loop in at-most-once requests. Used on its loop's thread only.
class OnceService
{
public:
    OnceService(EventLoop &loop, HostId self, std::uint64_t loopIndex, OnceHooks hooks);

    // Hands a caller's request to the owner of its id.
    void forward(const std::shared_ptr<HttpExchange> &exchange, OnceMessage message);

    // A message from a host, this one included. stale: it may have waited during a pause.
    void onMessage(HostId from, const OnceMessage &message, bool stale);

    // The hosts changed: records go to the hosts that should have them now.
    void onOwnershipChanged(const Ownership &ownership);

    // A host died or does not answer: what was handed to it may have run.
    void onHostLost(HostId host);

    // Returns the requests that wait for an answer or run here.
    std::size_t openRequests() const { return this->pending.size() + this->owned.size(); }

private:
    // A caller's request at its entry.
    struct PendingRequest
    {
        std::shared_ptr<HttpExchange> exchange;
        std::string requestId;
        HostId owner;
        TimerId timer = 0;
    };

    // Who is to be told the answer.
    struct Waiter
    {
        HostId host;
        std::uint64_t loop = 0;
        std::uint64_t token = 0;
    };

    // A request at the owner of its id.
    struct OwnedRequest
    {
        OnceMessage forwardMessage;
        std::vector<Waiter> waiters;
        std::vector<HostId> claimHosts;
        std::uint64_t claimId = 0;
        Millis arrivedAt;
        TimerId timer = 0;
    };

    void onForward(HostId from, const OnceMessage &message, bool stale);
    void onAnswer(const OnceMessage &message);
    void onClaim(HostId from, const OnceMessage &message);
    void applyDecision(const std::string &key, OnceDecision decision);
    void runRequest(const std::string &key);
    void finishRequest(const std::string &key, const HttpAnswer &answer);
    void answerWaiters(const std::string &key, const OnceAnswer &answer);
    void sendAnswer(const Waiter &waiter, const OnceAnswer &answer);
    void answerCaller(std::uint64_t token, const OnceAnswer &answer);
    std::vector<HostId> replicasFor(const std::string &key) const;
    OnceAnswer recordedAnswer(const std::string &key) const;
    void sweep();

    EventLoop &loop;
    HostId self;
    std::uint64_t loopIndex;
    OnceHooks hooks;
    OnceRegistry registry;
    Ownership ownership;
    std::unordered_map<std::uint64_t, PendingRequest> pending;
    std::map<std::string, OwnedRequest> owned;
    std::uint64_t lastToken = 0;
    std::uint64_t lastClaimNumber;
};

} // namespace quetzal
