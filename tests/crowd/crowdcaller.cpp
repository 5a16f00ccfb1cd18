#include "crowd/crowdcaller.h"

#include <array>
#include <cerrno>
#include <system_error>

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace quetzal {

// Small, so that unread answers stay in the process that is tested and not in the kernel.
static constexpr int receiveBufferBytes = 4096;

CrowdCaller::CrowdCaller(std::uint16_t port, std::string request, std::size_t maxBytes)
    : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , request(std::move(request))
    , total(maxBytes / this->request.size() * this->request.size())
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes,
                 sizeof(receiveBufferBytes));
    if (::connect(this->descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
        != 0)
        throw std::system_error(errno, std::generic_category(), "connect");
}

CrowdCaller::~CrowdCaller()
{
    ::close(this->descriptor);
}

std::size_t CrowdCaller::send()
{
    std::size_t count = 0;
    while (!this->isDone()) {
        const std::size_t offset = this->sent % this->request.size();
        const ssize_t result = ::send(this->descriptor, this->request.data() + offset,
                                      this->request.size() - offset, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (result <= 0) {
            this->closed = errno != EAGAIN && errno != EWOULDBLOCK;
            break;
        }
        this->sent += static_cast<std::size_t>(result);
        count += static_cast<std::size_t>(result);
    }
    return count;
}

std::size_t CrowdCaller::read(std::size_t maxBytes)
{
    std::string buffer(maxBytes, '\0');
    const ssize_t result = ::recv(this->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
    return result > 0 ? static_cast<std::size_t>(result) : 0;
}

int statusOf(std::uint16_t port, const std::string &request)
{
    static constexpr int timeoutSeconds = 30;
    static constexpr std::size_t statusAt = 9;
    static constexpr std::size_t statusEnd = 12;
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress("127.0.0.1", port),
                       Poco::Timespan(timeoutSeconds, 0));
        socket.setReceiveTimeout(Poco::Timespan(timeoutSeconds, 0));
        socket.sendBytes(request.data(), static_cast<int>(request.size()));
        std::string answer;
        std::array<char, 64> buffer = {};
        while (answer.size() < statusEnd) {
            const int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (count <= 0)
                return 0;
            answer.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return std::stoi(answer.substr(statusAt, statusEnd - statusAt));
    } catch (const Poco::Exception &) {
        return 0;
    }
}

} // namespace quetzal
