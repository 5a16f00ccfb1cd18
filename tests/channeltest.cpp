// The channel between two hosts: each message is delivered once despite loss, duplicates and
// restarts. Also the signatures of frames.
#include "connection/channel.h"
#include "connection/frame.h"

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

// The two ends of a channel, which know each other's incarnations: hosts 1 and 2 in incarnations 10
// and 20, with an initial round-trip time of 8 ms.
struct ConnectedPair
{
    Channel one{ { 1 }, { 10 }, Millis(8) };
    Channel two{ { 2 }, { 20 }, Millis(8) };

    ConnectedPair()
    {
        this->one.setPeerIncarnation({ 20 });
        this->two.setPeerIncarnation({ 10 });
    }
};

} // namespace

TEST_CASE("a duplicated datagram is delivered once")
{
    ConnectedPair p;
    const ChannelDatagram sent = p.one.send("work", Millis(0), Millis(100));
    CHECK(p.two.onReceive(sent.header, Millis(4)) == Channel::ReceiveResult::Deliver);
    CHECK(p.two.onReceive(sent.header, Millis(5)) == Channel::ReceiveResult::Duplicate);
}

TEST_CASE("a lost datagram is retransmitted until it is acknowledged or expires")
{
    ConnectedPair p;
    p.one.send("work", Millis(0), Millis(500));
    const Millis due = p.one.nextTimer();
    const auto retransmitted = p.one.onTimer(due);
    REQUIRE(retransmitted.size() == 1);
    CHECK(p.two.onReceive(retransmitted[0].header, due + Millis(4))
          == Channel::ReceiveResult::Deliver);
    CHECK(p.two.ackDue());
    p.one.onReceive(p.two.makeAck().header, due + Millis(8));
    CHECK(p.one.unacknowledged() == 0);
    p.one.send("late", Millis(600), Millis(700));
    CHECK(p.one.onTimer(Millis(700)).empty());
    CHECK(p.one.unacknowledged() == 0);
}

TEST_CASE("a restarted receiver rejects a retransmission sent to its earlier incarnation")
{
    ConnectedPair p;
    const ChannelDatagram sent = p.one.send("work", Millis(0), Millis(500));
    Channel restarted({ 2 }, { 21 }, Millis(8));
    CHECK(restarted.onReceive(sent.header, Millis(9)) == Channel::ReceiveResult::WrongIncarnation);
    // The sender learns the new incarnation and drops the messages to the old one.
    p.one.onReceive(restarted.makeAck().header, Millis(13));
    CHECK(p.one.unacknowledged() == 0);
}

TEST_CASE("a first message, sent before the incarnation is known, is resent once it is known")
{
    Channel one{ { 1 }, { 10 }, Millis(8) };
    Channel two{ { 2 }, { 20 }, Millis(8) };
    const ChannelDatagram first = one.send("work", Millis(100), Millis(500));
    CHECK(two.onReceive(first.header, Millis(104)) == Channel::ReceiveResult::WrongIncarnation);
    one.onReceive(two.makeAck().header, Millis(108));
    CHECK(one.nextTimer() <= Millis(108));
    const auto retransmitted = one.onTimer(Millis(108));
    REQUIRE(retransmitted.size() == 1);
    CHECK(two.onReceive(retransmitted[0].header, Millis(112)) == Channel::ReceiveResult::Deliver);
}

TEST_CASE("datagrams of an earlier incarnation of the sender are rejected")
{
    ConnectedPair p;
    const ChannelDatagram old = p.one.send("work", Millis(0), Millis(500));
    Channel restarted({ 1 }, { 11 }, Millis(8));
    restarted.setPeerIncarnation({ 20 });
    const ChannelDatagram fresh = restarted.send("new", Millis(5), Millis(500));
    CHECK(p.two.onReceive(fresh.header, Millis(9)) == Channel::ReceiveResult::Deliver);
    CHECK(p.two.onReceive(old.header, Millis(10)) == Channel::ReceiveResult::WrongIncarnation);
}

TEST_CASE("a peer that does not acknowledge messages is unresponsive")
{
    ConnectedPair p;
    p.one.send("work", Millis(0), Millis(5000));
    CHECK_FALSE(p.one.isUnresponsive(Millis(100)));
    CHECK(p.one.isUnresponsive(Millis(400)));
}

TEST_CASE("altered frames and unknown keys are rejected, and previous keys are accepted")
{
    const KeyRing old({ { 1, "the-first-secret-key" } });
    const KeyRing rotating({ { 2, "the-second-secret-key" }, { 1, "the-first-secret-key" } });
    const KeyRing rotated({ { 2, "the-second-secret-key" } });
    const std::string frame = old.sign(FrameKind::Channel, "body");
    REQUIRE(rotating.verify(frame));
    CHECK(rotating.verify(frame)->body == "body");
    CHECK_FALSE(old.verify(rotating.sign(FrameKind::Heartbeat, "x")));
    CHECK_FALSE(rotated.verify(frame));
    for (std::size_t i = 0; i < frame.size(); ++i) {
        std::string altered = frame;
        altered[i] = static_cast<char>(altered[i] ^ 1);
        CHECK_FALSE(old.verify(altered));
        CHECK_FALSE(old.verify(frame.substr(0, i)));
    }
}
