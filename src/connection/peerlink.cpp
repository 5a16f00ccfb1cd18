#include "connection/peerlink.h"

#include "process/eventlog.h"
#include "process/heartbeatcheck.h"
#include "quetzal/steadyclock.h"
#include "version/codec.h"
#include "version/registrationcheck.h"

#include <algorithm>
#include <array>
#include <vector>

#include <Poco/Net/NetException.h>

namespace quetzal {

// Assumed round trip to a peer before the first measurement.
static constexpr Millis initialRoundTrip = Millis(10);
// Largest payload of a UDP datagram over IPv4.
static constexpr std::size_t maxDatagramBytes = 65'507;
static constexpr std::size_t maxStreamFrameBytes = 16'777'216;
static constexpr std::size_t lengthPrefixBytes = 4;
static constexpr int listenBacklog = 128;
static constexpr int socketReceiveBufferBytes = 4'194'304;

// Handles events of the UDP socket.
class PeerLink::DatagramHandler final : public EventHandler
{
public:
    explicit DatagramHandler(PeerLink &link)
        : link(link)
    {}
    void onReadable() override { this->link.readDatagrams(); }
    void onWritable() override {}
    void onSocketError() override {}

private:
    PeerLink &link;
};

// Handles events of the listening TCP socket.
class PeerLink::AcceptHandler final : public EventHandler
{
public:
    explicit AcceptHandler(PeerLink &link)
        : link(link)
    {}
    void onReadable() override { this->link.acceptStream(); }
    void onWritable() override {}
    void onSocketError() override {}

private:
    PeerLink &link;
};

// A TCP connection that carries frames, each after its length as a 4-byte big-endian number.
class PeerLink::Stream : public std::enable_shared_from_this<PeerLink::Stream>
{
public:
    explicit Stream(PeerLink &link)
        : link(link)
    {}

    void connect(const Poco::Net::SocketAddress &address)
    {
        this->tcp = TcpStream::connect(this->link.loop, address, this->callbacks());
    }

    void accept(const Poco::Net::StreamSocket &socket)
    {
        this->tcp = TcpStream::accept(this->link.loop, socket, this->callbacks());
    }

    void send(const std::string &frame)
    {
        std::array<char, lengthPrefixBytes> length = {};
        for (std::size_t i = 0; i < lengthPrefixBytes; ++i)
            length[i] = static_cast<char>(frame.size() >> (8 * (lengthPrefixBytes - 1 - i)));
        this->tcp->write({ length.data(), length.size() });
        this->tcp->write(frame);
    }

    bool isOpen() const { return this->tcp && this->tcp->isOpen(); }
    void close() { this->tcp->close(); }

private:
    StreamCallbacks callbacks()
    {
        const std::weak_ptr<Stream> weak = this->weak_from_this();
        StreamCallbacks callbacks;
        callbacks.onData = [weak](std::string_view data) {
            if (const auto self = weak.lock())
                self->onData(data);
        };
        callbacks.onClosed = [weak] {
            if (const auto self = weak.lock())
                self->link.incomingStreams.erase(self);
        };
        return callbacks;
    }

    void onData(std::string_view data)
    {
        this->buffer.append(data);
        while (this->buffer.size() >= lengthPrefixBytes) {
            std::size_t length = 0;
            for (std::size_t i = 0; i < lengthPrefixBytes; ++i)
                length = length << 8 | static_cast<unsigned char>(this->buffer[i]);
            if (length > maxStreamFrameBytes) {
                this->link.count.malformed += 1;
                this->tcp->close();
                this->link.incomingStreams.erase(this->shared_from_this());
                return;
            }
            if (this->buffer.size() < lengthPrefixBytes + length)
                return;
            const std::string frame = this->buffer.substr(lengthPrefixBytes, length);
            this->buffer.erase(0, lengthPrefixBytes + length);
            this->link.receive(frame);
        }
    }

