// A relay's queue for one searcher: slots, deadlines, silent connections, draining and pauses
// of the process.
#include "connection/searcherqueue.h"

#include <algorithm>

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

// Drives one queue; each connection that it opens is established at once.
struct QueueDriver
{
    // Two slots, at most 25 connections, and 6 ms to set up a connection.
    SearcherQueue queue{ { 2, 25, Millis(6) }, RelayOptions() };
    RelayActions actions;
    std::uint64_t lastWork = 0;

    WorkKey submit(Millis now, Millis deadline, bool repeatable = true)
    {
        const WorkKey key = { { 1 }, { { ++this->lastWork }, 0 } };
        this->queue.submit({ key, deadline, repeatable }, now, this->actions);
        this->connectAll(now);
        return key;
    }

    void connectAll(Millis now)
    {
        for (std::size_t i = 0; i < this->actions.size(); ++i) {
            if (this->actions[i].kind == RelayActionKind::Open)
                this->queue.onConnected(this->actions[i].connection, now, this->actions);
        }
    }

    const RelayAction *find(RelayActionKind kind) const
    {
        const auto found = std::find_if(this->actions.begin(), this->actions.end(),
                                        [kind](const RelayAction &a) { return a.kind == kind; });
        return found == this->actions.end() ? nullptr : &*found;
    }

    std::size_t count(RelayActionKind kind) const
    {
        return static_cast<std::size_t>(
                std::count_if(this->actions.begin(), this->actions.end(),
                              [kind](const RelayAction &a) { return a.kind == kind; }));
    }
};

} // namespace

TEST_CASE("running requests are limited to the slots, and connections to one more")
{
    QueueDriver d;
    for (int i = 0; i < 6; ++i)
        d.submit(Millis(0), Millis(300));
    CHECK(d.count(RelayActionKind::Send) == 2);
    CHECK(d.queue.connectionCount() <= 3);
    CHECK(d.queue.waiting() == 4);
}

TEST_CASE("work with the earliest deadline is sent first, and expired work is never sent")
{
    QueueDriver d;
    d.submit(Millis(0), Millis(300));
    d.submit(Millis(0), Millis(300));
    const WorkKey late = d.submit(Millis(0), Millis(290));
    const WorkKey soon = d.submit(Millis(0), Millis(100));
    const WorkKey tooSoon = d.submit(Millis(0), Millis(20));
    const ConnectionNumber first = d.find(RelayActionKind::Send)->connection;
    d.actions.clear();
    d.queue.onReply(first, Millis(30), d.actions);
    REQUIRE(d.find(RelayActionKind::Report));
    CHECK(d.find(RelayActionKind::Report)->work == tooSoon);
    CHECK(d.find(RelayActionKind::Report)->outcome.verdict == Verdict::NotRun);
    REQUIRE(d.find(RelayActionKind::Send));
    CHECK(d.find(RelayActionKind::Send)->work == soon);
    CHECK(d.find(RelayActionKind::Send)->work != late);
}

TEST_CASE("work that cannot be answered in time is refused at once")
{
    QueueDriver d;
    d.submit(Millis(0), Millis(300));
    const ConnectionNumber connection = d.find(RelayActionKind::Send)->connection;
    d.queue.onReply(connection, Millis(50), d.actions);
    d.actions.clear();
    d.submit(Millis(60), Millis(70));
    REQUIRE(d.find(RelayActionKind::Report));
    CHECK(d.find(RelayActionKind::Report)->outcome.code == Fault::DeadlineTooShort);
    CHECK(d.find(RelayActionKind::Report)->outcome.verdict == Verdict::NotRun);
}

TEST_CASE("work may have run if its connection closed after bytes were sent, else it is resent")
{
    QueueDriver d;
    d.submit(Millis(0), Millis(300));
    const ConnectionNumber connection = d.find(RelayActionKind::Send)->connection;
    d.actions.clear();
    SUBCASE("bytes were sent")
    {
        d.queue.onClosed(connection, true, Millis(5), d.actions);
        REQUIRE(d.find(RelayActionKind::Report));
        CHECK(d.find(RelayActionKind::Report)->outcome.verdict == Verdict::MayHaveRun);
    }
    SUBCASE("nothing was sent")
    {
        d.queue.onClosed(connection, false, Millis(5), d.actions);
        CHECK(d.find(RelayActionKind::Report) == nullptr);
        CHECK(d.count(RelayActionKind::Send) == 1);
    }
}

