// What another host sends is used only as far as it is valid, and never ends the exchange of views.
#include "process/viewexchange.h"
#include "version/codec.h"

#include <algorithm>
#include <limits>

#include <Poco/Net/ServerSocket.h>
#include <doctest/doctest.h>

using namespace quetzal;

namespace {

constexpr std::uint64_t absurdRevision = std::uint64_t(1) << 62;

std::string withPort(const char *host, std::uint16_t port)
{
    return std::string(host) + ":" + std::to_string(port);
}

std::uint16_t freePort()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().port();
}

// An exchange on a loop of its own. Other hosts use the same ports at other loopback addresses.
struct Exchange
{
    Exchange()
    {
        this->settings.name = "host";
        this->settings.zone = "z";
        this->settings.viewAddress = withPort("127.0.0.1", freePort());
        this->settings.heartbeatAddress = withPort("127.0.0.1", freePort());
        ViewExchangeHooks hooks;
        hooks.isStoreHealthy = [this] { return this->storeHealthy; };
        hooks.feedStatus = [] { return FeedStatus(); };
        hooks.onFeedDoubted = [this] { ++this->doubts; };
        hooks.onMaxCallWaitChanged = [](Millis) {};
        hooks.onFleetCapacityChanged = [](double) {};
        hooks.onStandbyChanged = [](bool) {};
        hooks.onPeersChanged = [](const std::vector<MemberInfo> &) {};
        hooks.onMembersChanged = [this](const std::vector<MemberInfo> &members) {
            this->members.clear();
            for (const MemberInfo &member : members)
                this->members.push_back(member.name);
        };
        hooks.onMessage = [](HostId, const std::string &) {};
        hooks.onPeerLost = [](HostId) {};
        // The test does not confirm the view, so that a doubt because of its age would disturb it.
        this->settings.changeDeadline = Millis(60'000);
        this->exchange = std::make_unique<ViewExchange>(this->loop, this->settings, this->view,
                                                        std::move(hooks));
        this->exchange->start();
    }

    // Runs the loop until the condition holds, for at most the given time. Returns whether it does.
    bool runUntil(Millis span, const std::function<bool()> &condition)
    {
        const Millis end = SteadyClock::now() + span;
        while (!condition() && SteadyClock::now() < end)
            this->loop.runOnce();
        return condition();
    }

    void run(Millis span)
    {
        this->runUntil(span, [] { return false; });
    }

    bool knows(const std::string &name) const
    {
        return std::find(this->members.begin(), this->members.end(), name) != this->members.end();
    }

    EventLoop loop;
    GatewaySettings settings;
    ServingView view;
    bool storeHealthy = true;
    int doubts = 0;
    // The names of the other hosts that are alive.
    std::vector<std::string> members;
    std::unique_ptr<ViewExchange> exchange;
};

// Another host, whose heartbeats and views the test decides.
class OtherHost
{
public:
    OtherHost(Exchange &exchange, const char *ip, const std::string &name)
        : exchange(exchange)
    {
        const auto port = [](const std::string &address) {
            return Poco::Net::SocketAddress(address).port();
        };
        this->info.name = name;
        this->info.zone = "z";
        this->info.address = withPort(ip, port(exchange.settings.heartbeatAddress));
        this->info.id = { stableHash(this->info.address) };
        this->info.incarnation = { 1 };
        this->server = HttpServer::listen(
                exchange.loop,
                Poco::Net::SocketAddress(withPort(ip, port(exchange.settings.viewAddress))),
                HttpServerOptions(), [this](const std::shared_ptr<HttpExchange> &request) {
                    ++this->requests;
                    request->respond(200, {}, this->body, "application/octet-stream");
                });
        PeerCallbacks callbacks;
        callbacks.onHeartbeat = [this](const Heartbeat &heartbeat) {
            if (heartbeat.kind == HeartbeatKind::Ping)
                this->send(HeartbeatKind::Ack, heartbeat.sequence);
        };
        callbacks.onMessage = [](HostId, const std::string &) {};
        callbacks.onUnresponsive = [](HostId) {};
        callbacks.onResponsive = [](HostId) {};
        callbacks.onRestarted = [](HostId) {};
        this->link = std::make_unique<PeerLink>(
                exchange.loop, this->info.address, this->info.id, this->info.incarnation,
                KeyRing({ { 0, "quetzalchute-unkeyed" } }), std::move(callbacks));
        this->exchangeId = { stableHash(exchange.settings.heartbeatAddress) };
        this->link->setAddress(this->exchangeId, exchange.settings.heartbeatAddress);
    }