    PeerLink &link;
    std::shared_ptr<TcpStream> tcp;
    std::string buffer;
};

PeerLink::PeerLink(EventLoop &loop, const std::string &address, HostId self,
                   Incarnation incarnation, KeyRing keys, PeerCallbacks callbacks)
    : loop(loop)
    , self(self)
    , incarnation(incarnation)
    , keys(std::move(keys))
    , callbacks(std::move(callbacks))
{
    const Poco::Net::SocketAddress localAddress(address);
    this->datagrams.bind(localAddress, true);
    this->datagrams.setBlocking(false);
    this->datagrams.setReceiveBufferSize(socketReceiveBufferBytes);
    this->acceptor.bind(localAddress, true);
    this->acceptor.listen(listenBacklog);
    this->acceptor.setBlocking(false);
    this->datagramHandler = std::make_shared<DatagramHandler>(*this);
    this->acceptHandler = std::make_shared<AcceptHandler>(*this);
    loop.add(this->datagrams, this->datagramHandler, false);
    loop.add(this->acceptor, this->acceptHandler, false);
}

PeerLink::~PeerLink()
{
    this->loop.remove(this->datagrams);
    this->loop.remove(this->acceptor);
}

PeerLink::Peer &PeerLink::peer(HostId id)
{
    Peer &entry = this->peers[id];
    if (!entry.channel)
        entry.channel = std::make_unique<Channel>(this->self, this->incarnation, initialRoundTrip);
    return entry;
}

void PeerLink::setAddress(HostId peer, const std::string &address)
{
    Peer &entry = this->peer(peer);
    if (address == entry.addressText)
        return;
    entry.addressText = address;
    entry.address = parseNumericAddress(address);
    if (!entry.address && !address.empty())
        this->drop(address, "address", "it is not an IP number and a port");
}

void PeerLink::setPeerIncarnation(HostId id, Incarnation peerIncarnation)
{
    Channel &channel = *this->peer(id).channel;
    if (channel.peerIncarnation().value == 0)
        channel.setPeerIncarnation(peerIncarnation);
}

void PeerLink::setIncarnation(Incarnation newIncarnation)
{
    this->incarnation = newIncarnation;
    for (auto &[id, entry] : this->peers)
        entry.channel = std::make_unique<Channel>(this->self, newIncarnation, initialRoundTrip);
}

void PeerLink::removePeer(HostId peer)
{
    const auto found = this->peers.find(peer);
    if (found == this->peers.end())
        return;
    if (found->second.stream)
        found->second.stream->close();
    this->peers.erase(found);
}

void PeerLink::transmitFrame(const Poco::Net::SocketAddress &address, const std::string &frame)
{
    try {
        this->datagrams.sendTo(frame.data(), static_cast<int>(frame.size()), address);
        this->count.datagramsSent += 1;
        this->count.bytesSent += frame.size();
    } catch (const Poco::Exception &) {
        // Treated as a lost datagram: the channel retransmits it.
        return;
    }
}

void PeerLink::transmitStream(HostId id, const std::string &frame)
{
    Peer &entry = this->peer(id);
    if (!entry.stream || !entry.stream->isOpen()) {
        entry.stream = std::make_shared<Stream>(*this);
        entry.stream->connect(*entry.address);
        this->count.streamsOpened += 1;
    }
    entry.stream->send(frame);
    this->count.bytesSent += frame.size();
}

void PeerLink::transmit(HostId id, const ChannelDatagram &datagram)
{
    const std::optional<Poco::Net::SocketAddress> &address = this->peer(id).address;
    if (!address)
        return;
    const std::string frame = this->keys.sign(FrameKind::Channel, encodeDatagram(datagram));
    if (datagram.payload.size() > maxDatagramPayloadBytes)
        this->transmitStream(id, frame);
    else
        this->transmitFrame(*address, frame);
}

void PeerLink::sendHeartbeat(HostId peer, const Heartbeat &heartbeat)
{
    const std::optional<Poco::Net::SocketAddress> &address = this->peer(peer).address;
    if (address)
        this->transmitFrame(*address, this->keys.sign(FrameKind::Heartbeat, encode(heartbeat)));
}

void PeerLink::send(HostId peer, std::string payload, Millis lifetime)
{
    const Millis now = SteadyClock::now();
    const ChannelDatagram datagram
            = this->peer(peer).channel->send(std::move(payload), now, now + lifetime);
    // Comes first, so that the message is retransmitted if this transmission fails.
    this->armTimer();
    this->transmit(peer, datagram);
}

void PeerLink::readDatagrams()
{
    std::array<char, maxDatagramBytes> buffer;
    // The loop handles other events before the remaining datagrams are read.
    static constexpr int maxDatagramsPerTurn = 256;
    for (int i = 0; i < maxDatagramsPerTurn; ++i) {
        Poco::Net::SocketAddress from;
        int size = 0;
        try {
            size = this->datagrams.receiveFrom(buffer.data(), static_cast<int>(buffer.size()),
                                               from);
        } catch (const Poco::Exception &) {
            // An ICMP error for a datagram sent earlier, such as port unreachable.
            continue;
        }
        if (size <= 0)
            return;
        this->receive({ buffer.data(), static_cast<std::size_t>(size) });
    }
}

void PeerLink::acceptStream()
{
    try {
        const auto stream = std::make_shared<Stream>(*this);
        stream->accept(this->acceptor.acceptConnection());
        this->incomingStreams.insert(stream);
    } catch (const Poco::Exception &) {
        return;
    }
}

void PeerLink::drop(const std::string &peer, std::string_view kind, const std::string &reason)
{
    this->count.malformed += 1;
    if (const auto suppressed = this->dropLog.admit(SteadyClock::now()))
        logEvent(LogEvent::PeerMessageDropped,
                 "peer=" + quotable(peer) + " kind=" + std::string(kind) + " reason=\"" + reason
                         + "\" suppressed=" + std::to_string(*suppressed));
}

void PeerLink::receive(std::string_view frame)
{
    const auto verified = this->keys.verify(frame);
    if (!verified) {
        this->drop("unknown", "frame", "it is malformed or its signature is invalid");
        return;
    }
    if (verified->kind == FrameKind::Heartbeat) {
        this->receiveHeartbeat(verified->body);
        return;
    }
    const auto datagram = decodeDatagram(verified->body);
    if (datagram)
        this->receiveDatagram(*datagram);
    else
        this->drop("unknown", "datagram", "it cannot be decoded");
}

void PeerLink::receiveHeartbeat(const std::string &body)
{
    auto heartbeat = decode<Heartbeat>(body);
    if (!heartbeat) {
        this->drop("unknown", "heartbeat", "it cannot be decoded");
        return;
    }
    const std::string senderProblem = memberProblem(heartbeat->sender);
    if (!senderProblem.empty()) {
        this->drop(heartbeat->sender.name, "heartbeat", senderProblem);
        return;
    }
    const std::string entryProblem = removeInvalidEntries(*heartbeat);
    if (!entryProblem.empty())
        this->drop(heartbeat->sender.name, "gossip", entryProblem);
    if (this->callbacks.onHeard)
        this->callbacks.onHeard(heartbeat->sender.id);
    this->callbacks.onHeartbeat(*heartbeat);
}

void PeerLink::receiveDatagram(const ChannelDatagram &datagram)
{
    const HostId from = datagram.header.from;
    if (from == this->self)
        return;
    Peer &entry = this->peer(from);
    const Millis now = SteadyClock::now();
    const Incarnation previousIncarnation = entry.channel->peerIncarnation();
    const Channel::ReceiveResult result = entry.channel->onReceive(datagram.header, now);
    if (previousIncarnation.value != 0 && entry.channel->peerIncarnation() > previousIncarnation)
        this->callbacks.onRestarted(from);
    if (this->callbacks.onHeard)
        this->callbacks.onHeard(from);
    if (result == Channel::ReceiveResult::Duplicate)
        this->count.duplicates += 1;
    if (result == Channel::ReceiveResult::WrongIncarnation)
        this->count.wrongIncarnation += 1;
    if (result == Channel::ReceiveResult::Deliver)
        this->callbacks.onMessage(from, datagram.payload);
    const auto current = this->peers.find(from);
    if (current == this->peers.end())
        return;
    // Posted so that one acknowledgement covers all messages received in this turn of the loop.
    if (current->second.channel->ackDue()) {
        this->loop.post([this, from] {
            const auto found = this->peers.find(from);
            if (found != this->peers.end() && found->second.channel->ackDue())
                this->transmit(from, found->second.channel->makeAck());
        });
    }
    this->checkResponsive(from, current->second, now);
    this->armTimer();
}

void PeerLink::armTimer()
{
    Millis next = Millis::never();
    for (const auto &[id, entry] : this->peers)
        next = std::min(next, entry.channel->nextTimer());
    if (next == this->timerAt)
        return;
    this->loop.cancel(this->timer);
    this->timerAt = next;
    if (next < Millis::never())
        this->timer = this->loop.schedule(next, [this] { this->onTimer(); });
}

void PeerLink::checkResponsive(HostId id, Peer &entry, Millis now)
{
    const bool unresponsive = entry.channel->isUnresponsive(now);
    if (unresponsive == entry.unresponsive)
        return;
    entry.unresponsive = unresponsive;
    if (!unresponsive) {
        this->callbacks.onResponsive(id);
        return;
    }
    // The stream may be half-open, its other end being closed: the next message opens a new one.
    if (entry.stream) {
        entry.stream->close();
        entry.stream.reset();
    }
    this->callbacks.onUnresponsive(id);
}

void PeerLink::onTimer()
{
    this->timerAt = Millis::never();
    const Millis now = SteadyClock::now();
    std::vector<HostId> ids;
    for (const auto &[id, entry] : this->peers)
        ids.push_back(id);
    // The other peers must not depend on this one.
    for (const HostId id : ids)
        this->loop.runContained("timer", [&] { this->retransmit(id, now); });
    this->armTimer();
}

void PeerLink::retransmit(HostId id, Millis now)
{
    for (const ChannelDatagram &datagram : this->peer(id).channel->onTimer(now)) {
        this->count.retransmissions += 1;
        this->transmit(id, datagram);
    }
    this->checkResponsive(id, this->peer(id), now);
}

PeerCounts PeerLink::counts() const
{
    return this->count;
}

std::size_t PeerLink::unacknowledged() const
{
    std::size_t total = 0;
    for (const auto &[id, entry] : this->peers)
        total += entry.channel->unacknowledged();
    return total;
}

} // namespace quetzal
