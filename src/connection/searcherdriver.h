// Runs one searcher queue over HTTP connections.
#pragma once

#include "connection/httpclient.h"
#include "connection/messages.h"
#include "connection/searcherqueue.h"
#include "process/eventloop.h"
#include "process/metrics.h"
#include "process/tracing.h"
#include "request/hitjson.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace quetzal {

// State and callbacks that all drivers of one relay loop share.
struct RelayContext
{
    EventLoop &loop;
    Metrics &metrics;
    TraceWriter &traces;
    SpanIdGenerator &spans;
    HostId self;
    // Mean time between status requests to a searcher.
    Millis statusPeriod;
    // Sends the result of an attempt to its entry host.
    std::function<void(HostId entry, AttemptResult result)> reply;
    // Publishes the state of a searcher after a change.
    std::function<void(const SearcherReport &report)> report;
};

// A sub-request in a relay, with the entry host that it came from.
struct RelayWork
{
    std::shared_ptr<const SubRequests> batch;
    SubRequestItem item;
    HostId entry;
    Millis arrivedAt;
    // When it was sent to the searcher, and the trace span of that; zero until then.
    Millis sentAt;
    std::uint64_t span = 0;
};

// Owns the connections to one searcher and performs the actions of its queue. Used on one loop's
// thread only.
class SearcherDriver
{
public:
    SearcherDriver(RelayContext &context, const std::string &address, const SearcherLimits &limits);
    ~SearcherDriver();
    SearcherDriver(const SearcherDriver &) = delete;
    SearcherDriver &operator=(const SearcherDriver &) = delete;

    // Queues work. An attempt that was submitted before is ignored.
    void submit(const RelayWork &work, Millis deadline);

    // Cancels an attempt of an entry host.
    void cancel(HostId entry, const AttemptId &attempt);

    // Refuses the waiting work after a pause of the process.
    void onPaused();

    // Sets whether this relay owns the searcher: the owner polls its status.
    void setOwned(bool owned);

    void setLimits(const SearcherLimits &limits) { this->queue.setLimits(limits); }

    // Sets whether the searcher is to be drained because the platform is about to remove it or the
    // tables no longer contain it.
    void setLeaving(bool leaving);

    // True if no work is waiting or running.
    bool idle() const { return this->queue.idle(); }

    // Returns the last known state of the searcher.
    const SearcherReport &lastReport() const { return this->currentReport; }

private:
    void perform(const RelayActions &actions);
    void openConnection(ConnectionNumber number);
    // Returns null if no connection can be made, and calls onClosed later.
    std::shared_ptr<HttpClient> connect(const HttpClientCallbacks &callbacks);
    void sendWork(ConnectionNumber number, const WorkKey &key);
    void onResponse(ConnectionNumber number, const HttpResponse &response);
    void finishWork(ConnectionNumber number, const HttpResponse &response);
    AttemptResult readAnswer(const RelayWork &work, const HttpResponse &response);
    void readSearch(const RelayWork &work, const HttpResponse &response, AttemptResult &result);
    void readRefusal(const HttpResponse &response, AttemptResult &result);
    void reportWork(const WorkKey &key, const Outcome &outcome);
    void finishAttempt(const WorkKey &key, AttemptResult result);
    void armTimer();
    void pollStatus();
    void onStatus(const HttpResponse &response);
    void updateReport(const SearcherStatus &status);
    void applyDraining();

    RelayContext &context;
    std::string address;
    SearcherId id;
    SearcherQueue queue;
    std::unordered_map<ConnectionNumber, std::shared_ptr<HttpClient>> connections;
    std::unordered_map<ConnectionNumber, WorkKey> workOnConnection;
    std::map<WorkKey, RelayWork> pendingWork;
    SearcherReport currentReport;
    // As set by setLeaving.
    bool leaving = false;
    // The searcher itself announced that it is draining.
    bool reportedDraining = false;
    // The draining state that the queue was last set to.
    bool drainApplied = false;
    bool owned = false;
    // A status request is unanswered.
    bool statusPending = false;
    // The status connection failed since the last answer; the loss is logged once.
    bool statusLost = false;
    std::shared_ptr<HttpClient> statusConnection;
    TimerId statusTimer = 0;
    Millis statusSentAt;
    // Silent connections of the queue that are already in the metrics.
    std::uint64_t countedSilentConnections = 0;
    TimerId timer = 0;
    Millis timerAt = Millis::never();
    // Expires with the driver, so that callbacks of its connections can detect its destruction.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace quetzal
