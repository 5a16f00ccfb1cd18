#include "crowd/endlesssearchers.h"

#include <array>
#include <cerrno>
#include <chrono>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace quetzal {

using SteadyTime = std::chrono::steady_clock::time_point;

static constexpr std::size_t blockBytes = 65'536;
static constexpr int pollMs = 50;
static constexpr std::chrono::milliseconds slowPeriod(50);

struct EndlessSearchers::Connection
{
    ~Connection() { ::close(this->descriptor); }

    int descriptor = -1;
    std::size_t index = 0;
    std::string request;
    // What is left of the opening; then the repeated block is sent.
    std::string pending;
    bool isSending = false;
    std::size_t blockOffset = 0;
    SteadyTime nextSend;
};

EndlessSearchers::EndlessSearchers(std::vector<EndlessScript> scripts)
    : scripts(std::move(scripts))
    , counts(std::make_unique<Counts[]>(this->scripts.size()))
{
    for (EndlessScript &script : this->scripts) {
        // A block of whole repetitions, so that it can be sent again and again.
        std::string block;
        const std::size_t target = script.slowBytes > 0 ? 1 : blockBytes;
        do {
            block += script.repeated;
        } while (block.size() < target);
        script.repeated = block;
        Poco::Net::ServerSocket listener;
        listener.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
        listener.listen(256);
        listener.setBlocking(false);
        this->listeners.push_back(listener);
    }
    this->thread = std::thread([this] { this->run(); });
}

EndlessSearchers::~EndlessSearchers()
{
    this->stopping = true;
    this->thread.join();
}

void EndlessSearchers::run()
{
    while (!this->stopping) {
        const SteadyTime now = std::chrono::steady_clock::now();
        std::vector<pollfd> polled;
        for (const auto &listener : this->listeners)
            polled.push_back({ listener.impl()->sockfd(), POLLIN, 0 });
        for (const auto &connection : this->connections) {
            const bool isDue = connection->isSending && now >= connection->nextSend;
            polled.push_back({ connection->descriptor,
                               static_cast<short>(isDue ? POLLIN | POLLOUT : POLLIN), 0 });
        }
        ::poll(polled.data(), polled.size(), pollMs);
        std::vector<std::unique_ptr<Connection>> kept;
        for (std::size_t i = 0; i < this->connections.size(); ++i) {
            const short events = polled[this->listeners.size() + i].revents;
            Connection &connection = *this->connections[i];
            const bool isOpen
                    = ((events & (POLLIN | POLLERR | POLLHUP)) == 0 || this->receive(connection))
                      && ((events & POLLOUT) == 0 || this->send(connection));
            if (isOpen)
                kept.push_back(std::move(this->connections[i]));
        }
        this->connections = std::move(kept);
        for (std::size_t index = 0; index < this->listeners.size(); ++index) {
            if ((polled[index].revents & POLLIN) != 0)
                this->accept(index);
        }
    }
    this->connections.clear();
}

void EndlessSearchers::accept(std::size_t index)
{
    auto connection = std::make_unique<Connection>();
    connection->descriptor = ::accept4(this->listeners[index].impl()->sockfd(), nullptr, nullptr,
                                       SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (connection->descriptor < 0)
        return;
    connection->index = index;
    if (!this->scripts[index].waitsForRequest) {
        connection->pending = this->scripts[index].opening;
        connection->isSending = true;
    }
    ++this->counts[index].accepted;
    this->connections.push_back(std::move(connection));
}

std::string EndlessSearchers::openingFor(const Connection &connection) const
{
    static constexpr std::string_view field = "X-Quetzal-Request-Id: ";
    static constexpr std::string_view placeholder = "{id}";
    std::string id;
    if (const std::size_t at = connection.request.find(field); at != std::string::npos) {
        const std::size_t begin = at + field.size();
        id = connection.request.substr(begin, connection.request.find('\r', begin) - begin);
    }
    std::string opening = this->scripts[connection.index].opening;
    for (std::size_t at = opening.find(placeholder); at != std::string::npos;
         at = opening.find(placeholder, at + id.size()))
        opening.replace(at, placeholder.size(), id);
    return opening;
}

bool EndlessSearchers::receive(Connection &connection)
{
    std::array<char, 8192> buffer = {};
    const ssize_t count = ::recv(connection.descriptor, buffer.data(), buffer.size(), 0);
    if (count <= 0)
        return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    connection.request.append(buffer.data(), static_cast<std::size_t>(count));
    if (connection.isSending || connection.request.find("\r\n\r\n") == std::string::npos)
        return true;
    connection.pending = this->openingFor(connection);
    connection.isSending = true;
    return true;
}

bool EndlessSearchers::send(Connection &connection)
{
    const EndlessScript &script = this->scripts[connection.index];
    const bool isOpening = !connection.pending.empty();
    const std::string_view bytes
            = isOpening ? std::string_view(connection.pending)
                        : std::string_view(script.repeated).substr(connection.blockOffset);
    const std::size_t size = isOpening || script.slowBytes == 0
                                     ? bytes.size()
                                     : std::min(bytes.size(), script.slowBytes);
    const ssize_t sent = ::send(connection.descriptor, bytes.data(), size, MSG_NOSIGNAL);
    if (sent < 0)
        return errno == EAGAIN || errno == EWOULDBLOCK;
    this->counts[connection.index].sentBytes += static_cast<std::uint64_t>(sent);
    if (isOpening)
        connection.pending.erase(0, static_cast<std::size_t>(sent));
    else
        connection.blockOffset = (connection.blockOffset + static_cast<std::size_t>(sent))
                                 % script.repeated.size();
    if (script.slowBytes > 0)
        connection.nextSend = std::chrono::steady_clock::now() + slowPeriod;
    return true;
}

} // namespace quetzal
