// The direct connections from this host to one registered searcher. A searcher that is reached
// through a relay has a SearcherDriver there instead.
#pragma once

#include "connection/httpcodec.h"
#include "connection/memoryaccount.h"
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

// Notifications to the owner of a link. onEnd is called once for each submitted attempt, even if it
// was abandoned.
struct SearcherLinkCallbacks
{
    std::function<void(const AttemptId &, const Outcome &, SearcherReply &&)> onEnd;
    std::function<void(const LoadReport &)> onLoad;
    // Called for each response to a request of this host, interim ones included, with the id of
    // that request. Not called if another searcher answers at the address.
    std::function<void(const SearcherStatement &, const std::string &)> onStatement;
};

// Sends attempts to one incarnation of a searcher, one at a time on each connection, and reports
// their outcomes. Used on its loop's thread only.
class SearcherLink : public std::enable_shared_from_this<SearcherLink>
{
public:
    SearcherLink(EventLoop &loop, Metrics &metrics, const HttpCodec &codec, std::string searcher,
                 const std::string &address, SearcherLinkCallbacks callbacks);
    ~SearcherLink();
    SearcherLink(const SearcherLink &) = delete;
    SearcherLink &operator=(const SearcherLink &) = delete;

    // Sends an attempt now or as soon as a connection is free. Waiting attempts are sent last in,
    // first out; an attempt that is not sent by startBy fails as not run.
    void submit(const AttemptId &id, std::shared_ptr<const OutboundRequest> request,
                Millis deadline, Millis startBy = Millis::never());

    // Declares that the reply to an attempt is no longer needed. If the reply arrives soon, its
    // connection is reused; otherwise the connection is closed, which cancels the request at the
    // searcher. A request that is not repeatable runs to its end. A waiting attempt ends at once as
    // not run.
    void abandon(const AttemptId &id);

    // Closes connections that have timed out or been idle too long. To be called periodically.
    void sweep(Millis now);

    // Ends all waiting attempts as not run.
    void failWaiting(Fault fault);

    // Sets the maximum number of open connections. After the searcher has reset a new connection,
    // only one is used for a while: the searcher's own limit counts the connections of all hosts,
    // including those of hosts that died.
    void setMaxConnections(std::uint32_t newLimit) { this->maxConnections = newLimit; }

    // Returns the maximum number of open connections at the time.
    std::uint32_t connectionLimit(Millis now) const
    {
        return now < this->singleConnectionUntil ? 1 : maxConnections;
    }

    // Sets the budget for partial replies. Connections that hold too much are closed.
    void setMemoryBudget(std::shared_ptr<MemoryBudget> budget)
    {
        this->memoryBudget = std::move(budget);
    }

    // Closes each connection as soon as it is idle. For a searcher that is no longer used.
    void retire() { this->retired = true; }

    // True if there are neither connections nor waiting attempts.
    bool isIdle() const { return this->connections.empty() && this->waiting.empty(); }

private:
    // A submitted attempt.
    struct Work
    {
        AttemptId id;
        std::shared_ptr<const OutboundRequest> request;
        Millis deadline;
        Millis startBy;
    };

    // One connection. It is busy while it has work.
    struct Connection
    {
        explicit Connection(const HttpLimits &limits)
            : reader(limits)
        {}

        std::shared_ptr<TcpStream> stream;
        HttpReader<Poco::Net::HTTPResponse> reader;
        // Null if the link has no budget.
        std::unique_ptr<MemoryAccount> account;
        // The attempt that was sent and not answered yet.
        std::optional<Work> work;
        bool abandoned = false;
        // False after a reply to another request was received.
        bool reusable = true;
        // Number of requests sent, and of replies to other requests than the one that was open.
        std::uint64_t requests = 0;
        std::uint64_t foreignReplies = 0;
        // Id of the last request sent. Another attempt of that request is not sent here, as a
        // duplicate reply to the earlier attempt could be taken for its reply.
        std::string lastRequestId;
        bool hasAnswered = false;
        Millis openedAt;
        Millis idleSince;
        // When the connection is closed if its work is unanswered.
        Millis timeoutAt = Millis::never();
        // How long it may be idle.
        Millis keepAlive;
        // Bytes written on the connection when its work was sent.
        std::uint64_t bytesWrittenBeforeRequest = 0;
    };

    using ConnectionPtr = std::shared_ptr<Connection>;

    void openConnection();
    // Reads replies until one is incomplete.
    void readReplies(const ConnectionPtr &connection);
    // Closes a connection whose reply holds too much memory.
    void dropLimited(const ConnectionPtr &connection);
    void dispatchWaiting();
    void dropLate(Millis now);
    void send(const ConnectionPtr &connection, Work &&work);
    void onConnected(const ConnectionPtr &connection);
    void onData(const ConnectionPtr &connection, std::string_view data);
    void onClosed(const ConnectionPtr &connection);
    bool handleReply(const ConnectionPtr &connection, HttpResponse &&response);
    // Handles a reply to another request, after which the expected reply may still follow.
    void handleForeignReply(const ConnectionPtr &connection, SearcherReply &&reply);
    void reportStatement(const SearcherStatement &statement, const Connection &connection);
    // Passes a load report on, and logs that part of it is ignored.
    void reportLoad(const LoadReport &report);
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
    std::shared_ptr<MemoryBudget> memoryBudget;
    std::uint32_t maxConnections = 1;
    Millis singleConnectionUntil;
    bool retired = false;
    // When it was last logged that part of a load report is ignored.
    Millis ignoredLoadLoggedAt = Millis(-1e9);
    std::vector<ConnectionPtr> connections;
    std::deque<Work> waiting;
};

} // namespace quetzal
