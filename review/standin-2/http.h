// Blocking HTTP/1.1 over loopback for the review's stand-ins.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

// A socket that is closed with this object.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int fd)
        : fd(fd)
    {}
    ~Socket() { this->close(); }
    Socket(Socket &&other) noexcept
        : fd(std::exchange(other.fd, -1))
    {}
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    bool isOpen() const { return this->fd >= 0; }
    int descriptor() const { return this->fd; }
    void close();

private:
    int fd = -1;
};

struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return this->ip + ":" + std::to_string(this->port); }
};

// How small the windows of a listening or connecting socket are kept; zero leaves them as they are.
struct WindowOptions
{
    int receiveBuffer = 0;
    int segment = 0;
};

// Listens on an address. The socket is not open if that is not possible.
Socket listenOn(const Address &address, const WindowOptions &windows = {});

// Connects within a second. The socket is not open if that is not possible.
Socket connectTo(const Address &address, const WindowOptions &windows = {});

// One HTTP message.
struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    // Returns the value of a field, or an empty text. Names are compared without regard to case.
    std::string field(std::string_view name) const;
    // Returns the status of a response.
    int status() const;
    // Returns the word of a request's start line.
    std::string word(std::size_t index) const;
};

enum class ReadEnd { Complete, Closed, TimedOut };

// Reads messages of one connection, and writes to it.
class Connection
{
public:
    explicit Connection(Socket &&socket)
        : socket(std::move(socket))
    {}

    bool isOpen() const { return this->socket.isOpen(); }
    int descriptor() const { return this->socket.descriptor(); }
    void close() { this->socket.close(); }

    // Reads the head of the next message into the given one.
    ReadEnd readHead(Message &message, Time until);
    // Reads the rest of a message by its Content-Length. bytesPerSecond limits the rate if above
    // zero.
    ReadEnd readBody(Message &message, Time until, std::size_t bytesPerSecond = 0);
    // Reads a whole message.
    ReadEnd read(Message &message, Time until);
    // Writes all bytes. Returns false if the peer has closed the connection.
    bool write(std::string_view bytes);
    // Returns true if the peer has closed the connection.
    bool isClosedByPeer() const;

private:
    // Reads more bytes into the buffer.
    ReadEnd receive(Time until, std::size_t most);

    Socket socket;
    std::string buffer;
};

// Returns the text of a response with a Content-Length.
std::string makeResponse(int status, const std::vector<std::pair<std::string, std::string>> &fields,
                         const std::string &body);

} // namespace review
