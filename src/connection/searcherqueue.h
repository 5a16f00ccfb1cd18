// The relay's side of one searcher: its connections, its slots and the work waiting for them.
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

// Names a connection within one searcher queue.
using ConnectionNumber = std::uint32_t;

// Names work within one searcher queue: the entry host that asked, and its attempt.
struct WorkKey
{
    HostId entry;
    AttemptId attempt;

    friend constexpr auto operator<=>(const WorkKey &, const WorkKey &) = default;
};

// What the operators' table says about a searcher.
struct SearcherLimits
{
    std::uint32_t slots = 1;
    std::uint32_t connectionCap = 1;
    Millis connectCost;

    friend bool operator==(const SearcherLimits &, const SearcherLimits &) = default;
};

// Work for the searcher. The deadline is a point on the relay's clock.
struct Work
{
    WorkKey key;
    Millis deadline;
    bool repeatable = true;
};

// What the queue wants done.
enum class RelayActionKind {
    // Open a connection with this number.
    Open,
    // Send the work on the connection.
    Send,
    // Ask for the searcher's status on the connection.
    Probe,
    // Close the connection.
    Close,
    // Tell the entry how the work ended without an answer.
    Report,
};

struct RelayAction
{
    RelayActionKind kind = RelayActionKind::Open;
    ConnectionNumber connection = 0;
    WorkKey work;
    Outcome outcome;
};

using RelayActions = std::vector<RelayAction>;

// Which decisions are in use; the policy bench switches them off one by one.
struct RelayOptions
{
    bool refuseLate = true;
    bool probeSilence = true;
};

// Schedules work on one searcher.
//
// Runs at most as many requests as the searcher has slots, in order of deadline, on few warm
// connections, and refuses at once what cannot be answered in time. A connection that makes no
// progress is suspected, not the searcher: a probe on a new and on an idle old connection tells
// which of the two it is. Takes events with a time, appends actions, keeps no clock and no socket.
class SearcherQueue
{
public:
    SearcherQueue(const SearcherLimits &limits, const RelayOptions &options);

    // Takes work, or reports at once why it is refused.
    void submit(const Work &work, Millis now, RelayActions &out);

    // Withdraws work. Reports NotRun if it was not sent, and MayHaveRun if it was.
    void cancel(const WorkKey &key, Millis now, RelayActions &out);

    void onConnected(ConnectionNumber number, Millis now, RelayActions &out);
    void onConnectFailed(ConnectionNumber number, Millis now, RelayActions &out);
    // The connection ended. bytesSent tells whether any byte of its work was written.
    void onClosed(ConnectionNumber number, bool bytesSent, Millis now, RelayActions &out);
    // The answer to the connection's work has arrived whole.
    void onReply(ConnectionNumber number, Millis now, RelayActions &out);
    // The answer to a probe has arrived whole.
    void onProbeReply(ConnectionNumber number, Millis now, RelayActions &out);

    // Changes the limits, which come with a new revision of the tables.
    void setLimits(const SearcherLimits &limits) { this->limits = limits; }

    // A leaving searcher gets no new work; what runs there finishes.
    void setDraining(bool draining, Millis now, RelayActions &out);

    // The process was paused: everything queued before is expired, whatever its deadline says.
    void onPaused(Millis now, RelayActions &out);

    // Closes the connections that no work is on. For a searcher that this relay no longer owns.
    void closeIdle(RelayActions &out);

    void onTimer(Millis now, RelayActions &out);
    Millis nextTimer() const;

    std::size_t waiting() const { return this->queue.size(); }
    std::size_t connectionCount() const { return this->connections.size(); }
    bool idle() const { return this->queue.empty() && this->running == 0; }
    std::uint64_t silentConnections() const { return this->silentCount; }

private:
    enum class ConnectionPhase { Connecting, Idle, Busy, Probing };

    struct Connection
    {
        ConnectionPhase phase = ConnectionPhase::Connecting;
        Millis openedAt;
        Millis sentAt;
        Work work;
        // Opened to probe: gets no work before the probe ends.
        bool forProbe = false;
        bool suspect = false;
    };

    // A check whether old connections have gone silent.
    struct SilenceCheck
    {
        bool active = false;
        Millis startedAt;
        ConnectionNumber fresh = 0;
        ConnectionNumber old = 0;
        bool hasOld = false;
        bool freshAnswered = false;
        bool oldAnswered = false;
    };

    std::uint32_t connectionLimit() const;
    Millis expectedWait(const Work &work) const;
    Millis suspectTimeout() const;
    Millis probeTimeout() const;
    void dispatchWaiting(Millis now, RelayActions &out);
    void dropExpired(Millis now, RelayActions &out);
    void openForQueue(Millis now, RelayActions &out);
    ConnectionNumber open(bool forProbe, Millis now, RelayActions &out);
    void send(ConnectionNumber number, const Work &work, Millis now, RelayActions &out);
    void report(const Work &work, Verdict verdict, Fault fault, RelayActions &out) const;
    void retire(ConnectionNumber number, Fault fault, Millis now, RelayActions &out);
    void startSilenceCheck(Millis now, RelayActions &out);
    void endSilenceCheck(Millis now, RelayActions &out);
    void retireOlderThan(Millis moment, Millis now, RelayActions &out);
    ConnectionNumber findIdle() const;
    bool hasBusyOlderThan(Millis age, Millis now) const;

    SearcherLimits limits;
    RelayOptions options;
    std::multimap<Millis, Work> queue;
    std::map<ConnectionNumber, Connection> connections;
    ConnectionNumber lastNumber = 0;
    std::uint32_t running = 0;
    std::uint32_t connecting = 0;
    bool draining = false;
    // Estimates from this relay's own observations.
    Millis serviceTime = Millis(10);
    bool hasServiceTime = false;
    Millis connectTime;
    int connectFailures = 0;
    Millis nextConnectAt;
    SilenceCheck silenceCheck;
    std::uint64_t silentCount = 0;
};

} // namespace quetzal
