// The connections of this host to one registered searcher.
#pragma once

#include "connection/httpcodec.h"
#include "connection/tcpstream.h"
#include "process/metrics.h"
#include "quetzal/fault.h"
#include "quetzal/verdict.h"
#include "request/attempt.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace quetzal {

// What an owner of links is told. onEnd comes once for each attempt that was submitted, also after
// it was abandoned, unless it was abandoned before it was sent.
struct SearcherLinkCallbacks
{
    std::function<void(const AttemptId &, const Outcome &, SearcherReply &&)> onEnd;
    std::function<void(const LoadReport &)> onLoad;
};

// Sends attempts to one life of a searcher, one at a time on each connection, and tells how they
// ended. Used on its loop's thread only.
class SearcherLink : public std::enable_shared_from_this<SearcherLink>
{
public:
    SearcherLink(EventLoop &loop, Metrics &metrics, const HttpCodec &codec, std::string searcher,
                 const std::string &address, SearcherLinkCallbacks callbacks);
    ~SearcherLink();
    SearcherLink(const SearcherLink &) = delete;
    SearcherLink &operator=(const SearcherLink &) = delete;

    // Sends an attempt now or as soon as a connection is free. Of those that wait, the latest goes
    // first; one is not sent any more once startBy has passed.
    void submit(const AttemptId &id, std::shared_ptr<const OutboundRequest> request,
                Millis deadline, Millis startBy = Millis::never());

    // Nobody waits for an attempt any more. Its connection is kept if the reply comes soon, else
    // closed, which cancels the work; an attempt that may not be repeated runs to its end.
    void abandon(const AttemptId &id);

    // Closes connections that wait in vain, have been idle too long or are not needed.
    void sweep(Millis now);

    // Ends waiting attempts that this process slept over.
    void expireWaiting();

    // Sets how many connections may be open. After the searcher reset a new one, a single one is
    // used for a while: it counts the connections of all hosts, also of those that died.
    void setMaxConnections(std::uint32_t next) { this->maxConnections = next; }

    // Returns how many connections may be open now.
    std::uint32_t connectionLimit(Millis now) const
    {
        return now < this->singleConnectionUntil ? 1 : maxConnections;
    }

    // Closes connections as they fall idle.
    void retire() { this->retired = true; }

    bool isIdle() const { return this->connections.empty() && this->waiting.empty(); }

private:
    struct Work
    {
        AttemptId id;
        std::shared_ptr<const OutboundRequest> request;
        Millis deadline;
        Millis startBy;
    };

    // One connection. Busy while it holds work that was sent.
    struct Connection
    {
        explicit Connection(const HttpLimits &limits)
            : reader(limits)
        {}

        std::shared_ptr<TcpStream> stream;
        HttpReader<Poco::Net::HTTPResponse> reader;
        std::optional<Work> work;
        bool abandoned = false;
        bool reusable = true;
        // A late second reply to that request could be taken for the reply to its next attempt.
        std::string lastRequestId;
        bool hasAnswered = false;
        Millis openedAt;
        // Since when it is idle, or if busy, when to give up on it.
        Millis idleSince;
        Millis timeoutAt = Millis::never();
        Millis keepAlive;
        std::uint64_t bytesWrittenBeforeRequest = 0;
    };

    using ConnectionPtr = std::shared_ptr<Connection>;

    void openConnection();
    void dispatchWaiting();
    void dropLate(Millis now);
    void send(const ConnectionPtr &connection, Work &&work);
    void onConnected(const ConnectionPtr &connection);
    void onData(const ConnectionPtr &connection, std::string_view data);
    void onClosed(const ConnectionPtr &connection);
    bool handleReply(const ConnectionPtr &connection, HttpResponse &&response);
    Outcome classifyReply(const SearcherReply &reply) const;
    void release(const ConnectionPtr &connection, bool keep);
    void drop(const ConnectionPtr &connection);
    void fail(const ConnectionPtr &connection, Fault fault);
    void endAttempt(const AttemptId &id, Verdict verdict, Fault fault, Hop hop);

    EventLoop &loop;
    Metrics &metrics;
    const HttpCodec &codec;
    std::string searcher;
    Poco::Net::SocketAddress address;
    SearcherLinkCallbacks callbacks;
    std::uint32_t maxConnections = 1;
    Millis singleConnectionUntil;
    bool retired = false;
    std::vector<ConnectionPtr> connections;
    std::deque<Work> waiting;
};

} // namespace quetzal
