// The sockets between this host and its peers.
#pragma once

#include "connection/channel.h"
#include "connection/frame.h"
#include "connection/tcpstream.h"
#include "process/eventloop.h"
#include "process/membership.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>

namespace quetzal {

// What a peer link tells its owner.
struct PeerCallbacks
{
    std::function<void(const Heartbeat &)> onHeartbeat;
    // A message arrived, once, from the sender's current life.
    std::function<void(HostId from, const std::string &payload)> onMessage;
    // Messages to the peer stay unanswered for longer than any round trip explains.
    std::function<void(HostId peer)> onUnresponsive;
    // A peer that was unresponsive has acknowledged again.
    std::function<void(HostId peer)> onResponsive;
    // The peer was replaced by a later life.
    std::function<void(HostId peer)> onRestarted;
};

// Counts of what a link has seen.
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

// Sends heartbeats and channel messages: over UDP where they fit a datagram, else over TCP. Used
// on its loop's thread only.
class PeerLink
{
public:
    // Throws Poco::Net::NetException if the address cannot be bound.
    PeerLink(EventLoop &loop, const std::string &address, HostId self, Incarnation incarnation,
             KeyRing keys, PeerCallbacks callbacks);
    ~PeerLink();

    // Sets where a peer is reached.
    void setAddress(HostId peer, const std::string &address);

    // Sets the life of a peer that no datagram has told of yet.
    void setPeerIncarnation(HostId peer, Incarnation incarnation);

    void sendHeartbeat(HostId peer, const Heartbeat &heartbeat);

    // Sends a message that is given up after its lifetime.
    void send(HostId peer, std::string payload, Millis lifetime);

    // Begins a new life: messages of the old one are dropped.
    void setIncarnation(Incarnation next);

    // Forgets a peer with its unacknowledged messages.
    void removePeer(HostId peer);

    // The process was paused: messages that wait in the sockets are older than they look.
    void onPaused(Millis now) { this->pausedAt = now; }

    // True for messages that may have waited in a socket during a pause.
    bool mayBeStale(Millis now) const { return now - this->pausedAt < stalePeriod; }

    // After a pause, what arrives within this time may have waited in a socket.
    static constexpr Millis stalePeriod = Millis(50);

    // Returns half the measured round trip to the peer.
    Millis oneWayDelay(HostId peer) { return this->peer(peer).channel->roundTrip() / 2; }

    // Returns for how long the oldest message to the peer has not been acknowledged.
    Millis unacknowledgedFor(HostId peer, Millis now)
    {
        return this->peer(peer).channel->unacknowledgedFor(now);
    }

    PeerCounts counts() const;
    std::size_t unacknowledged() const;

private:
    class DatagramHandler;
    class AcceptHandler;
    class Stream;

    struct Peer
    {
        std::unique_ptr<Channel> channel;
        std::string address;
        std::shared_ptr<Stream> stream;
        bool unresponsive = false;
    };

    Peer &peer(HostId id);
    void transmit(HostId id, const ChannelDatagram &datagram);
    void transmitFrame(const std::string &address, const std::string &frame);
    void transmitStream(HostId id, const std::string &frame);
    void receive(std::string_view frame);
    void receiveDatagram(const ChannelDatagram &datagram);
    void readDatagrams();
    void acceptStream();
    void armTimer();
    void onTimer();
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
    Millis pausedAt = Millis(-1e12);
    TimerId timer = 0;
    Millis timerAt = Millis::never();
};

} // namespace quetzal
