// Drives one searcher queue over real connections.
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

// What all drivers of one relay loop share.
struct RelayContext
{
    EventLoop &loop;
    Metrics &metrics;
    TraceWriter &traces;
    SpanIdGenerator &spans;
    HostId self;
    Millis statusPeriod;
    // Tells the entry host how an attempt ended.
    std::function<void(HostId entry, AttemptResult result)> reply;
    // Tells what changed about the searcher.
    std::function<void(const SearcherReport &report)> report;
};

// A sub-request as it waits in a relay: what is sent, and for whom.
struct RelayWork
{
    std::shared_ptr<const SubRequests> batch;
    SubRequestItem item;
    HostId entry;
    Millis arrivedAt;
    Millis sentAt;
    std::uint64_t span = 0;
};

// Owns the connections to one searcher and does what its queue decides. Used on one loop.
class SearcherDriver
{
public:
    SearcherDriver(RelayContext &context, const std::string &address, const SearcherLimits &limits);
    ~SearcherDriver();
    SearcherDriver(const SearcherDriver &) = delete;
    SearcherDriver &operator=(const SearcherDriver &) = delete;

    void submit(const RelayWork &work, Millis deadline);
    void cancel(HostId entry, const AttemptId &attempt);
    void onPaused();

    // Sets whether this relay owns the searcher: the owner polls its status.
    void setOwned(bool owned);
    void setLimits(const SearcherLimits &limits) { this->queue.setLimits(limits); }
    // The platform's list or the tables say that the searcher leaves.
    void setLeaving(bool leaving);

    bool idle() const { return this->queue.idle(); }
    const SearcherReport &lastReport() const { return this->currentReport; }

private:
    void perform(const RelayActions &actions);
    void openConnection(ConnectionNumber number);
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
    bool leaving = false;
    bool reportedDraining = false;
    bool drainApplied = false;
    bool owned = false;
    bool statusPending = false;
    bool statusLost = false;
    std::shared_ptr<HttpClient> statusConnection;
    TimerId statusTimer = 0;
    Millis statusSentAt;
    std::uint64_t countedSilentConnections = 0;
    TimerId timer = 0;
    Millis timerAt = Millis::never();
    // Lets callbacks of a destroyed driver do nothing.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace quetzal