    void send(HeartbeatKind kind, std::uint64_t sequence,
              const std::vector<MemberInfo> &introductions = {},
              const std::vector<MemberUpdate> &updates = {})
    {
        Heartbeat heartbeat;
        heartbeat.kind = kind;
        heartbeat.sequence = sequence;
        heartbeat.sender = this->info;
        heartbeat.introductions = introductions;
        heartbeat.updates = updates;
        this->link->sendHeartbeat(this->exchangeId, heartbeat);
    }

    // Makes the host known to the exchange, at its present revision.
    void join()
    {
        for (int i = 0; i < 2; ++i) {
            this->send(HeartbeatKind::Ping, 1);
            this->exchange.run(Millis(50));
        }
    }

    void serve(const ViewDelta &delta) { this->body = encode(delta); }

    // Refuses all further calls for its view.
    void stopServing() { this->server->closeAll(); }

    MemberInfo info;
    std::string body;
    int requests = 0;

private:
    Exchange &exchange;
    HostId exchangeId;
    std::shared_ptr<HttpServer> server;
    std::unique_ptr<PeerLink> link;
};

SearcherRegistration registration(const std::string &id, std::uint64_t revision)
{
    SearcherRegistration result;
    result.id = id;
    result.pool = "s";
    result.address = "127.0.0.1:9";
    result.zone = "z";
    result.revision = revision;
    return result;
}

} // namespace

TEST_CASE("a member with an unusable address does not keep a host from asking others")
{
    Exchange host;
    OtherHost good(host, "127.0.0.2", "good");
    MemberInfo odd = good.info;
    odd.name = "odd";
    odd.address = "fd00::17:8080";
    odd.id = { stableHash(odd.address) };
    odd.revision = { 5 };
    good.send(HeartbeatKind::Ping, 1, { odd });
    host.run(Millis(1500));
    ViewDelta delta;
    delta.completeRevision = 5;
    good.serve(delta);
    good.info.revision = { 5 };
    good.join();
    CHECK(host.runUntil(Millis(3000), [&] { return host.view.revision() == 5; }));
    CHECK(host.loop.failureCount() == 0);
}

TEST_CASE("a host whose view cannot be decoded is not asked again at once, and others are")
{
    Exchange host;
    OtherHost newer(host, "127.0.0.2", "newer");
    newer.body = "not a view";
    newer.info.revision = { 5 };
    newer.join();
    host.run(Millis(4000));
    CHECK(newer.requests >= 1);
    CHECK(newer.requests <= 2);
    OtherHost good(host, "127.0.0.3", "good");
    ViewDelta delta;
    delta.completeRevision = 5;
    good.serve(delta);
    good.info.revision = { 5 };
    good.join();
    CHECK(host.runUntil(Millis(2000), [&] { return host.view.revision() == 5; }));
}

TEST_CASE("a revision that a host claims but does not have is not asked for again and again")
{
    Exchange host;
    OtherHost faulty(host, "127.0.0.2", "faulty");
    faulty.info.revision = { absurdRevision };
    faulty.serve(ViewDelta());
    faulty.join();
    host.run(Millis(4000));
    CHECK(faulty.requests >= 1);
    CHECK(faulty.requests <= 2);
    // Each doubt gives up the call that waits for the store's changes.
    CHECK(host.doubts <= 2);
    OtherHost good(host, "127.0.0.3", "good");
    ViewDelta delta;
    delta.completeRevision = 5;
    good.serve(delta);
    good.info.revision = { 5 };
    good.join();
    CHECK(host.runUntil(Millis(2000), [&] { return host.view.revision() == 5; }));
}

TEST_CASE("hosts that refuse calls do not keep the feed from waiting for its source")
{
    Exchange host;
    OtherHost other(host, "127.0.0.2", "other");
    other.stopServing();
    other.info.revision = { 5 };
    other.join();
    host.run(Millis(5000));
    CHECK(host.doubts >= 1);
    // A source that needs a second for an answer is heard at least once.
    CHECK(host.doubts <= 3);
}

TEST_CASE("tables with values that no program knows are not taken from another host")
{
    Exchange host;
    OtherHost newer(host, "127.0.0.2", "newer");
    ViewDelta delta;
    delta.completeRevision = 5;
    delta.tables.emplace();
    delta.tables->revision = { 5 };
    delta.tables->routes.emplace_back();
    delta.tables->routes[0].priority = static_cast<Priority>(77);
    newer.serve(delta);
    newer.info.revision = { 5 };
    newer.join();
    host.run(Millis(2000));
    CHECK(newer.requests >= 1);
    CHECK(host.view.tables() == nullptr);
    // Not complete, so that the host goes on to ask others.
    CHECK(host.view.revision() == 0);
}

