// Reliable messages between two hosts over datagrams that may be lost, doubled or late.
#pragma once

#include "quetzal/ids.h"
#include "quetzal/millis.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzal {

// The longest message that is sent as one datagram; longer ones go over TCP.
inline constexpr std::size_t maxDatagramPayloadBytes = 1200;

// The part of each datagram that the channel reads and writes.
struct ChannelHeader
{
    HostId from;
    Incarnation fromIncarnation;
    // The life of the receiver that is meant; zero while it is unknown.
    Incarnation toIncarnation;
    // Zero for a datagram that only acknowledges.
    std::uint64_t sequenceNumber = 0;
    // All numbers up to this one have arrived at the sender of this datagram.
    std::uint64_t ackUpTo = 0;
    // Bit i: number ackUpTo + 2 + i has arrived too.
    std::uint64_t ackBits = 0;
    // The life of the receiver whose numbers are acknowledged.
    Incarnation ackIncarnation;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->from, this->fromIncarnation, this->toIncarnation, this->sequenceNumber,
                this->ackUpTo, this->ackBits, this->ackIncarnation);
    }
};

// A datagram to put on the wire.
struct ChannelDatagram
{
    ChannelHeader header;
    std::string payload;
};

// One direction pair between this host and one peer.
//
// Each message has a number and is retransmitted, timed from the measured round trip, until it is
// acknowledged or expires. The receiver delivers each number of a sender's life once and accepts
// only messages meant for its own life, so a restarted receiver never runs a retransmission.
// Takes events with a time; keeps no clock and no socket.
class Channel
{
public:
    Channel(HostId self, Incarnation ownIncarnation, Millis firstRoundTrip);

    // Queues a message that is given up at expiry, and returns the datagram to send.
    ChannelDatagram send(std::string payload, Millis now, Millis expiry);

    // What to do with a received datagram.
    enum class ReceiveResult { Deliver, Duplicate, AckOnly, WrongIncarnation };

    ReceiveResult onReceive(const ChannelHeader &header, Millis now);

    // Returns an acknowledgement if one is owed since the last datagram sent, else nothing.
    bool ackDue() const { return this->ackPending; }
    ChannelDatagram makeAck();

    // Returns the datagrams to send again. Expired messages are dropped and counted.
    std::vector<ChannelDatagram> onTimer(Millis now);
    Millis nextTimer() const;

    // Sets the peer's life as learned from membership or from a datagram. Returns true if it
    // replaced an earlier life; messages to that one are dropped.
    bool setPeerIncarnation(Incarnation incarnation);
    Incarnation peerIncarnation() const { return this->knownPeerIncarnation; }

    // True if messages stay unanswered for longer than any round trip explains.
    bool isUnresponsive(Millis now) const;

    // Returns for how long the oldest message has not been acknowledged.
    Millis unacknowledgedFor(Millis now) const;

    Millis roundTrip() const { return this->smoothedRoundTrip; }
    std::size_t unacknowledged() const { return this->outgoing.size(); }
    std::uint64_t retransmissions() const { return this->retransmitted; }

private:
    struct Outgoing
    {
        std::string payload;
        Millis firstSentAt;
        Millis sentAt;
        Millis expiry;
        int tries = 1;
    };

    ChannelHeader header(std::uint64_t number) const;
    void acknowledge(const ChannelHeader &header, Millis now);
    void acknowledgeOne(std::uint64_t number, Millis now);
    void addRoundTripSample(Millis sample);
    Millis retransmitTimeout(const Outgoing &message) const;
    bool markReceived(std::uint64_t number);

    HostId self;
    Incarnation selfIncarnation;
    Incarnation knownPeerIncarnation;
    std::uint64_t lastSequenceNumber = 0;
    std::map<std::uint64_t, Outgoing> outgoing;
    // Receiving side: numbers of the peer's current life.
    std::uint64_t receivedUpTo = 0;
    std::set<std::uint64_t> receivedAbove;
    bool ackPending = false;
    Millis smoothedRoundTrip;
    Millis roundTripDeviation;
    bool hasRoundTripSample = false;
    std::uint64_t retransmitted = 0;
};

} // namespace quetzal
