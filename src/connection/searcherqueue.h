// Scheduling of a relay's work on one searcher: its slots, its connections and the waiting work.
#pragma once

#include "quetzal/fault.h"
#include "quetzal/millis.h"
#include "quetzal/verdict.h"
#include "request/attempt.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace quetzal {

// Identifies a connection within one searcher queue.
using ConnectionNumber = std::uint32_t;

// Identifies work within one searcher queue: the requesting entry host and its attempt.
struct WorkKey
{
    HostId entry;
    AttemptId attempt;

    friend constexpr auto operator<=>(const WorkKey &, const WorkKey &) = default;
};

// Limits of a searcher from the operators' tables.
struct SearcherLimits
{
    // Number of requests that it runs concurrently.
    std::uint32_t slots = 1;
    std::uint32_t connectionCap = 1;
    // Time to set up a connection.
    Millis connectCost;

    friend bool operator==(const SearcherLimits &, const SearcherLimits &) = default;
};

// Work for a searcher. The deadline is a time on the relay's clock.
struct Work
{
    WorkKey key;
    Millis deadline;
    bool repeatable = true;
};

// The types of actions that a queue requests of its driver.
enum class RelayActionKind {
    // Open a connection with this number.
    Open,
    // Send the work on the connection.
    Send,
    // Request the searcher's status on the connection.
    Probe,
    // Close the connection.
    Close,
    // Report the outcome of work that ended without an answer to its entry host.
    Report,
};

// An action for the driver of a queue. Only the fields of its kind are set.
struct RelayAction
{
    RelayActionKind kind = RelayActionKind::Open;
    ConnectionNumber connection = 0;
    WorkKey work;
    Outcome outcome;
};

using RelayActions = std::vector<RelayAction>;

// Enables the policies of a queue; the policy bench disables them one by one.
struct RelayOptions
{
    // Refuse work that is not expected to be answered by its deadline.
    bool refuseLate = true;
    // Probe connections that make no progress, and retire silent ones.
    bool probeSilence = true;
};

// Schedules work on one searcher.
//
// Runs at most as many requests as the searcher has slots, in order of deadline, on a few
// persistent connections, and refuses work at once that cannot be answered in time. If a connection
// makes no progress, probes on a new connection and on an idle old one show whether the old
// connections have become silent or the searcher is slow. The class is driven by events that carry
// their time, and appends the resulting actions to `out`; it has no clock and no socket.
class SearcherQueue
{
public:
    SearcherQueue(const SearcherLimits &limits, const RelayOptions &options);

    // Queues work, or reports at once why it is refused.
    void submit(const Work &work, Millis now, RelayActions &out);

    // Cancels work. Reports NotRun if it was not sent, and MayHaveRun if it was. Work that was sent
    // and is not repeatable continues.
    void cancel(const WorkKey &key, Millis now, RelayActions &out);

    void onConnected(ConnectionNumber number, Millis now, RelayActions &out);
    void onConnectFailed(ConnectionNumber number, Millis now, RelayActions &out);
    // The connection was closed. bytesSent is true if at least one byte of its work was written.
    void onClosed(ConnectionNumber number, bool bytesSent, Millis now, RelayActions &out);
    // The complete answer to the connection's work was received.
    void onReply(ConnectionNumber number, Millis now, RelayActions &out);
    // The complete answer to a probe was received.
    void onProbeReply(ConnectionNumber number, Millis now, RelayActions &out);

    // Replaces the limits after a new revision of the tables.
    void setLimits(const SearcherLimits &limits) { this->limits = limits; }

    // Sets whether the searcher is draining: it gets no new work, and running work finishes.
    void setDraining(bool draining, Millis now, RelayActions &out);

    // Handles a pause of the process: all waiting work is refused, whatever its deadline.
    void onPaused(Millis now, RelayActions &out);

    // Closes idle connections. For a searcher that this relay no longer owns.
    void closeIdle(RelayActions &out);

    // Drops expired work and advances the detection of silent connections.
    void onTimer(Millis now, RelayActions &out);

    // Returns when onTimer is to be called next.
    Millis nextTimer() const;

    // Returns the number of waiting requests.
    std::size_t waiting() const { return this->queue.size(); }

    std::size_t connectionCount() const { return this->connections.size(); }

    // True if no work is waiting or running.
    bool idle() const { return this->queue.empty() && this->running == 0; }

    // Returns the number of connections that were retired as silent since construction.
    std::uint64_t silentConnections() const { return this->silentCount; }

private:
    enum class ConnectionPhase { Connecting, Idle, Busy, Probing };

    struct Connection
    {
        ConnectionPhase phase = ConnectionPhase::Connecting;
        Millis openedAt;
        Millis sentAt;
        Work work;
        // Opened for a probe; it gets no work before the probe is answered.
        bool forProbe = false;
        // Its work has been unanswered for longer than suspectTimeout.
        bool suspect = false;
    };

    // A check whether old connections have become silent.
    struct SilenceCheck
    {
        bool active = false;
        Millis startedAt;
        // The connection that was opened for the check.
        ConnectionNumber fresh = 0;
        // The idle connection that is probed for comparison, if there was one.
        ConnectionNumber old = 0;
        bool hasOld = false;
        bool freshAnswered = false;
        bool oldAnswered = false;
    };

    std::uint32_t connectionLimit() const;
    // Returns the expected time until a slot is free for the work.
    Millis expectedWait(const Work &work) const;
    // Returns the time without an answer after which a connection is suspect.
    Millis suspectTimeout() const;
    // Returns how long a silence check waits for the answers to its probes.
    Millis probeTimeout() const;
    // Sends waiting work on idle connections and opens more connections if needed.
    void dispatchWaiting(Millis now, RelayActions &out);
    void dropExpired(Millis now, RelayActions &out);
    void openForQueue(Millis now, RelayActions &out);
    ConnectionNumber open(bool forProbe, Millis now, RelayActions &out);
    void send(ConnectionNumber number, const Work &work, Millis now, RelayActions &out);
    void report(const Work &work, Verdict verdict, Fault fault, RelayActions &out) const;
    // Closes a connection; its work, if any, is reported as MayHaveRun.
    void retire(ConnectionNumber number, Fault fault, Millis now, RelayActions &out);
    void startSilenceCheck(Millis now, RelayActions &out);
    void endSilenceCheck(Millis now, RelayActions &out);
    // Retires connections opened before the moment as silent.
    void retireOlderThan(Millis openedBefore, Millis now, RelayActions &out);
    // Returns an idle connection that is not suspect, or zero if there is none.
    ConnectionNumber findIdle() const;
    bool hasBusyOlderThan(Millis age, Millis now) const;

    SearcherLimits limits;
    RelayOptions options;
    // Waiting work by deadline.
    std::multimap<Millis, Work> queue;
    std::map<ConnectionNumber, Connection> connections;
    ConnectionNumber lastNumber = 0;
    std::uint32_t running = 0;
    std::uint32_t connecting = 0;
    bool draining = false;
    // Moving averages of this relay's measurements.
    Millis serviceTime = Millis(10);
    bool hasServiceTime = false;
    Millis connectTime;
    // Consecutive failures, and when the next connection may be opened after them.
    int connectFailures = 0;
    Millis nextConnectAt;
    SilenceCheck silenceCheck;
    std::uint64_t silentCount = 0;
};

} // namespace quetzal
