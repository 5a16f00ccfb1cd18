// A non-blocking TCP connection on an event loop.
#pragma once

#include "process/eventloop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

namespace quetzal {

// Notifications to the owner of a stream. onClosed is called once, as the last one, if the
// connection fails or the peer closes it, but not if the owner calls close.
struct StreamCallbacks
{
    std::function<void()> onConnected;
    // Called after buffered bytes were passed to the kernel, except from within write.
    std::function<void()> onWritten;
    std::function<void(std::string_view data)> onData;
    std::function<void()> onClosed;
};

// A non-blocking connection. Used on its loop's thread only.
class TcpStream final : public EventHandler, public std::enable_shared_from_this<TcpStream>
{
public:
    // Starts to connect. Success is reported by onConnected and failure by onClosed, both after
    // this function has returned.
    static std::shared_ptr<TcpStream>
    connect(EventLoop &loop, const Poco::Net::SocketAddress &address, StreamCallbacks callbacks);

    // Wraps an accepted connection.
    static std::shared_ptr<TcpStream> accept(EventLoop &loop, const Poco::Net::StreamSocket &socket,
                                             StreamCallbacks callbacks);

    ~TcpStream() override;

    // Passes as many bytes as possible to the kernel and buffers the rest until it is writable.
    void write(std::string_view bytes);

    // Stops reading, or starts again. While reading is paused, a peer's reset is still noticed, but
    // not the orderly end of its stream.
    void pauseReading(bool pause);
    bool isReadingPaused() const { return this->readingPaused; }

    // Closes the sending side of the connection. Call once no bytes are pending.
    void shutdownWrite();

    // Closes the connection without a callback.
    void close();

    bool isOpen() const { return this->open; }
    bool isConnected() const { return this->connected; }

    // True if the peer closed its sending side in order, as far as a reset or another failure was
    // not noticed before.
    bool hasReceivedEof() const { return this->eofReceived; }

    // Returns the number of bytes passed to the kernel since the stream was created.
    std::uint64_t bytesWritten() const { return this->written; }

    // Returns the kernel's estimate of the round trip to the peer; zero if there is none.
    Millis roundTrip() const;

    // Returns the number of bytes passed to the kernel that the peer has not acknowledged; zero if
    // it is unknown.
    std::size_t unacknowledgedBytes() const;

    // Returns the number of buffered bytes that have not been passed to the kernel.
    std::size_t pendingBytes() const { return this->buffer.size() - this->sentFromBuffer; }

    void onReadable() override;
    void onWritable() override;
    void onSocketError() override;

private:
    TcpStream(EventLoop &loop, const Poco::Net::StreamSocket &socket, StreamCallbacks callbacks);
    void flush();
    void updateWriteWatch();
    // Passes bytes to the kernel and returns how many it took.
    std::size_t send(std::string_view bytes);
    // Reads from the socket and returns the number of bytes, or zero or less if there are none.
    // Calls fail at the end of the stream and after an error.
    int receive(std::span<char> buffer);
    void fail();
    void setOptions();

    EventLoop &loop;
    Poco::Net::StreamSocket socket;
    StreamCallbacks callbacks;
    // Bytes from sentFromBuffer on are not passed to the kernel yet.
    std::string buffer;
    std::size_t sentFromBuffer = 0;
    std::uint64_t written = 0;
    bool connected = false;
    bool open = true;
    bool eofReceived = false;
    // A call on the socket has failed. The kernel reports an error to one call only; for later ones
    // the stream seems to have ended in order.
    bool broken = false;
    bool wantsWrite = false;
    bool readingPaused = false;
};

} // namespace quetzal
