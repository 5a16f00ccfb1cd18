// A single-threaded event loop over sockets, timers and tasks posted by other threads.
#pragma once

#include "process/loglimiter.h"
#include "quetzal/millis.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <vector>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>
#include <boost/lockfree/queue.hpp>

namespace quetzal {

// Receives the readiness events of one socket.
class EventHandler
{
public:
    virtual ~EventHandler() = default;
    virtual void onReadable() = 0;
    virtual void onWritable() = 0;
    virtual void onSocketError() = 0;
};

// Identifies a timer of one loop.
using TimerId = std::uint64_t;

// Runs handlers, timers and tasks on the thread that calls run. Only post and stop may be called
// from other threads; they take no lock.
//
// An exception that leaves a handler, timer or task is logged and ends only that call. A socket
// whose handler throws gets onSocketError. Work that is to go on must therefore be scheduled again
// before it does anything that can throw.
class EventLoop
{
public:
    using Task = std::function<void()>;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    // Runs until stop is called. Registers the thread with liburcu.
    void run();

    // Makes run return after the tasks that have been posted so far.
    void stop();

    // Waits for events for at most 100 ms and processes those that are due. For a loop that is not
    // driven by run.
    void runOnce();

    // Runs the task on the loop's thread. Tasks posted by one thread run in order.
    void post(Task task);

    // Runs the task once at a point in time. Returns an id for cancel.
    TimerId schedule(Millis at, Task task);

    // Cancels a timer; does nothing if it has run or does not exist.
    void cancel(TimerId timer);

    // Watches a socket for reading and, if wantWrite is set, for writing.
    void add(const Poco::Net::Socket &socket, const std::shared_ptr<EventHandler> &handler,
             bool wantWrite);

    // Starts or stops to watch a socket for writing.
    void wantWrite(const Poco::Net::Socket &socket, bool want);

    // Stops to watch a socket for reading, or starts again. Errors are reported either way.
    void wantRead(const Poco::Net::Socket &socket, bool want);
    void remove(const Poco::Net::Socket &socket);

    // Runs a function; logs and counts an exception that leaves it. Returns false if there was one.
    // source names the kind of work.
    bool runContained(std::string_view source, const Task &function);

    // Returns how many handlers, timers and tasks ended with an exception.
    std::uint64_t failureCount() const { return this->failures.load(std::memory_order_relaxed); }

    // Returns the same for all loops of the process since its start.
    static std::uint64_t totalFailureCount();

    // Adds a function that is called with the length of a pause of the process, before the data
    // that arrived in sockets during the pause is read.
    void onPause(std::function<void(Millis gap)> handler);

    // An iteration that exceeds its planned wait by more than this counts as a pause of the
    // process.
    static constexpr Millis pauseThreshold = Millis(500);

private:
    struct Timer
    {
        TimerId id = 0;
        Task task;
    };

    // A socket's handler and the events it is watched for.
    struct Watch
    {
        std::shared_ptr<EventHandler> handler;
        bool wantsRead = true;
        bool wantsWrite = false;
    };

    // Passes the events of a watch to the kernel.
    void updateMode(const Poco::Net::Socket &socket, const Watch &watch);
    Poco::Net::PollSet::SocketModeMap waitForSockets(Millis wait);
    void processEvents(const Poco::Net::PollSet::SocketModeMap &ready);
    Millis pollTimeout(Millis now) const;
    void runTasks();
    void runTimers(Millis now);
    void dispatch(const Poco::Net::PollSet::SocketModeMap &ready);
    void notifyPauseHandlers(Millis gap);

    Poco::Net::PollSet poll;
    std::unordered_map<Poco::Net::SocketImpl *, Watch> watches;
    std::multimap<Millis, Timer> timers;
    std::unordered_map<TimerId, Millis> timerDeadlines;
    TimerId lastTimer = 0;
    boost::lockfree::queue<Task *> tasks;
    std::atomic<bool> wakePending = false;
    std::atomic<bool> stopping = false;
    // The thread that is in run.
    std::atomic<std::thread::id> loopThread;
    // Datagrams that post sends to this socket interrupt the wait for events.
    Poco::Net::DatagramSocket wakeSocket;
    std::vector<std::function<void(Millis)>> pauseHandlers;
    std::atomic<std::uint64_t> failures = 0;
    LogLimiter failureLog;
};

} // namespace quetzal
