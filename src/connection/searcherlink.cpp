#include "connection/searcherlink.h"

#include "process/eventlog.h"
#include "quetzal/fault.h"
#include "quetzal/steadyclock.h"

#include <algorithm>
#include <charconv>

namespace quetzal {

static constexpr HttpLimits replyLimits = { 65'536, 16'777'216 };
static constexpr Millis connectTimeout = Millis(400);
// Time to wait for the reply to abandoned work, so that its connection can be reused.
static constexpr Millis abandonedReplyTimeout = Millis(250);
// Time after the deadline of its work at which a connection without a reply is considered silent.
static constexpr Millis silenceTimeout = Millis(300);
// Time for which only one connection is used after a new one was reset.
static constexpr Millis singleConnectionTime = Millis(2000);
// Idle time of a connection unless the searcher states one.
static constexpr Millis defaultKeepAlive = Millis(4000);
// How much earlier than its stated keep-alive time a searcher may close an idle connection.
static constexpr Millis keepAliveMargin = Millis(700);
// A searcher that states an implausible figure usually does so in every reply.
static constexpr Millis ignoredLoadLogInterval = Millis(60000);

SearcherLink::SearcherLink(EventLoop &loop, Metrics &metrics, const HttpCodec &codec,
                           std::string searcher, const std::string &address,
                           SearcherLinkCallbacks callbacks)
    : loop(loop)
    , metrics(metrics)
    , codec(codec)
    , searcher(std::move(searcher))
    , address(address)
    , callbacks(std::move(callbacks))
{}

SearcherLink::~SearcherLink()
{
    for (const ConnectionPtr &connection : this->connections) {
        if (connection->stream)
            connection->stream->close();
    }
}

void SearcherLink::submit(const AttemptId &id, std::shared_ptr<const OutboundRequest> request,
                          Millis deadline, Millis startBy)
{
    this->waiting.push_back({ id, std::move(request), deadline, startBy });
    this->dispatchWaiting();
}

// Ends attempts that were not sent by their startBy time: their answers would be too late.
void SearcherLink::dropLate(Millis now)
{
    std::vector<AttemptId> lateAttempts;
    std::erase_if(this->waiting, [&](const Work &work) {
        if (now < work.startBy)
            return false;
        lateAttempts.push_back(work.id);
        return true;
    });
    for (const AttemptId &id : lateAttempts)
        this->endAttempt(id, Verdict::NotRun, Fault::DeadlineTooShort, Hop::Entry);
}

void SearcherLink::dispatchWaiting()
{
    const std::shared_ptr<SearcherLink> self = this->shared_from_this();
    const Millis now = SteadyClock::now();
    this->dropLate(now);
    std::size_t connecting = 0;
    std::size_t busy = static_cast<std::size_t>(
            std::count_if(this->connections.begin(), this->connections.end(),
                          [](const ConnectionPtr &connection) { return connection->work; }));
    const std::vector<ConnectionPtr> currentConnections = this->connections;
    for (const ConnectionPtr &connection : currentConnections) {
        if (this->waiting.empty())
            return;
        if (connection->work)
            continue;
        if (!connection->stream->isConnected()) {
            ++connecting;
            continue;
        }
        // Connections beyond the limit stay idle until their keep-alive time has passed.
        if (busy >= this->connectionLimit(now))
            break;
        if (now - connection->idleSince > connection->keepAlive) {
            this->drop(connection);
            continue;
        }
        if (!connection->lastRequestId.empty()
            && connection->lastRequestId == this->waiting.back().request->requestId) {
            this->drop(connection);
            continue;
        }
        // The latest attempt has the most time left. Under overload, serving the oldest first would
        // make all replies late.
        Work next = std::move(this->waiting.back());
        this->waiting.pop_back();
        this->send(connection, std::move(next));
        ++busy;
    }
    while (connecting < this->waiting.size()
           && this->connections.size() < this->connectionLimit(now)) {
        this->openConnection();
        ++connecting;
    }
}

void SearcherLink::openConnection()
{
    const auto connection = std::make_shared<Connection>(replyLimits);
    connection->openedAt = SteadyClock::now();
    connection->keepAlive = defaultKeepAlive;
    const std::weak_ptr<SearcherLink> weak = this->weak_from_this();
    const std::weak_ptr<Connection> weakConnection = connection;
    const auto ifBothAlive = [weak, weakConnection](auto action) {
        const auto self = weak.lock();
        const auto target = weakConnection.lock();
        if (self && target)
            action(*self, target);
    };
    StreamCallbacks streamCallbacks;
    streamCallbacks.onConnected = [ifBothAlive] {
        ifBothAlive(
                [](SearcherLink &self, const ConnectionPtr &target) { self.onConnected(target); });
    };
    streamCallbacks.onData = [ifBothAlive](std::string_view data) {
        ifBothAlive([data](SearcherLink &self, const ConnectionPtr &target) {
            self.onData(target, data);
        });
    };
    streamCallbacks.onClosed = [ifBothAlive] {
        ifBothAlive([](SearcherLink &self, const ConnectionPtr &target) { self.onClosed(target); });
    };
    if (this->memoryBudget)
        connection->account = std::make_unique<MemoryAccount>(this->memoryBudget, [ifBothAlive] {
            ifBothAlive([](SearcherLink &self, const ConnectionPtr &target) {
                self.dropLimited(target);
            });
        });
    this->metrics.add(Counter::Connects);
    this->connections.push_back(connection);
    connection->stream = TcpStream::connect(this->loop, this->address, std::move(streamCallbacks));
}

void SearcherLink::onConnected(const ConnectionPtr &connection)
{
    connection->idleSince = SteadyClock::now();
    this->dispatchWaiting();
}

void SearcherLink::send(const ConnectionPtr &connection, Work &&work)
{
    const Millis now = SteadyClock::now();
    const Millis remaining = work.deadline - now;
    if (remaining < Millis(1)) {
        this->endAttempt(work.id, Verdict::NotRun, Fault::DeadlinePassed, Hop::Entry);
        return;
    }
    if (work.request->method == "HEAD")
        connection->reader.expectNoBody();
    connection->requests += 1;
    connection->lastRequestId = work.request->requestId;
    connection->abandoned = false;
    connection->timeoutAt = work.deadline + silenceTimeout;
    connection->bytesWrittenBeforeRequest = connection->stream->bytesWritten();
    const std::string bytes = this->codec.encodeRequest(*work.request, this->searcher, remaining);
    connection->work = std::move(work);
    connection->stream->write(bytes);
}

void SearcherLink::abandon(const AttemptId &id)
{
    const auto queued = std::find_if(this->waiting.begin(), this->waiting.end(),
                                     [&](const Work &work) { return work.id == id; });
    if (queued != this->waiting.end()) {
        this->waiting.erase(queued);
        this->endAttempt(id, Verdict::NotRun, Fault::Cancelled, Hop::Entry);
        return;
    }
    for (const ConnectionPtr &connection : this->connections) {
        if (!connection->work || connection->work->id != id)
            continue;
        connection->abandoned = true;
        if (connection->work->request->repeatable)
            connection->timeoutAt = SteadyClock::now() + abandonedReplyTimeout;
        return;
    }
}

void SearcherLink::onData(const ConnectionPtr &connection, std::string_view data)
{
    const std::shared_ptr<SearcherLink> self = this->shared_from_this();
    // Unrequested bytes would be taken for the reply to the next request.
    if (!connection->work) {
        this->metrics.add(Counter::ReplyMismatches);
        this->drop(connection);
        return;
    }
    connection->reader.feed(data);
    this->readReplies(connection);
    if (connection->account)
        connection->account->set(connection->reader.bufferedBytes(), SteadyClock::now());
}

void SearcherLink::dropLimited(const ConnectionPtr &connection)
{
    const std::shared_ptr<SearcherLink> self = this->shared_from_this();
    this->metrics.add(Counter::LimitedConnections);
    if (connection->work)
        this->fail(connection, Fault::ConnectionReset);
    else
        this->drop(connection);
}

void SearcherLink::readReplies(const ConnectionPtr &connection)
{
    while (connection->work) {
        std::optional<HttpResponse> response = connection->reader.next();
        if (connection->reader.errorStatus() != 0) {
            this->fail(connection, Fault::ReplyMismatch);
            return;
        }
        if (!response)
            return;
        const bool interim = response->head.getStatus() < 200;
        if (interim) {
            this->reportStatement(this->codec.decodeStatement(*response), *connection);
            if (!connection->work)
                return;
            continue;
        }
        if (this->handleReply(connection, std::move(*response)))
            return;
    }
}

void SearcherLink::reportLoad(const LoadReport &report)
{
    const Millis now = SteadyClock::now();
    if (report.isSlownessIgnored && now - this->ignoredLoadLoggedAt >= ignoredLoadLogInterval) {
        this->ignoredLoadLoggedAt = now;
        logEvent(LogEvent::LoadFigureIgnored, "searcher=" + this->searcher);
    }
    if (this->callbacks.onLoad)
        this->callbacks.onLoad(report);
}

// Returns false if the reply belongs to another request; the expected reply may still follow.
bool SearcherLink::handleReply(const ConnectionPtr &connection, HttpResponse &&response)
{
    const bool keepAlive = response.head.getKeepAlive();
    const std::string keepAliveField = response.head.get("Keep-Alive", "");
    SearcherReply reply = this->codec.decodeReply(std::move(response), *connection->work->request);
    if (reply.requestIdMatch == RequestIdMatch::Different) {
        this->handleForeignReply(connection, std::move(reply));
        return !connection->work;
    }
    const std::size_t position = keepAliveField.find("timeout=");
    if (position != std::string::npos) {
        int seconds = 0;
        const char *digits = keepAliveField.data() + position + std::string_view("timeout=").size();
        std::from_chars(digits, keepAliveField.data() + keepAliveField.size(), seconds);
        static constexpr double millisPerSecond = 1000;
        connection->keepAlive = Millis(seconds * millisPerSecond) - keepAliveMargin;
    }
    const AttemptId id = connection->work->id;
    const Outcome outcome = this->classifyReply(reply);
    if (reply.load)
        this->reportLoad(*reply.load);
    const bool surplus = connection->reader.hasPartial();
    connection->work.reset();
    const bool valid = connection->reusable && outcome.code != Fault::ReplyMismatch;
    this->release(connection, keepAlive && !surplus && valid);
    if (!reply.misdirected)
        this->reportStatement(reply.statement, *connection);
    this->callbacks.onEnd(id, outcome, std::move(reply));
    this->dispatchWaiting();
    return true;
}

void SearcherLink::handleForeignReply(const ConnectionPtr &connection, SearcherReply &&reply)
{
    this->metrics.add(Counter::ReplyMismatches);
    connection->reusable = false;
    connection->foreignReplies += 1;
    // Each request has one extra reply at most; a searcher that sends more may never stop.
    if (connection->foreignReplies > connection->requests) {
        this->fail(connection, Fault::ReplyMismatch);
        return;
    }
    // What a late reply does not mention may have begun since.
    reply.statement.isInterim = true;
    this->reportStatement(reply.statement, *connection);
}

void SearcherLink::reportStatement(const SearcherStatement &statement, const Connection &connection)
{
    if (this->callbacks.onStatement)
        this->callbacks.onStatement(statement, connection.lastRequestId);
}

Outcome SearcherLink::classifyReply(const SearcherReply &reply) const
{
    static constexpr int statusOk = 200;
    static constexpr int statusMultipleChoices = 300;
    if (reply.misdirected)
        return { Verdict::NotRun, Fault::WrongIncarnation, Hop::Searcher };
    if (reply.notRun)
        return { Verdict::NotRun, Fault::Shed, Hop::Searcher };
    if (reply.seal.empty())
        return { Verdict::MayHaveRun, Fault::ReplyMismatch, Hop::Searcher };
    if (reply.status < statusOk || reply.status >= statusMultipleChoices)
        return { Verdict::Ran, Fault::SearcherError, Hop::Searcher };
    return { Verdict::Ran, {}, Hop::Searcher };
}

void SearcherLink::release(const ConnectionPtr &connection, bool keep)
{
    connection->idleSince = SteadyClock::now();
    connection->timeoutAt = Millis::never();
    connection->hasAnswered = true;
    if (!keep || this->retired)
        this->drop(connection);
}

void SearcherLink::drop(const ConnectionPtr &connection)
{
    std::erase(this->connections, connection);
    connection->account.reset();
    connection->stream->close();
}

void SearcherLink::onClosed(const ConnectionPtr &connection)
{
    const std::shared_ptr<SearcherLink> self = this->shared_from_this();
    std::erase(this->connections, connection);
    connection->account.reset();
    if (!connection->hasAnswered && !connection->stream->hasReceivedEof())
        this->singleConnectionUntil = SteadyClock::now() + singleConnectionTime;
    if (!connection->work) {
        // The connection was not established, so the waiting attempts were not sent.
        const bool connectFailed = !connection->stream->isConnected();
        if (connectFailed && this->connections.empty() && !this->waiting.empty()) {
            std::deque<Work> failed = std::move(this->waiting);
            this->waiting.clear();
            for (const Work &work : failed)
                this->endAttempt(work.id, Verdict::NotRun, Fault::ConnectFailed, Hop::Entry);
        }
        return;
    }
    if (connection->stream->hasReceivedEof()) {
        std::optional<HttpResponse> response = connection->reader.finish();
        if (response && this->handleReply(connection, std::move(*response)))
            return;
    }
    this->fail(connection, Fault::ConnectionReset);
}

void SearcherLink::fail(const ConnectionPtr &connection, Fault fault)
{
    const AttemptId id = connection->work->id;
    const bool sent = connection->stream->bytesWritten() > connection->bytesWrittenBeforeRequest;
    connection->work.reset();
    this->drop(connection);
    this->endAttempt(id, sent ? Verdict::MayHaveRun : Verdict::NotRun, fault, Hop::Entry);
    this->dispatchWaiting();
}

void SearcherLink::endAttempt(const AttemptId &id, Verdict verdict, Fault fault, Hop hop)
{
    this->callbacks.onEnd(id, { verdict, fault, hop }, SearcherReply());
}

void SearcherLink::sweep(Millis now)
{
    const std::shared_ptr<SearcherLink> self = this->shared_from_this();
    const std::vector<ConnectionPtr> currentConnections = this->connections;
    for (const ConnectionPtr &connection : currentConnections) {
        if (connection->work) {
            if (now < connection->timeoutAt)
                continue;
            if (!connection->abandoned)
                this->metrics.add(Counter::SilentConnections);
            this->fail(connection, Fault::SilentConnection);
        } else if (!connection->stream->isConnected()) {
            if (now - connection->openedAt < connectTimeout)
                continue;
            connection->stream->close();
            this->onClosed(connection);
        } else if (now - connection->idleSince > connection->keepAlive || this->retired) {
            this->drop(connection);
        }
    }
    this->dispatchWaiting();
}

void SearcherLink::failWaiting(Fault fault)
{
    std::deque<Work> expired = std::move(this->waiting);
    this->waiting.clear();
    for (const Work &work : expired)
        this->endAttempt(work.id, Verdict::NotRun, fault, Hop::Entry);
}

} // namespace quetzal
