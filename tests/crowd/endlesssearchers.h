// Faulty searchers that send without end.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>

namespace quetzal {

// What one faulty searcher sends. "{id}" in the opening stands for the id of the request.
struct EndlessScript
{
    // Sent once for each request, or for each connection if it does not wait for a request.
    std::string opening;
    // Sent again and again after the opening.
    std::string repeated;
    bool waitsForRequest = true;
    // Bytes sent at once, every 50 ms; zero sends as fast as the peer reads.
    std::size_t slowBytes = 0;
};

// Listens on one port for each script and sends to every connection until it is closed, on a thread
// of its own.
class EndlessSearchers
{
public:
    explicit EndlessSearchers(std::vector<EndlessScript> scripts);
    ~EndlessSearchers();
    EndlessSearchers(const EndlessSearchers &) = delete;
    EndlessSearchers &operator=(const EndlessSearchers &) = delete;

    std::size_t count() const { return this->scripts.size(); }
    std::string address(std::size_t index) const
    {
        return this->listeners[index].address().toString();
    }

    // Returns the number of connections accepted, and of bytes sent, for one script.
    std::uint64_t accepted(std::size_t index) const { return this->counts[index].accepted; }
    std::uint64_t sentBytes(std::size_t index) const { return this->counts[index].sentBytes; }

private:
    struct Counts
    {
        std::atomic<std::uint64_t> accepted = 0;
        std::atomic<std::uint64_t> sentBytes = 0;
    };

    struct Connection;

    void run();
    void accept(std::size_t index);
    // Returns false once the connection has ended.
    bool receive(Connection &connection);
    bool send(Connection &connection);
    std::string openingFor(const Connection &connection) const;

    std::vector<EndlessScript> scripts;
    std::vector<Poco::Net::ServerSocket> listeners;
    std::unique_ptr<Counts[]> counts;
    std::vector<std::unique_ptr<Connection>> connections;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

} // namespace quetzal
