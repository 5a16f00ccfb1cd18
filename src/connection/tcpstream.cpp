#include "connection/tcpstream.h"

#include "quetzal/steadyclock.h"

#include <algorithm>
#include <array>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketDefs.h>

namespace quetzal {

static constexpr std::size_t readBufferBytes = 65'536;
static constexpr int maxReadsPerEvent = 4;
// Time after which the kernel closes a connection whose sent bytes are unacknowledged.
static constexpr int tcpUserTimeoutMs = 3000;

TcpStream::TcpStream(EventLoop &loop, const Poco::Net::StreamSocket &socket,
                     StreamCallbacks callbacks)
    : loop(loop)
    , socket(socket)
    , callbacks(std::move(callbacks))
{}

TcpStream::~TcpStream()
{
    if (this->open)
        this->loop.remove(this->socket);
}

std::shared_ptr<TcpStream> TcpStream::connect(EventLoop &loop,
                                              const Poco::Net::SocketAddress &address,
                                              StreamCallbacks callbacks)
{
    Poco::Net::StreamSocket socket;
    std::shared_ptr<TcpStream> stream(new TcpStream(loop, socket, std::move(callbacks)));
    try {
        stream->socket.connectNB(address);
        stream->setOptions();
        stream->wantsWrite = true;
        loop.add(stream->socket, stream, true);
    } catch (const Poco::Exception &) {
        loop.post([stream] { stream->fail(); });
    }
    return stream;
}

std::shared_ptr<TcpStream> TcpStream::accept(EventLoop &loop, const Poco::Net::StreamSocket &socket,
                                             StreamCallbacks callbacks)
{
    std::shared_ptr<TcpStream> stream(new TcpStream(loop, socket, std::move(callbacks)));
    stream->socket.setBlocking(false);
    stream->setOptions();
    stream->connected = true;
    loop.add(stream->socket, stream, false);
    return stream;
}

void TcpStream::setOptions()
{
    try {
        this->socket.setNoDelay(true);
        this->socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, tcpUserTimeoutMs);
    } catch (const Poco::Exception &) {
        // The peer has already disconnected; the next read reports it.
        return;
    }
}

void TcpStream::write(std::string_view bytes)
{
    if (!this->open)
        return;
    // Only what the kernel does not take at once is copied.
    if (this->connected && this->pendingBytes() == 0)
        bytes.remove_prefix(this->send(bytes));
    this->buffer.append(bytes);
    this->updateWriteWatch();
}

std::size_t TcpStream::send(std::string_view bytes)
{
    std::size_t count = 0;
    try {
        while (count < bytes.size()) {
            const int sent = this->socket.sendBytes(bytes.data() + count,
                                                    static_cast<int>(bytes.size() - count));
            if (sent <= 0)
                break;
            count += static_cast<std::size_t>(sent);
        }
    } catch (const Poco::Exception &error) {
        // POCO throws an exception if the kernel's send buffer is full.
        const bool full = error.code() == POCO_EAGAIN || error.code() == POCO_EWOULDBLOCK;
        if (!full) {
            this->broken = true;
            // Posted because callers of write do not expect onClosed to be called inside it.
            this->loop.post([self = this->shared_from_this()] { self->fail(); });
        }
    }
    this->written += count;
    return count;
}

void TcpStream::flush()
{
    this->sentFromBuffer += this->send(std::string_view(this->buffer).substr(this->sentFromBuffer));
    if (this->pendingBytes() == 0) {
        // Also releases the memory: it could be large, and there may be thousands of connections.
        this->buffer = std::string();
        this->sentFromBuffer = 0;
    } else if (this->sentFromBuffer > this->buffer.size() / 2) {
        // Moves each byte once on average.
        this->buffer.erase(0, this->sentFromBuffer);
        this->sentFromBuffer = 0;
    }
    this->updateWriteWatch();
}

void TcpStream::updateWriteWatch()
{
    const bool wants = !this->connected || this->pendingBytes() > 0;
    if (wants == this->wantsWrite)
        return;
    this->wantsWrite = wants;
    this->loop.wantWrite(this->socket, wants);
}

