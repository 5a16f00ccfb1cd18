#include "connection/channel.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

static constexpr Millis minRetransmitTimeout = Millis(3);
static constexpr Millis maxRetransmitTimeout = Millis(250);
// For messages sent over TCP.
static constexpr Millis streamRetransmitTimeout = Millis(300);
// Factor by which the time-out grows with each retransmission.
static constexpr double backoffFactor = 1.5;
// Weights of a new sample in the moving averages.
static constexpr double roundTripGain = 0.125;
static constexpr double deviationGain = 0.25;
// Received sequence numbers are tracked up to this distance above receivedUpTo. If a number is
// further ahead, the messages missing below the window have expired, and receivedUpTo advances.
static constexpr std::uint64_t receiveWindow = 4096;
static constexpr int ackBitCount = 64;
// A peer is unresponsive if a message is unacknowledged for this many round trips and for at least
// the minimum time.
static constexpr double unresponsiveRoundTrips = 8;
static constexpr Millis minUnresponsiveTime = Millis(150);
// Extra time for messages sent over TCP, which are acknowledged only once received completely.
static constexpr Millis streamExtraTime = Millis(600);

Channel::Channel(HostId self, Incarnation selfIncarnation, Millis initialRoundTrip)
    : self(self)
    , selfIncarnation(selfIncarnation)
    , smoothedRoundTrip(initialRoundTrip)
    , roundTripDeviation(initialRoundTrip / 2)
{}

ChannelHeader Channel::header(std::uint64_t number) const
{
    ChannelHeader header;
    header.from = this->self;
    header.fromIncarnation = this->selfIncarnation;
    header.toIncarnation = this->knownPeerIncarnation;
    header.sequenceNumber = number;
    header.ackUpTo = this->receivedUpTo;
    header.ackIncarnation = this->knownPeerIncarnation;
    for (const std::uint64_t received : this->receivedAbove) {
        const std::uint64_t offset = received - this->receivedUpTo - 2;
        if (offset >= ackBitCount)
            break;
        header.ackBits |= std::uint64_t(1) << offset;
    }
    return header;
}

ChannelDatagram Channel::send(std::string payload, Millis now, Millis expiry)
{
    const std::uint64_t number = ++this->lastSequenceNumber;
    this->outgoing[number] = { payload, now, now, expiry, 1 };
    this->ackPending = false;
    return { this->header(number), std::move(payload) };
}

ChannelDatagram Channel::makeAck()
{
    this->ackPending = false;
    return { this->header(0), {} };
}

bool Channel::setPeerIncarnation(Incarnation incarnation)
{
    if (incarnation <= this->knownPeerIncarnation)
        return false;
    const bool replaced = this->knownPeerIncarnation.value != 0;
    this->knownPeerIncarnation = incarnation;
    this->receivedUpTo = 0;
    this->receivedAbove.clear();
    if (replaced)
        this->outgoing.clear();
    // Messages sent before the peer's incarnation was known were rejected: they are due at once.
    for (auto &[number, message] : this->outgoing)
        message.sentAt = Millis(-maxRetransmitTimeout.count());
    return replaced;
}

Channel::ReceiveResult Channel::onReceive(const ChannelHeader &header, Millis now)
{
    // Datagrams of an earlier incarnation of the peer are ignored.
    if (header.fromIncarnation < this->knownPeerIncarnation)
        return ReceiveResult::WrongIncarnation;
    this->setPeerIncarnation(header.fromIncarnation);
    if (header.ackIncarnation == this->selfIncarnation)
        this->acknowledge(header, now);
    if (header.sequenceNumber == 0)
        return ReceiveResult::AckOnly;
    // The sender does not know our current incarnation. It learns it from the acknowledgement and
    // sends the message again.
    if (header.toIncarnation != this->selfIncarnation) {
        this->ackPending = true;
        return ReceiveResult::WrongIncarnation;
    }
    this->ackPending = true;
    return this->markReceived(header.sequenceNumber) ? ReceiveResult::Deliver
                                                     : ReceiveResult::Duplicate;
}

