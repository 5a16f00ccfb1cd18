#include "process/eventloop.h"

#include "process/eventlog.h"
#include "quetzal/steadyclock.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <exception>
#include <string>

#include <Poco/Net/NetException.h>
#include <urcu/urcu-memb.h>

namespace quetzal {

static constexpr std::size_t initialTaskCapacity = 1024;
static constexpr Millis maxPollWait = Millis(100);
// Time between two log lines about handlers that failed.
static constexpr Millis failureLogPeriod = Millis(1000);

EventLoop::EventLoop()
    : tasks(initialTaskCapacity)
    , failureLog(failureLogPeriod)
{
    this->wakeSocket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    this->wakeSocket.setBlocking(false);
    this->poll.add(this->wakeSocket, Poco::Net::PollSet::POLL_READ);
}

EventLoop::~EventLoop()
{
    // Destructors of handlers call remove, so the map must be in a valid state when they run.
    auto removedWatches = std::move(this->watches);
    this->watches.clear();
    removedWatches.clear();
    this->timers.clear();
    Task *task = nullptr;
    while (this->tasks.pop(task))
        delete task;
}

void EventLoop::post(Task task)
{
    this->tasks.push(new Task(std::move(task)));
    // The loop's thread checks for tasks before it waits again.
    if (this->loopThread.load(std::memory_order_relaxed) == std::this_thread::get_id())
        return;
    if (this->wakePending.exchange(true))
        return;
    static constexpr char wakeByte = 'w';
    try {
        this->wakeSocket.sendTo(&wakeByte, 1, this->wakeSocket.address());
    } catch (const Poco::Exception &) {
        // The loop wakes up by itself after at most maxPollWait.
        return;
    }
}

void EventLoop::stop()
{
    this->stopping = true;
    this->post([] {});
}

TimerId EventLoop::schedule(Millis at, Task task)
{
    const TimerId id = ++this->lastTimer;
    this->timers.emplace(at, Timer{ id, std::move(task) });
    this->timerDeadlines[id] = at;
    return id;
}

void EventLoop::cancel(TimerId timer)
{
    const auto time = this->timerDeadlines.find(timer);
    if (time == this->timerDeadlines.end())
        return;
    const auto [first, last] = this->timers.equal_range(time->second);
    const auto found = std::find_if(
            first, last, [timer](const auto &entry) { return entry.second.id == timer; });
    if (found != last)
        this->timers.erase(found);
    this->timerDeadlines.erase(time);
}

static int pollMode(bool wantsRead, bool wantsWrite)
{
    using Poco::Net::PollSet;
    return PollSet::POLL_ERROR | (wantsRead ? PollSet::POLL_READ : 0)
           | (wantsWrite ? PollSet::POLL_WRITE : 0);
}

void EventLoop::add(const Poco::Net::Socket &socket, const std::shared_ptr<EventHandler> &handler,
                    bool wantWrite)
{
    this->watches[socket.impl()] = { handler, true, wantWrite };
    this->poll.add(socket, pollMode(true, wantWrite));
}

void EventLoop::updateMode(const Poco::Net::Socket &socket, const Watch &watch)
{
    this->poll.update(socket, pollMode(watch.wantsRead, watch.wantsWrite));
}

void EventLoop::wantWrite(const Poco::Net::Socket &socket, bool want)
{
    const auto found = this->watches.find(socket.impl());
    if (found == this->watches.end())
        return;
    found->second.wantsWrite = want;
    this->updateMode(socket, found->second);
}

void EventLoop::wantRead(const Poco::Net::Socket &socket, bool want)
{
    const auto found = this->watches.find(socket.impl());
    if (found == this->watches.end() || found->second.wantsRead == want)
        return;
    found->second.wantsRead = want;
    this->updateMode(socket, found->second);
}

void EventLoop::remove(const Poco::Net::Socket &socket)
{
    if (this->watches.erase(socket.impl()) > 0)
        this->poll.remove(socket);
}

void EventLoop::onPause(std::function<void(Millis gap)> handler)
{
    this->pauseHandlers.push_back(std::move(handler));
}

Millis EventLoop::pollTimeout(Millis now) const
{
    if (!this->tasks.empty())
        return Millis(0);
    if (this->timers.empty())
        return maxPollWait;
    return std::clamp(this->timers.begin()->first - now, Millis(0), maxPollWait);
}

// Counts what failureCount counts, over all loops.
static std::atomic<std::uint64_t> totalFailures = 0;

std::uint64_t EventLoop::totalFailureCount()
{
    return totalFailures.load(std::memory_order_relaxed);
}

bool EventLoop::runContained(std::string_view source, const Task &function)
{
    try {
        function();
        return true;
    } catch (const std::exception &failure) {
        this->failures.fetch_add(1, std::memory_order_relaxed);
        totalFailures.fetch_add(1, std::memory_order_relaxed);
        if (const auto suppressed = this->failureLog.admit(SteadyClock::now()))
            logEvent(LogEvent::HandlerFailed,
                     "source=" + std::string(source) + " reason=\"" + describe(failure)
                             + "\" suppressed=" + std::to_string(*suppressed));
        return false;
    }
}

void EventLoop::runTasks()
{
    this->wakePending = false;
    Task *task = nullptr;
    while (this->tasks.pop(task)) {
        const std::unique_ptr<Task> owned(task);
        this->runContained("task", *owned);
    }
}

void EventLoop::runTimers(Millis now)
{
    while (!this->timers.empty() && this->timers.begin()->first <= now) {
        const Task task = std::move(this->timers.begin()->second.task);
        this->timerDeadlines.erase(this->timers.begin()->second.id);
        this->timers.erase(this->timers.begin());
        this->runContained("timer", task);
    }
}

void EventLoop::dispatch(const Poco::Net::PollSet::SocketModeMap &ready)
{
    using Poco::Net::PollSet;
    for (const auto &[socket, mode] : ready) {
        if (socket == this->wakeSocket) {
            std::array<char, 64> buffer = {};
            Poco::Net::SocketAddress from;
            while (this->wakeSocket.receiveFrom(buffer.data(), buffer.size(), from) > 0) {}
            continue;
        }
        const auto found = this->watches.find(socket.impl());
        if (found == this->watches.end())
            continue;
        // Keeps the handler alive, as it may remove itself.
        const std::shared_ptr<EventHandler> handler = found->second.handler;
        const bool handled = this->runContained("socket", [&handler, mode = mode] {
            if (mode & PollSet::POLL_WRITE)
                handler->onWritable();
            if (mode & PollSet::POLL_READ)
                handler->onReadable();
        });
        if ((!handled || (mode & PollSet::POLL_ERROR)) && this->watches.contains(socket.impl()))
            this->runContained("socket", [&handler] { handler->onSocketError(); });
    }
}

void EventLoop::notifyPauseHandlers(Millis gap)
{
    for (const auto &handler : this->pauseHandlers)
        this->runContained("task", [&handler, gap] { handler(gap); });
}

Poco::Net::PollSet::SocketModeMap EventLoop::waitForSockets(Millis wait)
{
    const auto waitMicros = static_cast<Poco::Timespan::TimeDiff>(std::ceil(wait.count()) * 1000);
    return this->poll.poll(Poco::Timespan(waitMicros));
}

void EventLoop::processEvents(const Poco::Net::PollSet::SocketModeMap &ready)
{
    this->dispatch(ready);
    this->runTasks();
    this->runTimers(SteadyClock::now());
}

void EventLoop::runOnce()
{
    this->processEvents(this->waitForSockets(this->pollTimeout(SteadyClock::now())));
}

void EventLoop::run()
{
    urcu_memb_register_thread();
    this->loopThread = std::this_thread::get_id();
    Millis iterationStart = SteadyClock::now();
    Millis suspendedBefore = SteadyClock::suspendedTime();
    while (!this->stopping) {
        const Millis wait = this->pollTimeout(iterationStart);
        const auto ready = this->waitForSockets(wait);
        const Millis now = SteadyClock::now();
        const Millis suspended = SteadyClock::suspendedTime();
        // Measured from the start of one iteration to the start of the next, so that it covers
        // pauses while waiting and while working. The monotonic clock does not advance while the
        // machine is suspended.
        const Millis gap = now - iterationStart - wait + (suspended - suspendedBefore);
        iterationStart = now;
        suspendedBefore = suspended;
        if (gap > pauseThreshold)
            this->notifyPauseHandlers(gap);
        this->processEvents(ready);
    }
    this->runTasks();
    this->loopThread = std::thread::id();
    urcu_memb_unregister_thread();
}

} // namespace quetzal
