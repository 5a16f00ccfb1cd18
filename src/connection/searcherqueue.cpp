#include "connection/searcherqueue.h"

#include "quetzal/fault.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

// Connections in addition to the slots. The idle spare replaces a closed connection and serves as
// the old connection in a silence check.
static constexpr std::uint32_t spareConnections = 1;
// Maximum number of waiting requests per slot.
static constexpr std::uint32_t queuePerSlot = 16;
// Weights of a new sample in the moving averages.
static constexpr double serviceGain = 0.1;
static constexpr double connectGain = 0.3;
// A request is accepted if this fraction of its expected time is left. Estimates err in both
// directions, so only requests that miss their deadline by a margin are refused.
static constexpr double admissionTimeFactor = 0.7;
// A connection is suspect after this many expected service times without an answer.
static constexpr double suspectFactor = 6;
static constexpr Millis minSuspectTimeout = Millis(60);
static constexpr Millis maxSuspectTimeout = Millis(400);
// A suspect connection is considered silent after this many suspect time-outs, once the deadline of
// its work has passed. Needed if there is no old idle connection to compare with.
static constexpr double assumedSilentFactor = 4;
static constexpr Millis minProbeTimeout = Millis(40);
// The delay doubles with each failed connection attempt.
static constexpr Millis minReconnectDelay = Millis(20);
static constexpr Millis maxReconnectDelay = Millis(1000);
static constexpr ConnectionNumber noConnection = 0;

SearcherQueue::SearcherQueue(const SearcherLimits &limits, const RelayOptions &options)
    : limits(limits)
    , options(options)
    , connectTime(limits.connectCost)
{}

std::uint32_t SearcherQueue::connectionLimit() const
{
    return std::max(1U,
                    std::min(this->limits.connectionCap, this->limits.slots + spareConnections));
}

void SearcherQueue::report(const Work &work, Verdict verdict, Fault fault, RelayActions &out) const
{
    RelayAction action;
    action.kind = RelayActionKind::Report;
    action.work = work.key;
    action.outcome = { verdict, fault, Hop::Relay };
    out.push_back(action);
}

Millis SearcherQueue::expectedWait(const Work &work) const
{
    const auto queuedAhead
            = std::distance(this->queue.begin(), this->queue.upper_bound(work.deadline));
    const auto requestsAhead = static_cast<double>(queuedAhead) + this->running;
    const double rounds = std::floor(requestsAhead / std::max(1U, this->limits.slots));
    return this->serviceTime * rounds;
}

void SearcherQueue::submit(const Work &work, Millis now, RelayActions &out)
{
    if (this->draining) {
        this->report(work, Verdict::NotRun, Fault::Draining, out);
        return;
    }
    if (this->queue.size() >= static_cast<std::size_t>(this->limits.slots) * queuePerSlot) {
        this->report(work, Verdict::NotRun, Fault::QueueFull, out);
        return;
    }
    // While the searcher refuses connections, the entry host should try another one at once.
    if (this->connections.empty() && now < this->nextConnectAt) {
        this->report(work, Verdict::NotRun, Fault::ConnectFailed, out);
        return;
    }
    const Millis expectedTime
            = (this->expectedWait(work) + this->serviceTime) * admissionTimeFactor;
    const bool late = this->options.refuseLate && this->hasServiceTime
                      && now + expectedTime > work.deadline;
    if (late || now >= work.deadline) {
        this->report(work, Verdict::NotRun, Fault::DeadlineTooShort, out);
        return;
    }
    this->queue.emplace(work.deadline, work);
    this->dispatchWaiting(now, out);
}

void SearcherQueue::cancel(const WorkKey &key, Millis now, RelayActions &out)
{
    for (auto entry = this->queue.begin(); entry != this->queue.end(); ++entry) {
        if (entry->second.key != key)
            continue;
        this->report(entry->second, Verdict::NotRun, Fault::Cancelled, out);
        this->queue.erase(entry);
        return;
    }
    for (auto &[number, connection] : this->connections) {
        if (connection.phase != ConnectionPhase::Busy || connection.work.key != key)
            continue;
        // A request that is not repeatable is not interrupted once it was sent.
        if (connection.work.repeatable) {
            // Closing the connection makes the searcher stop the request.
            this->retire(number, Fault::Cancelled, now, out);
            this->dispatchWaiting(now, out);
        }
        return;
    }
}

