// A caller that sends more than it reads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace quetzal {

// A non-blocking connection that repeats a request up to a number of bytes and reads nothing unless
// it is told to.
class CrowdCaller
{
public:
    // Connects. maxBytes: bytes to send at most; only whole requests are sent.
    CrowdCaller(std::uint16_t port, std::string request, std::size_t maxBytes);
    ~CrowdCaller();
    CrowdCaller(const CrowdCaller &) = delete;
    CrowdCaller &operator=(const CrowdCaller &) = delete;

    // Sends what the kernel takes. Returns the number of bytes.
    std::size_t send();

    // Reads and drops at most a number of bytes. Returns the number read.
    std::size_t read(std::size_t maxBytes);

    // True if nothing is left to send, because all is sent or the connection was closed.
    bool isDone() const { return this->closed || this->sent >= this->total; }

private:
    int descriptor = -1;
    std::string request;
    std::size_t total = 0;
    std::size_t sent = 0;
    bool closed = false;
};

// Sends a request on a new connection and waits for the answer. Returns its status; zero if there
// is none within 30 s.
int statusOf(std::uint16_t port, const std::string &request);

} // namespace quetzal