void TcpStream::pauseReading(bool pause)
{
    if (!this->open || this->readingPaused == pause)
        return;
    this->readingPaused = pause;
    this->loop.wantRead(this->socket, !pause);
}

void TcpStream::onWritable()
{
    if (!this->open)
        return;
    if (!this->connected) {
        int error = 0;
        try {
            this->socket.getOption(SOL_SOCKET, SO_ERROR, error);
        } catch (const Poco::Exception &) {
            error = 1;
        }
        if (error != 0) {
            this->fail();
            return;
        }
        this->connected = true;
        if (this->callbacks.onConnected)
            this->callbacks.onConnected();
        if (!this->open)
            return;
    }
    const std::uint64_t writtenBefore = this->written;
    this->flush();
    if (this->written == writtenBefore || !this->callbacks.onWritten)
        return;
    // Copied because the owner may close the stream in the call, which drops the callbacks.
    const std::function<void()> onWritten = this->callbacks.onWritten;
    onWritten();
}

int TcpStream::receive(std::span<char> buffer)
{
    int count = 0;
    try {
        count = this->socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        this->eofReceived = count == 0 && !this->broken;
    } catch (const Poco::Exception &error) {
        // A connection whose peer has not acknowledged bytes for long ends with a time-out as well.
        if (error.code() == POCO_EAGAIN || error.code() == POCO_EWOULDBLOCK)
            return -1;
        count = 0;
    }
    if (count == 0)
        this->fail();
    return count;
}

void TcpStream::onReadable()
{
    if (!this->open || !this->connected)
        return;
    const std::shared_ptr<TcpStream> self = this->shared_from_this();
    std::array<char, readBufferBytes> chunk;
    // What remains is reported as readable again, after other sockets and timers had their turn.
    for (int reads = 0; this->open && !this->readingPaused && reads < maxReadsPerEvent; ++reads) {
        const int count = this->receive(chunk);
        if (count <= 0)
            return;
        if (this->callbacks.onData)
            this->callbacks.onData({ chunk.data(), static_cast<std::size_t>(count) });
        if (static_cast<std::size_t>(count) < chunk.size())
            return;
    }
}

void TcpStream::onSocketError()
{
    this->fail();
}

void TcpStream::fail()
{
    if (!this->open)
        return;
    const std::shared_ptr<TcpStream> self = this->shared_from_this();
    const std::function<void()> onClosed = this->callbacks.onClosed;
    this->close();
    if (onClosed)
        onClosed();
}

Millis TcpStream::roundTrip() const
{
    static constexpr double microsPerMilli = 1000;
    tcp_info info = {};
    poco_socklen_t length = sizeof(info);
    try {
        this->socket.impl()->getRawOption(IPPROTO_TCP, TCP_INFO, &info, length);
    } catch (const Poco::Exception &) {
        return Millis();
    }
    return Millis(info.tcpi_rtt / microsPerMilli);
}

std::size_t TcpStream::unacknowledgedBytes() const
{
    int bytes = 0;
    if (!this->open || ::ioctl(this->socket.impl()->sockfd(), SIOCOUTQ, &bytes) != 0)
        return 0;
    return static_cast<std::size_t>(std::max(0, bytes));
}

void TcpStream::shutdownWrite()
{
    if (!this->open)
        return;
    try {
        this->socket.shutdownSend();
    } catch (const Poco::Exception &) {
        // The peer has already disconnected; the next read reports it.
        return;
    }
}

void TcpStream::close()
{
    if (!this->open)
        return;
    this->open = false;
    this->loop.remove(this->socket);
    // The callbacks may own the stream's owner, and one of them may be running: they are destroyed
    // later, in a task of the loop.
    this->loop.post([callbacks = std::move(this->callbacks)] {});
    this->callbacks = {};
    try {
        this->socket.close();
    } catch (const Poco::Exception &) {
        return;
    }
}

} // namespace quetzal