ConnectionNumber SearcherQueue::findIdle() const
{
    // The most recently opened connection is the least likely to be silent.
    for (auto entry = this->connections.rbegin(); entry != this->connections.rend(); ++entry) {
        if (entry->second.phase == ConnectionPhase::Idle && !entry->second.suspect)
            return entry->first;
    }
    return noConnection;
}

void SearcherQueue::dropExpired(Millis now, RelayActions &out)
{
    while (!this->queue.empty() && this->queue.begin()->first <= now) {
        this->report(this->queue.begin()->second, Verdict::NotRun, Fault::DeadlinePassed, out);
        this->queue.erase(this->queue.begin());
    }
}

void SearcherQueue::dispatchWaiting(Millis now, RelayActions &out)
{
    this->dropExpired(now, out);
    while (!this->queue.empty() && this->running < this->limits.slots) {
        const Work work = this->queue.begin()->second;
        // Work with less than half the expected service time left is not started.
        const bool tooLate = this->options.refuseLate && this->hasServiceTime
                             && now + this->serviceTime * 0.5 > work.deadline;
        if (tooLate) {
            this->report(work, Verdict::NotRun, Fault::DeadlineTooShort, out);
            this->queue.erase(this->queue.begin());
            continue;
        }
        const ConnectionNumber number = this->findIdle();
        if (number == noConnection)
            break;
        this->queue.erase(this->queue.begin());
        this->send(number, work, now, out);
    }
    this->openForQueue(now, out);
}

void SearcherQueue::openForQueue(Millis now, RelayActions &out)
{
    if (now < this->nextConnectAt || this->draining)
        return;
    std::uint32_t wanted
            = std::min(static_cast<std::uint32_t>(this->queue.size()),
                       this->limits.slots - std::min(this->limits.slots, this->running));
    // Keep a spare in addition to the connections for running and waiting work.
    wanted += this->running + spareConnections;
    while (this->connections.size() < std::min(wanted, this->connectionLimit()))
        this->open(false, now, out);
}

ConnectionNumber SearcherQueue::open(bool forProbe, Millis now, RelayActions &out)
{
    const ConnectionNumber number = ++this->lastNumber;
    Connection connection;
    connection.openedAt = now;
    connection.forProbe = forProbe;
    this->connections[number] = connection;
    this->connecting += 1;
    out.push_back({ RelayActionKind::Open, number, {}, {} });
    return number;
}

void SearcherQueue::send(ConnectionNumber number, const Work &work, Millis now, RelayActions &out)
{
    Connection &connection = this->connections[number];
    connection.phase = ConnectionPhase::Busy;
    connection.work = work;
    connection.sentAt = now;
    this->running += 1;
    out.push_back({ RelayActionKind::Send, number, work.key, {} });
}

void SearcherQueue::retire(ConnectionNumber number, Fault fault, Millis, RelayActions &out)
{
    const Connection connection = this->connections[number];
    if (connection.phase == ConnectionPhase::Busy) {
        this->running -= 1;
        this->report(connection.work, Verdict::MayHaveRun, fault, out);
    }
    if (connection.phase == ConnectionPhase::Connecting)
        this->connecting -= 1;
    this->connections.erase(number);
    out.push_back({ RelayActionKind::Close, number, {}, {} });
}

void SearcherQueue::onConnected(ConnectionNumber number, Millis now, RelayActions &out)
{
    const auto found = this->connections.find(number);
    if (found == this->connections.end() || found->second.phase != ConnectionPhase::Connecting)
        return;
    Connection &connection = found->second;
    this->connecting -= 1;
    this->connectFailures = 0;
    this->connectTime
            = this->connectTime * (1 - connectGain) + (now - connection.openedAt) * connectGain;
    connection.openedAt = now;
    if (connection.forProbe) {
        connection.phase = ConnectionPhase::Probing;
        out.push_back({ RelayActionKind::Probe, number, {}, {} });
        return;
    }
    connection.phase = ConnectionPhase::Idle;
    this->dispatchWaiting(now, out);
}

void SearcherQueue::onConnectFailed(ConnectionNumber number, Millis now, RelayActions &out)
{
    const auto found = this->connections.find(number);
    if (found == this->connections.end())
        return;
    if (this->silenceCheck.active && this->silenceCheck.fresh == number)
        this->silenceCheck.active = false;
    this->connections.erase(found);
    this->connecting -= 1;
    this->connectFailures += 1;
    const double backoff = std::pow(2.0, std::min(this->connectFailures - 1, 10));
    this->nextConnectAt = now + std::min(maxReconnectDelay, minReconnectDelay * backoff);
    // The work was not sent, so the entry hosts can safely send it to other searchers.
    if (this->running == 0 && this->connecting == 0 && this->findIdle() == noConnection) {
        for (const auto &[deadline, work] : this->queue)
            this->report(work, Verdict::NotRun, Fault::ConnectFailed, out);
        this->queue.clear();
    }
}