bool Channel::markReceived(std::uint64_t number)
{
    if (number <= this->receivedUpTo || this->receivedAbove.contains(number))
        return false;
    this->receivedAbove.insert(number);
    const bool tooFarAhead = number > this->receivedUpTo + receiveWindow;
    if (tooFarAhead)
        this->receivedUpTo = number - receiveWindow;
    auto next = this->receivedAbove.begin();
    while (next != this->receivedAbove.end() && *next <= this->receivedUpTo + 1) {
        this->receivedUpTo = std::max(this->receivedUpTo, *next);
        next = this->receivedAbove.erase(next);
    }
    return true;
}

void Channel::acknowledge(const ChannelHeader &header, Millis now)
{
    while (!this->outgoing.empty() && this->outgoing.begin()->first <= header.ackUpTo)
        this->acknowledgeOne(this->outgoing.begin()->first, now);
    for (int bit = 0; bit < ackBitCount; ++bit) {
        if (header.ackBits & (std::uint64_t(1) << bit))
            this->acknowledgeOne(header.ackUpTo + 2 + static_cast<std::uint64_t>(bit), now);
    }
}

void Channel::acknowledgeOne(std::uint64_t number, Millis now)
{
    const auto found = this->outgoing.find(number);
    if (found == this->outgoing.end())
        return;
    // After a retransmission it is unknown which copy was acknowledged (Karn's algorithm).
    if (found->second.tries == 1)
        this->addRoundTripSample(now - found->second.sentAt);
    this->outgoing.erase(found);
}

void Channel::addRoundTripSample(Millis sample)
{
    if (!this->hasRoundTripSample) {
        this->smoothedRoundTrip = sample;
        this->roundTripDeviation = sample / 2;
        this->hasRoundTripSample = true;
        return;
    }
    const Millis error(std::abs((sample - this->smoothedRoundTrip).count()));
    this->roundTripDeviation
            = this->roundTripDeviation * (1 - deviationGain) + error * deviationGain;
    this->smoothedRoundTrip
            = this->smoothedRoundTrip * (1 - roundTripGain) + sample * roundTripGain;
}

Millis Channel::retransmitTimeout(const Outgoing &message) const
{
    // A large message is sent over TCP, which retransmits lost segments itself.
    if (message.payload.size() > maxDatagramPayloadBytes)
        return streamRetransmitTimeout;
    const Millis base = this->smoothedRoundTrip + std::max(Millis(1), this->roundTripDeviation * 4);
    const double factor = std::pow(backoffFactor, message.tries - 1);
    return std::clamp(base * factor, minRetransmitTimeout, maxRetransmitTimeout);
}

std::vector<ChannelDatagram> Channel::onTimer(Millis now)
{
    std::vector<ChannelDatagram> datagrams;
    std::erase_if(this->outgoing, [now](const auto &entry) { return entry.second.expiry <= now; });
    for (auto &[number, message] : this->outgoing) {
        if (message.sentAt + this->retransmitTimeout(message) > now)
            continue;
        message.sentAt = now;
        message.tries += 1;
        this->retransmitted += 1;
        datagrams.push_back({ this->header(number), message.payload });
    }
    return datagrams;
}

Millis Channel::nextTimer() const
{
    Millis next = Millis::never();
    for (const auto &[number, message] : this->outgoing)
        next = std::min(
                { next, message.sentAt + this->retransmitTimeout(message), message.expiry });
    return next;
}

Millis Channel::unacknowledgedFor(Millis now) const
{
    Millis longest;
    for (const auto &[number, message] : this->outgoing)
        longest = std::max(longest, now - message.firstSentAt);
    return longest;
}

bool Channel::isUnresponsive(Millis now) const
{
    const Millis limit
            = std::max(minUnresponsiveTime, this->smoothedRoundTrip * unresponsiveRoundTrips);
    return std::any_of(this->outgoing.begin(), this->outgoing.end(), [&](const auto &entry) {
        const bool isLarge = entry.second.payload.size() > maxDatagramPayloadBytes;
        return now - entry.second.firstSentAt > limit + (isLarge ? streamExtraTime : Millis(0));
    });
}

} // namespace quetzal
