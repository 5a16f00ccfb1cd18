// Datagrams and streams between this host and its peers.
#pragma once

#include "connection/channel.h"
#include "connection/frame.h"
#include "connection/tcpstream.h"
#include "process/eventloop.h"
#include "process/loglimiter.h"
#include "process/membership.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

namespace quetzal {

// Notifications to the owner of a peer link.
struct PeerCallbacks
{
    std::function<void(const Heartbeat &)> onHeartbeat;
    // A message was received from the sender's current incarnation. Called once per message.
    std::function<void(HostId from, const std::string &payload)> onMessage;
    // Messages to the peer have been unacknowledged for longer than several round trips.
    std::function<void(HostId peer)> onUnresponsive;
    // A peer that was unresponsive has acknowledged its messages again.
    std::function<void(HostId peer)> onResponsive;
    // A datagram from a later incarnation of the peer was received.
    std::function<void(HostId peer)> onRestarted;
    // A heartbeat, a message or an acknowledgement of the peer was received.
    std::function<void(HostId peer)> onHeard;
};

// Counters of a peer link since its construction.
struct PeerCounts
{
    std::uint64_t datagramsSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t malformed = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t wrongIncarnation = 0;
    std::uint64_t retransmissions = 0;
    std::uint64_t streamsOpened = 0;
};

// Sends and receives heartbeats and channel messages: over UDP if they fit into a datagram, else
// over TCP. Used on its loop's thread only.
class PeerLink
{
public:
    // Throws Poco::Net::NetException if the address cannot be bound.
    PeerLink(EventLoop &loop, const std::string &address, HostId self, Incarnation incarnation,
             KeyRing keys, PeerCallbacks callbacks);
    ~PeerLink();

    // Sets the address of a peer, an IP number and a port. Nothing is sent to a peer without an
    // address or with any other text.
    void setAddress(HostId peer, const std::string &address);

    // Sets the incarnation of a peer if no datagram has stated one yet.
    void setPeerIncarnation(HostId peer, Incarnation incarnation);

    // Sends a heartbeat, unacknowledged and once.
    void sendHeartbeat(HostId peer, const Heartbeat &heartbeat);

    // Sends a message and retransmits it until it is acknowledged or its lifetime has passed.
    void send(HostId peer, std::string payload, Millis lifetime);

    // Starts a new incarnation of this host; messages of the previous one are dropped.
    void setIncarnation(Incarnation newIncarnation);

    // Removes a peer and its unacknowledged messages.
    void removePeer(HostId peer);

    // Notes that the process was paused until now, so that messages in the sockets may be old.
    void onPaused(Millis now) { this->pausedAt = now; }

    // True if a message that is received now may have waited in a socket during a pause.
    bool mayBeStale(Millis now) const { return now - this->pausedAt < stalePeriod; }

    // Time after a pause in which received messages may be stale.
    static constexpr Millis stalePeriod = Millis(50);

    // Returns half the smoothed round trip to the peer.
    Millis oneWayDelay(HostId peer) { return this->peer(peer).channel->roundTrip() / 2; }

    // Returns the age of the oldest unacknowledged message to the peer.
    Millis unacknowledgedFor(HostId peer, Millis now)
    {
        return this->peer(peer).channel->unacknowledgedFor(now);
    }

    PeerCounts counts() const;

    // Returns the number of unacknowledged messages to all peers.
    std::size_t unacknowledged() const;

private:
    // Time between two lines about dropped messages.
    static constexpr Millis dropLogPeriod = Millis(10'000);

    class DatagramHandler;
    class AcceptHandler;
    class Stream;

    struct Peer
    {
        std::unique_ptr<Channel> channel;
        std::string addressText;
        // The address that the text names, if it names one.
        std::optional<Poco::Net::SocketAddress> address;
        std::shared_ptr<Stream> stream;
        bool unresponsive = false;
    };

    // Returns the peer's state, which is created on first use.
    Peer &peer(HostId id);
    void transmit(HostId id, const ChannelDatagram &datagram);
    void transmitFrame(const Poco::Net::SocketAddress &address, const std::string &frame);
    void transmitStream(HostId id, const std::string &frame);
    void receive(std::string_view frame);
    void receiveHeartbeat(const std::string &body);
    // Counts and logs a message that is not used.
    void drop(const std::string &peer, std::string_view kind, const std::string &reason);
    void receiveDatagram(const ChannelDatagram &datagram);
    void readDatagrams();
    void acceptStream();
    void armTimer();
    void onTimer();
    // Sends a peer's messages again that are due.
    void retransmit(HostId id, Millis now);
    void checkResponsive(HostId id, Peer &entry, Millis now);

    EventLoop &loop;
    HostId self;
    Incarnation incarnation;
    KeyRing keys;
    PeerCallbacks callbacks;
    Poco::Net::DatagramSocket datagrams;
    Poco::Net::ServerSocket acceptor;
    std::shared_ptr<DatagramHandler> datagramHandler;
    std::shared_ptr<AcceptHandler> acceptHandler;
    std::unordered_map<HostId, Peer> peers;
    std::unordered_set<std::shared_ptr<Stream>> incomingStreams;
    PeerCounts count;
    LogLimiter dropLog = LogLimiter(dropLogPeriod);
    Millis pausedAt = Millis(-1e12);
    TimerId timer = 0;
    Millis timerAt = Millis::never();
};

} // namespace quetzal
