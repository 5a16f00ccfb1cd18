// A non-blocking TCP connection on an event loop.
#pragma once

#include "process/eventloop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

namespace quetzal {

// What the owner of a stream is told. onClosed comes once, after which nothing more comes; it
// does not come after the owner's own close.
struct StreamCallbacks
{
    std::function<void()> onConnected;
    std::function<void(std::string_view data)> onData;
    std::function<void()> onClosed;
};

// A connection that never blocks. Used on its loop's thread only.
class TcpStream final : public EventHandler, public std::enable_shared_from_this<TcpStream>
{
public:
    // Begins to connect. A failure is told by onClosed, later.
    static std::shared_ptr<TcpStream>
    connect(EventLoop &loop, const Poco::Net::SocketAddress &address, StreamCallbacks callbacks);

    // Takes over an accepted connection.
    static std::shared_ptr<TcpStream> accept(EventLoop &loop, const Poco::Net::StreamSocket &socket,
                                             StreamCallbacks callbacks);

    ~TcpStream() override;

    // Sends what the kernel takes now and the rest when it can.
    void write(std::string_view bytes);

    // Tells the peer that nothing more is written. Call once the backlog is empty.
    void shutdownWrite();

    // Ends the connection without a callback.
    void close();

    bool isOpen() const { return this->open; }
    bool isConnected() const { return this->connected; }

    // True if the peer ended its side in order, without a reset.
    bool hasReceivedEof() const { return this->eofReceived; }

    // Returns the bytes handed to the kernel since the stream began.
    std::uint64_t bytesWritten() const { return this->written; }

    // Returns the kernel's measure of the way to the peer and back; zero if there is none.
    Millis roundTrip() const;

    // Returns the bytes still waiting for the kernel.
    std::size_t pendingBytes() const { return this->buffer.size(); }

    void onReadable() override;
    void onWritable() override;
    void onSocketError() override;

private:
    TcpStream(EventLoop &loop, const Poco::Net::StreamSocket &socket, StreamCallbacks callbacks);
    void flush();
    void fail();
    void setOptions();

    EventLoop &loop;
    Poco::Net::StreamSocket socket;
    StreamCallbacks callbacks;
    std::string buffer;
    std::uint64_t written = 0;
    bool connected = false;
    bool open = true;
    bool eofReceived = false;
    bool wantsWrite = false;
};

} // namespace quetzal
