// The link to other hosts goes on whatever its owner does with what it reports.
#include "connection/peerlink.h"
#include "handlerfailures.h"
#include "quetzal/steadyclock.h"

#include <stdexcept>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <doctest/doctest.h>
#include <sys/resource.h>

using namespace quetzal;

namespace {

std::string freeAddress()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().toString();
}

PeerCallbacks noCallbacks()
{
    PeerCallbacks callbacks;
    callbacks.onHeartbeat = [](const Heartbeat &) {};
    callbacks.onMessage = [](HostId, const std::string &) {};
    callbacks.onUnresponsive = [](HostId) {};
    callbacks.onResponsive = [](HostId) {};
    callbacks.onRestarted = [](HostId) {};
    return callbacks;
}

void run(EventLoop &loop, Millis span)
{
    const Millis end = SteadyClock::now() + span;
    while (SteadyClock::now() < end)
        loop.runOnce();
}

} // namespace

TEST_CASE("messages are retransmitted after the owner has failed to handle an unresponsive peer")
{
    EventLoop loop;
    bool failed = false;
    PeerCallbacks callbacks = noCallbacks();
    callbacks.onUnresponsive = [&failed](HostId) {
        failed = true;
        expectedHandlerFailures += 1;
        throw std::runtime_error("test");
    };
    PeerLink link(loop, freeAddress(), { 1 }, { 1 }, KeyRing({ { 0, "secret" } }),
                  std::move(callbacks));
    // Receives, but never acknowledges.
    const Poco::Net::DatagramSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    link.setAddress({ 2 }, silent.address().toString());
    link.send({ 2 }, "message", Millis(3000));
    run(loop, Millis(800));
    REQUIRE(failed);
    const std::uint64_t before = link.counts().retransmissions;
    run(loop, Millis(1200));
    // At least one in each longest time-out of 250 ms, less one.
    CHECK(link.counts().retransmissions - before >= 3);
}

TEST_CASE("a peer with an unusable address does not keep messages from other peers")
{
    EventLoop loop;
    const std::string address = freeAddress();
    int received = 0;
    PeerCallbacks callbacks = noCallbacks();
    callbacks.onMessage = [&received](HostId, const std::string &) { ++received; };
    PeerLink receiver(loop, address, { 2 }, { 1 }, KeyRing({ { 0, "secret" } }),
                      std::move(callbacks));
    const std::string senderAddress = freeAddress();
    PeerLink link(loop, senderAddress, { 1 }, { 1 }, KeyRing({ { 0, "secret" } }), noCallbacks());
    receiver.setAddress({ 1 }, senderAddress);
    link.setAddress({ 2 }, address);
    link.setAddress({ 3 }, "fd00::17:8080");
    // Sent over TCP.
    const std::string large(5000, 'x');
    CHECK_NOTHROW(link.send({ 3 }, large, Millis(2000)));
    link.send({ 2 }, large, Millis(2000));
    run(loop, Millis(1500));
    CHECK(received == 1);
    CHECK(loop.failureCount() == 0);
}

TEST_CASE("a message that finds no free file descriptor is sent again")
{
    EventLoop loop;
    const std::string address = freeAddress();
    const std::string senderAddress = freeAddress();
    int received = 0;
    PeerCallbacks callbacks = noCallbacks();
    callbacks.onMessage = [&received](HostId, const std::string &) { ++received; };
    PeerLink receiver(loop, address, { 2 }, { 1 }, KeyRing({ { 0, "secret" } }),
                      std::move(callbacks));
    PeerLink link(loop, senderAddress, { 1 }, { 1 }, KeyRing({ { 0, "secret" } }), noCallbacks());
    receiver.setAddress({ 1 }, senderAddress);
    link.setAddress({ 2 }, address);
    rlimit limit = {};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
    rlimit exhausted = limit;
    exhausted.rlim_cur = 3;
    REQUIRE(setrlimit(RLIMIT_NOFILE, &exhausted) == 0);
    // Sent over TCP.
    CHECK_NOTHROW(link.send({ 2 }, std::string(5000, 'x'), Millis(3000)));
    REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
    run(loop, Millis(1500));
    CHECK(received == 1);
}
