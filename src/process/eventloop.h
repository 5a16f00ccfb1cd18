// One thread's event loop over sockets, timers and tasks from other threads.
#pragma once

#include "quetzal/millis.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <unordered_map>
#include <vector>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>
#include <boost/lockfree/queue.hpp>

namespace quetzal {

// Receives the readiness of one socket.
class EventHandler
{
public:
    virtual ~EventHandler() = default;
    virtual void onReadable() = 0;
    virtual void onWritable() = 0;
    virtual void onSocketError() = 0;
};

// Names a timer of one loop.
using TimerId = std::uint64_t;

// Runs handlers, timers and tasks on the thread that calls run. Only post and stop may be called
// from other threads; they take no lock.
class EventLoop
{
public:
    using Task = std::function<void()>;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    // Runs until stop. Registers the thread with the read-copy-update library.
    void run();
    void stop();

    // Waits for at most longestWait and does what is due then. For a loop that run does not drive.
    void runOnce();

    // Runs the task on the loop's thread, in the order of posting per thread.
    void post(Task task);

    TimerId schedule(Millis at, Task task);
    void cancel(TimerId timer);

    void add(const Poco::Net::Socket &socket, const std::shared_ptr<EventHandler> &handler,
             bool wantWrite);
    void wantWrite(const Poco::Net::Socket &socket, bool want);
    void remove(const Poco::Net::Socket &socket);

    // Adds a function that is told when the process did not run for a while, before anything that
    // waited in sockets meanwhile is read.
    void onPause(std::function<void(Millis gap)> handler);

    // A gap between ticks beyond this counts as a pause.
    static constexpr Millis pauseThreshold = Millis(500);

private:
    struct Timer
    {
        TimerId id = 0;
        Task task;
    };

    Poco::Net::PollSet::SocketModeMap waitForSockets(Millis wait);
    void processEvents(const Poco::Net::PollSet::SocketModeMap &ready);
    Millis pollTimeout(Millis now) const;
    void runTasks();
    void runTimers(Millis now);
    void dispatch(const Poco::Net::PollSet::SocketModeMap &ready);
    void notifyPauseHandlers(Millis gap);

    Poco::Net::PollSet poll;
    std::unordered_map<Poco::Net::SocketImpl *, std::shared_ptr<EventHandler>> handlers;
    std::multimap<Millis, Timer> timers;
    std::unordered_map<TimerId, Millis> timerDeadlines;
    TimerId lastTimer = 0;
    boost::lockfree::queue<Task *> tasks;
    std::atomic<bool> wakePending = false;
    std::atomic<bool> stopping = false;
    std::atomic<std::thread::id> loopThread;
    // Datagrams to itself interrupt the wait for sockets.
    Poco::Net::DatagramSocket wakeSocket;
    std::vector<std::function<void(Millis)>> pauseHandlers;
};

} // namespace quetzal