void SearcherQueue::onClosed(ConnectionNumber number, bool bytesSent, Millis now, RelayActions &out)
{
    const auto found = this->connections.find(number);
    if (found == this->connections.end())
        return;
    const Connection connection = found->second;
    if (connection.phase == ConnectionPhase::Connecting) {
        this->onConnectFailed(number, now, out);
        return;
    }
    if (this->silenceCheck.active
        && (this->silenceCheck.fresh == number || this->silenceCheck.old == number))
        this->silenceCheck.active = false;
    this->connections.erase(found);
    if (connection.phase == ConnectionPhase::Busy) {
        this->running -= 1;
        if (bytesSent)
            this->report(connection.work, Verdict::MayHaveRun, Fault::ConnectionReset, out);
        else
            this->queue.emplace(connection.work.deadline, connection.work);
    }
    this->dispatchWaiting(now, out);
}

void SearcherQueue::onReply(ConnectionNumber number, Millis now, RelayActions &out)
{
    const auto found = this->connections.find(number);
    if (found == this->connections.end() || found->second.phase != ConnectionPhase::Busy)
        return;
    Connection &connection = found->second;
    const Millis elapsed = now - connection.sentAt;
    this->serviceTime = this->hasServiceTime
                                ? this->serviceTime * (1 - serviceGain) + elapsed * serviceGain
                                : elapsed;
    this->hasServiceTime = true;
    connection.phase = ConnectionPhase::Idle;
    connection.suspect = false;
    this->running -= 1;
    this->dispatchWaiting(now, out);
}

void SearcherQueue::onProbeReply(ConnectionNumber number, Millis now, RelayActions &out)
{
    const auto found = this->connections.find(number);
    if (found == this->connections.end() || found->second.phase != ConnectionPhase::Probing)
        return;
    found->second.phase = ConnectionPhase::Idle;
    found->second.forProbe = false;
    if (this->silenceCheck.active && this->silenceCheck.fresh == number)
        this->silenceCheck.freshAnswered = true;
    if (this->silenceCheck.active && this->silenceCheck.old == number)
        this->silenceCheck.oldAnswered = true;
    if (this->silenceCheck.active && this->silenceCheck.freshAnswered
        && (this->silenceCheck.oldAnswered || !this->silenceCheck.hasOld))
        this->endSilenceCheck(now, out);
    this->dispatchWaiting(now, out);
}

void SearcherQueue::setDraining(bool draining, Millis now, RelayActions &out)
{
    this->draining = draining;
    if (!draining) {
        this->dispatchWaiting(now, out);
        return;
    }
    for (const auto &[deadline, work] : this->queue)
        this->report(work, Verdict::NotRun, Fault::Draining, out);
    this->queue.clear();
    this->closeIdle(out);
}

void SearcherQueue::onPaused(Millis, RelayActions &out)
{
    for (const auto &[deadline, work] : this->queue)
        this->report(work, Verdict::NotRun, Fault::ProcessPaused, out);
    this->queue.clear();
}

void SearcherQueue::closeIdle(RelayActions &out)
{
    std::vector<ConnectionNumber> idle;
    for (const auto &[number, connection] : this->connections) {
        if (connection.phase == ConnectionPhase::Idle)
            idle.push_back(number);
    }
    for (const ConnectionNumber number : idle) {
        this->connections.erase(number);
        out.push_back({ RelayActionKind::Close, number, {}, {} });
    }
}

Millis SearcherQueue::suspectTimeout() const
{
    return std::clamp(this->serviceTime * suspectFactor, minSuspectTimeout, maxSuspectTimeout);
}

Millis SearcherQueue::probeTimeout() const
{
    return std::max(minProbeTimeout, this->connectTime * 4);
}

bool SearcherQueue::hasBusyOlderThan(Millis age, Millis now) const
{
    return std::any_of(this->connections.begin(), this->connections.end(), [&](const auto &entry) {
        const Connection &connection = entry.second;
        return connection.phase == ConnectionPhase::Busy && !connection.suspect
               && now >= connection.sentAt + age;
    });
}

