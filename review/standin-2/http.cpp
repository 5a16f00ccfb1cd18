#include "http.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

Socket &Socket::operator=(Socket &&other) noexcept
{
    if (this != &other) {
        this->close();
        this->fd = std::exchange(other.fd, -1);
    }
    return *this;
}

void Socket::close()
{
    if (this->fd >= 0)
        ::close(this->fd);
    this->fd = -1;
}

static sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result = {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

static Socket makeSocket(const WindowOptions &windows)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(socket.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    ::setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (windows.receiveBuffer > 0)
        ::setsockopt(socket.descriptor(), SOL_SOCKET, SO_RCVBUF, &windows.receiveBuffer,
                     sizeof(windows.receiveBuffer));
    if (windows.segment > 0)
        ::setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_MAXSEG, &windows.segment,
                     sizeof(windows.segment));
    return socket;
}

Socket listenOn(const Address &address, const WindowOptions &windows)
{
    static constexpr int backlog = 128;
    Socket socket = makeSocket(windows);
    const sockaddr_in target = socketAddress(address);
    if (::bind(socket.descriptor(), reinterpret_cast<const sockaddr *>(&target), sizeof(target))
                != 0
        || ::listen(socket.descriptor(), backlog) != 0)
        return Socket();
    return socket;
}

Socket connectTo(const Address &address, const WindowOptions &windows)
{
    Socket socket = makeSocket(windows);
    timeval timeout = {};
    timeout.tv_sec = 1;
    ::setsockopt(socket.descriptor(), SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    const sockaddr_in target = socketAddress(address);
    if (::connect(socket.descriptor(), reinterpret_cast<const sockaddr *>(&target), sizeof(target))
        != 0)
        return Socket();
    timeout = {};
    ::setsockopt(socket.descriptor(), SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    return socket;
}

std::string Message::field(std::string_view name) const
{
    for (const auto &[key, value] : this->fields) {
        if (key.size() == name.size() && ::strncasecmp(key.data(), name.data(), name.size()) == 0)
            return value;
    }
    return "";
}

std::string Message::word(std::size_t index) const
{
    std::istringstream line(this->startLine);
    std::string result;
    for (std::size_t i = 0; i <= index; ++i)
        line >> result;
    return result;
}

int Message::status() const
{
    const std::string text = this->word(1);
    int status = 0;
    std::from_chars(text.data(), text.data() + text.size(), status);
    return status;
}

ReadEnd Connection::receive(Time until, std::size_t most)
{
    if (!this->socket.isOpen())
        return ReadEnd::Closed;
    const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
    pollfd entry = { this->socket.descriptor(), POLLIN, 0 };
    if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0)
        return ReadEnd::TimedOut;
    std::array<char, 65'536> bytes = {};
    const ssize_t count
            = ::recv(this->socket.descriptor(), bytes.data(), std::min(most, bytes.size()), 0);
    if (count <= 0)
        return ReadEnd::Closed;
    this->buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return ReadEnd::Complete;
}

ReadEnd Connection::readHead(Message &message, Time until)
{
    static constexpr std::string_view headEnd = "\r\n\r\n";
    std::size_t end = std::string::npos;
    while ((end = this->buffer.find(headEnd)) == std::string::npos) {
        const ReadEnd result = this->receive(until, 4096);
        if (result != ReadEnd::Complete)
            return result;
    }
    message = Message();
    std::istringstream head(this->buffer.substr(0, end));
    this->buffer.erase(0, end + headEnd.size());
    std::getline(head, message.startLine);
    for (std::string line; std::getline(head, line);) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const std::size_t begin = line.find_first_not_of(' ', colon + 1);
        message.fields.emplace_back(line.substr(0, colon),
                                    begin == std::string::npos ? "" : line.substr(begin));
    }
    return ReadEnd::Complete;
}

ReadEnd Connection::readBody(Message &message, Time until, std::size_t bytesPerSecond)
{
    const std::string text = message.field("Content-Length");
    std::size_t length = 0;
    std::from_chars(text.data(), text.data() + text.size(), length);
    const Time begin = Clock::now();
    std::size_t received = this->buffer.size();
    ReadEnd result = ReadEnd::Complete;
    while (this->buffer.size() < length && result == ReadEnd::Complete) {
        const std::size_t before = this->buffer.size();
        result = this->receive(until, bytesPerSecond > 0 ? 8192 : length);
        received += this->buffer.size() - before;
        if (bytesPerSecond > 0)
            std::this_thread::sleep_until(
                    begin + std::chrono::microseconds(1'000'000 * received / bytesPerSecond));
    }
    message.body = this->buffer.substr(0, length);
    this->buffer.erase(0, message.body.size());
    return result;
}

ReadEnd Connection::read(Message &message, Time until)
{
    const ReadEnd result = this->readHead(message, until);
    return result == ReadEnd::Complete ? this->readBody(message, until) : result;
}

bool Connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count
                = ::send(this->socket.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

bool Connection::isClosedByPeer() const
{
    char byte = 0;
    const ssize_t count = ::recv(this->socket.descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::string makeResponse(int status, const std::vector<std::pair<std::string, std::string>> &fields,
                         const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : fields)
        text.append(name).append(": ").append(value).append("\r\n");
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace review