TEST_CASE("a cancelled request that is not repeatable runs to its end once it was sent")
{
    QueueDriver d;
    const WorkKey sent = d.submit(Millis(0), Millis(300), false);
    d.submit(Millis(0), Millis(300), false);
    const WorkKey queued = d.submit(Millis(0), Millis(300), false);
    d.actions.clear();
    d.queue.cancel(sent, Millis(5), d.actions);
    CHECK(d.actions.empty());
    d.queue.cancel(queued, Millis(5), d.actions);
    REQUIRE(d.actions.size() == 1);
    CHECK(d.actions[0].outcome.verdict == Verdict::NotRun);
}

TEST_CASE("if a new connection answers and old ones do not, the old ones are retired as silent")
{
    QueueDriver d;
    d.submit(Millis(0), Millis(900));
    d.actions.clear();
    d.queue.onTimer(d.queue.nextTimer(), d.actions);
    const Millis silenceCheckStart(60);
    REQUIRE(d.count(RelayActionKind::Probe) == 1);
    REQUIRE(d.find(RelayActionKind::Open));
    const ConnectionNumber fresh = d.find(RelayActionKind::Open)->connection;
    d.actions.clear();
    d.queue.onConnected(fresh, silenceCheckStart + Millis(6), d.actions);
    d.queue.onProbeReply(fresh, silenceCheckStart + Millis(8), d.actions);
    d.actions.clear();
    d.queue.onTimer(d.queue.nextTimer(), d.actions);
    REQUIRE(d.find(RelayActionKind::Report));
    CHECK(d.find(RelayActionKind::Report)->outcome.code == Fault::SilentConnection);
    CHECK(d.find(RelayActionKind::Report)->outcome.verdict == Verdict::MayHaveRun);
    CHECK(d.queue.silentConnections() >= 2);
}

TEST_CASE("no connection is considered silent if an old idle connection answers its probe")
{
    QueueDriver d;
    d.submit(Millis(0), Millis(900));
    d.actions.clear();
    d.queue.onTimer(d.queue.nextTimer(), d.actions);
    const ConnectionNumber old = d.find(RelayActionKind::Probe)->connection;
    const ConnectionNumber fresh = d.find(RelayActionKind::Open)->connection;
    d.queue.onProbeReply(old, Millis(61), d.actions);
    d.queue.onConnected(fresh, Millis(66), d.actions);
    d.queue.onProbeReply(fresh, Millis(68), d.actions);
    CHECK(d.find(RelayActionKind::Report) == nullptr);
    CHECK(d.queue.silentConnections() == 0);
}

TEST_CASE("a draining searcher gets no new work, and queued work is refused after a pause of the "
          "process")
{
    QueueDriver d;
    for (int i = 0; i < 3; ++i)
        d.submit(Millis(0), Millis(5000));
    d.actions.clear();
    SUBCASE("drain")
    {
        d.queue.setDraining(true, Millis(10), d.actions);
        REQUIRE(d.find(RelayActionKind::Report));
        CHECK(d.find(RelayActionKind::Report)->outcome.code == Fault::Draining);
        d.actions.clear();
        d.submit(Millis(11), Millis(5000));
        CHECK(d.find(RelayActionKind::Send) == nullptr);
    }
    SUBCASE("pause")
    {
        d.queue.onPaused(Millis(3000), d.actions);
        REQUIRE(d.find(RelayActionKind::Report));
        CHECK(d.find(RelayActionKind::Report)->outcome.code == Fault::ProcessPaused);
        CHECK(d.find(RelayActionKind::Report)->outcome.verdict == Verdict::NotRun);
    }
}

TEST_CASE("while a searcher refuses connections, new work for it is refused at once")
{
    SearcherQueue queue({ 2, 25, Millis(6) }, RelayOptions());
    RelayActions actions;
    queue.submit({ { { 1 }, { { 1 }, 0 } }, Millis(300), true }, Millis(0), actions);
    std::vector<ConnectionNumber> opened;
    for (const RelayAction &action : actions) {
        if (action.kind == RelayActionKind::Open)
            opened.push_back(action.connection);
    }
    for (const ConnectionNumber number : opened)
        queue.onConnectFailed(number, Millis(1), actions);
    actions.clear();
    queue.submit({ { { 1 }, { { 2 }, 0 } }, Millis(300), true }, Millis(2), actions);
    REQUIRE(actions.size() == 1);
    CHECK(actions[0].outcome.code == Fault::ConnectFailed);
    CHECK(actions[0].outcome.verdict == Verdict::NotRun);
}