// Guards against a host that starts after a restore with the tables of the copy.
TEST_CASE("tables that a restored store has lost are taken from a host that is not ahead")
{
    Exchange host;
    host.view.applyListing({}, StorePosition{ 2, 5 }.packed(), SteadyClock::now());
    OtherHost other(host, "127.0.0.2", "other");
    ViewDelta delta;
    delta.completeRevision = host.view.revision();
    delta.tables.emplace();
    delta.tables->revision = { 7 };
    other.serve(delta);
    other.info.revision = { host.view.revision() };
    other.join();
    CHECK(host.runUntil(Millis(2000), [&] { return host.view.tablesRevision().value == 7; }));
    host.run(Millis(1500));
    CHECK(other.requests <= 3);
}

TEST_CASE("an invalid registration in the view of another host is dropped alone")
{
    Exchange host;
    OtherHost other(host, "127.0.0.2", "other");
    ViewDelta delta;
    delta.completeRevision = 5;
    delta.registrations
            = { registration("odd", 3), registration("unknown", 4), registration("good", 5) };
    delta.registrations[0].address = "fd00::17:8080";
    delta.registrations[1].state = static_cast<SearcherState>(77);
    other.serve(delta);
    other.info.revision = { 5 };
    other.join();
    REQUIRE(host.runUntil(Millis(3000), [&] { return host.view.revision() == 5; }));
    CHECK(host.view.directory().liveCount() == 1);
    const auto &records = host.view.directory().records();
    REQUIRE(records.contains("good"));
    CHECK(records.at("good").registration.state == SearcherState::Ready);
    for (const auto &[id, record] : records)
        CHECK((id == "good" || record.registration.state == SearcherState::Gone));
}

TEST_CASE("an invalid member in a heartbeat is dropped alone")
{
    Exchange host;
    OtherHost good(host, "127.0.0.2", "good");
    OtherHost reporter(host, "127.0.0.3", "reporter");
    good.join();
    reporter.join();
    REQUIRE(host.knows("good"));
    MemberInfo third = good.info;
    third.name = "third";
    third.address = withPort("127.0.0.4", 9);
    third.id = { stableHash(third.address) };
    MemberInfo odd = third;
    odd.name = "odd";
    odd.id = { 17 };
    SUBCASE("unknown state")
    {
        odd.state = static_cast<MemberState>(77);
    }
    SUBCASE("capacity that is not a number")
    {
        odd.capacity = std::numeric_limits<float>::quiet_NaN();
    }
    SUBCASE("address that is none")
    {
        odd.address = "fd00::17:8080";
    }
    SUBCASE("incarnation that cannot be exceeded")
    {
        odd.incarnation = { std::numeric_limits<std::uint64_t>::max() };
    }
    // Takes precedence over every valid state of the host, so no refutation could follow it.
    const MemberUpdate oddState
            = { good.info.id, good.info.incarnation, 0, static_cast<MemberState>(77) };
    const MemberUpdate oddIncarnation
            = { good.info.id, { std::numeric_limits<std::uint64_t>::max() }, 0, MemberState::Dead };
    reporter.send(HeartbeatKind::Ping, 2, { odd, third }, { oddState, oddIncarnation });
    CHECK(host.runUntil(Millis(300), [&] { return host.knows("third"); }));
    CHECK(host.knows("good"));
    CHECK_FALSE(host.knows("odd"));
    CHECK(host.loop.failureCount() == 0);
}

TEST_CASE("an absurd revision in the view of another host does not keep later changes out"
          * doctest::may_fail())
{
    Exchange host;
    OtherHost faulty(host, "127.0.0.2", "faulty");
    ViewDelta delta;
    delta.completeRevision = absurdRevision;
    delta.tables.emplace();
    delta.tables->revision = { absurdRevision };
    faulty.serve(delta);
    faulty.info.revision = { absurdRevision };
    faulty.join();
    host.run(Millis(2000));
    // What the store's feed does.
    host.view.applyListing({ registration("good", 9) }, 10, SteadyClock::now(), {}, false);
    RoutingTables tables;
    tables.revision = { 10 };
    CHECK(host.view.applyTables(std::move(tables)));
    CHECK(host.view.directory().liveCount() == 1);
}
