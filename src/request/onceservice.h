// Runs non-repeatable requests at most once, by forwarding each to the host that owns its id.
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

// Callbacks through which the service sends messages and runs requests.
struct OnceHooks
{
    // Sends a message to a host, which may be this one.
    std::function<void(HostId to, OnceMessage message)> send;
    // Runs a forwarded request on this host and calls done once with its answer.
    std::function<void(const OnceMessage &forward, std::function<void(const HttpAnswer &)> done)>
            run;
};

// At-most-once execution on one event loop: forwards callers' requests to the owners of their ids,
// and runs the requests whose ids this host owns. Used on the loop's thread only.
class OnceService
{
public:
    // self: the id of this host. loopIndex: the index of the event loop, which answers carry back.
    OnceService(EventLoop &loop, HostId self, std::uint64_t loopIndex, OnceHooks hooks);

    // Forwards a caller's request to the owner of its id and responds when the answer arrives.
    void forward(const std::shared_ptr<HttpExchange> &exchange, OnceMessage message);

    // Handles a message from a host, which may be this one. stale: the message may have been queued
    // while this process was paused.
    void onMessage(HostId from, const OnceMessage &message, bool stale);

    // Takes the ownership after a change of hosts and sends records to hosts that became replicas.
    void onOwnershipChanged(const Ownership &ownership);

    // Fails the requests forwarded to a host that died or does not answer; they may have run.
    void onHostLost(HostId host);

    // Returns the number of requests that wait for an answer or run on this loop.
    std::size_t openRequests() const { return this->pending.size() + this->owned.size(); }

private:
    // A caller's request that was forwarded to the owner of its id.
    struct PendingRequest
    {
        std::shared_ptr<HttpExchange> exchange;
        std::string requestId;
        HostId owner;
        TimerId timer = 0;
    };

    // An entry host's request that waits for the answer: host, event loop and number there.
    struct Waiter
    {
        HostId host;
        std::uint64_t loop = 0;
        std::uint64_t token = 0;
    };

    // A request whose id this host owns, from its arrival until its answer is sent.
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
    // Runs the request or answers it, as the registry decided.
    void applyDecision(const std::string &key, OnceDecision decision);
    void runRequest(const std::string &key);
    void finishRequest(const std::string &key, const HttpAnswer &answer);
    void answerWaiters(const std::string &key, const OnceAnswer &answer);
    void sendAnswer(const Waiter &waiter, const OnceAnswer &answer);
    void answerCaller(std::uint64_t token, const OnceAnswer &answer);
    // Returns the other hosts that hold the records of a key, in order of rank.
    std::vector<HostId> replicasFor(const std::string &key) const;
    // Returns the recorded answer, or one that says that the request may have run.
    OnceAnswer recordedAnswer(const std::string &key) const;
    // Drops expired records, periodically.
    void sweep();

    EventLoop &loop;
    HostId self;
    std::uint64_t loopIndex;
    OnceHooks hooks;
    OnceRegistry registry;
    Ownership ownership;
    // By token.
    std::unordered_map<std::uint64_t, PendingRequest> pending;
    // By key.
    std::map<std::string, OwnedRequest> owned;
    std::uint64_t lastToken = 0;
    std::uint64_t lastClaimNumber;
};

} // namespace quetzal