void SearcherQueue::startSilenceCheck(Millis now, RelayActions &out)
{
    this->silenceCheck = SilenceCheck();
    this->silenceCheck.active = true;
    this->silenceCheck.startedAt = now;
    for (auto &[number, connection] : this->connections) {
        if (connection.phase == ConnectionPhase::Busy
            && now >= connection.sentAt + this->suspectTimeout())
            connection.suspect = true;
    }
    const ConnectionNumber old = this->findIdle();
    if (old != noConnection) {
        this->connections[old].phase = ConnectionPhase::Probing;
        this->silenceCheck.old = old;
        this->silenceCheck.hasOld = true;
        out.push_back({ RelayActionKind::Probe, old, {}, {} });
    }
    this->silenceCheck.fresh = this->open(true, now, out);
}

void SearcherQueue::retireOlderThan(Millis openedBefore, Millis now, RelayActions &out)
{
    std::vector<ConnectionNumber> old;
    for (const auto &[number, connection] : this->connections) {
        const bool open = connection.phase != ConnectionPhase::Connecting;
        // A busy connection with a recent request may still answer. It becomes suspect after its
        // own time-out.
        const bool recentlySent = connection.phase == ConnectionPhase::Busy
                                  && now < connection.sentAt + this->suspectTimeout();
        if (open && !recentlySent && connection.openedAt < openedBefore)
            old.push_back(number);
    }
    for (const ConnectionNumber number : old) {
        this->silentCount += 1;
        this->retire(number, Fault::SilentConnection, now, out);
    }
}

void SearcherQueue::endSilenceCheck(Millis now, RelayActions &out)
{
    this->silenceCheck.active = false;
    const bool silent = this->silenceCheck.freshAnswered && this->silenceCheck.hasOld
                        && !this->silenceCheck.oldAnswered;
    if (silent) {
        this->retireOlderThan(this->silenceCheck.startedAt, now, out);
        this->dispatchWaiting(now, out);
        return;
    }
    if (this->silenceCheck.fresh == noConnection || this->silenceCheck.freshAnswered)
        return;
    // The searcher does not answer on a new connection either: close the probed connections.
    if (this->connections.contains(this->silenceCheck.fresh))
        this->retire(this->silenceCheck.fresh, Fault::SilentConnection, now, out);
    if (this->silenceCheck.hasOld && this->connections.contains(this->silenceCheck.old))
        this->retire(this->silenceCheck.old, Fault::SilentConnection, now, out);
}

void SearcherQueue::onTimer(Millis now, RelayActions &out)
{
    this->dropExpired(now, out);
    if (this->silenceCheck.active && now >= this->silenceCheck.startedAt + this->probeTimeout())
        this->endSilenceCheck(now, out);
    if (this->options.probeSilence) {
        std::vector<ConnectionNumber> silentNumbers;
        for (const auto &[number, connection] : this->connections) {
            const bool assumedSilent
                    = connection.phase == ConnectionPhase::Busy && connection.suspect
                      && now >= connection.sentAt + this->suspectTimeout() * assumedSilentFactor
                      && now >= connection.work.deadline;
            if (assumedSilent)
                silentNumbers.push_back(number);
        }
        for (const ConnectionNumber number : silentNumbers) {
            this->silentCount += 1;
            this->retire(number, Fault::SilentConnection, now, out);
        }
        if (!this->silenceCheck.active && this->hasBusyOlderThan(this->suspectTimeout(), now))
            this->startSilenceCheck(now, out);
    }
    this->dispatchWaiting(now, out);
}

Millis SearcherQueue::nextTimer() const
{
    Millis next = Millis::never();
    if (!this->queue.empty())
        next = std::min(next, this->queue.begin()->first);
    if (!this->queue.empty() && this->connections.empty())
        next = std::min(next, this->nextConnectAt);
    if (this->silenceCheck.active)
        next = std::min(next, this->silenceCheck.startedAt + this->probeTimeout());
    if (!this->options.probeSilence)
        return next;
    for (const auto &[number, connection] : this->connections) {
        if (connection.phase != ConnectionPhase::Busy)
            continue;
        const Millis suspectAt = connection.sentAt + this->suspectTimeout();
        const Millis assumedSilentAt
                = std::max(connection.work.deadline,
                           connection.sentAt + this->suspectTimeout() * assumedSilentFactor);
        // A new check starts only after the current one has ended.
        if (connection.suspect)
            next = std::min(next, assumedSilentAt);
        else if (!this->silenceCheck.active)
            next = std::min(next, suspectAt);
    }
    return next;
}

} // namespace quetzal
