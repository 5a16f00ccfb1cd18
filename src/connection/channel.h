// Reliable message delivery between two hosts over datagrams that may be lost, duplicated or
// reordered.
#pragma once

#include "quetzal/ids.h"
#include "quetzal/millis.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzal {

// Largest payload that is sent as one datagram; larger messages are sent over TCP.
inline constexpr std::size_t maxDatagramPayloadBytes = 1200;

// The protocol header of each datagram.
struct ChannelHeader
{
    HostId from;
    Incarnation fromIncarnation;
    // Incarnation of the intended receiver; zero if unknown.
    Incarnation toIncarnation;
    // Zero for a datagram that carries only an acknowledgement.
    std::uint64_t sequenceNumber = 0;
    // Cumulative acknowledgement: the sender has received every number up to this one.
    std::uint64_t ackUpTo = 0;
    // Selective acknowledgement: bit i is set if number ackUpTo + 2 + i has been received.
    std::uint64_t ackBits = 0;
    // Incarnation of the receiver that assigned the acknowledged sequence numbers.
    Incarnation ackIncarnation;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->from, this->fromIncarnation, this->toIncarnation, this->sequenceNumber,
                this->ackUpTo, this->ackBits, this->ackIncarnation);
    }
};

// A datagram with its header.
struct ChannelDatagram
{
    ChannelHeader header;
    std::string payload;
};

// Both directions of the message exchange between this host and one peer.
//
// Each message has a sequence number and is retransmitted, with a time-out derived from the
// measured round trip, until it is acknowledged or expires. The receiver delivers each number of a
// sender's incarnation once and accepts only messages addressed to its own incarnation, so a
// restarted receiver never processes a retransmission meant for its predecessor. The class is
// driven by events that carry their time; it has no clock and no socket.
class Channel
{
public:
    // initialRoundTrip is the estimate that is used until a round trip has been measured.
    Channel(HostId self, Incarnation selfIncarnation, Millis initialRoundTrip);

    // Stores a message for retransmission until its expiry, and returns the datagram to send.
    ChannelDatagram send(std::string payload, Millis now, Millis expiry);

    // How a received datagram is to be handled.
    enum class ReceiveResult { Deliver, Duplicate, AckOnly, WrongIncarnation };

    // Processes the header of a received datagram, including its acknowledgements.
    ReceiveResult onReceive(const ChannelHeader &header, Millis now);

    // True if an acknowledgement is due that no datagram has carried yet.
    bool ackDue() const { return this->ackPending; }

    // Returns a datagram that carries only an acknowledgement.
    ChannelDatagram makeAck();

    // Drops expired messages and returns the datagrams to retransmit.
    std::vector<ChannelDatagram> onTimer(Millis now);

    // Returns when onTimer is to be called next.
    Millis nextTimer() const;

    // Sets the peer's incarnation as learned from membership or from a datagram. Returns true if it
    // replaced an earlier one; messages addressed to that one are dropped.
    bool setPeerIncarnation(Incarnation incarnation);

    // Returns the peer's latest known incarnation; zero if unknown.
    Incarnation peerIncarnation() const { return this->knownPeerIncarnation; }

    // True if a message has been unacknowledged for longer than several round trips.
    bool isUnresponsive(Millis now) const;

    // Returns the age of the oldest unacknowledged message.
    Millis unacknowledgedFor(Millis now) const;

    // Returns the smoothed round-trip time.
    Millis roundTrip() const { return this->smoothedRoundTrip; }

    // Returns the number of unacknowledged messages.
    std::size_t unacknowledged() const { return this->outgoing.size(); }

    // Returns the number of retransmissions since construction.
    std::uint64_t retransmissions() const { return this->retransmitted; }

private:
    // An unacknowledged message.
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
    // Sequence numbers received from the peer's current incarnation: all up to receivedUpTo, and
    // those in receivedAbove.
    std::uint64_t receivedUpTo = 0;
    std::set<std::uint64_t> receivedAbove;
    bool ackPending = false;
    Millis smoothedRoundTrip;
    Millis roundTripDeviation;
    bool hasRoundTripSample = false;
    std::uint64_t retransmitted = 0;
};

} // namespace quetzal
