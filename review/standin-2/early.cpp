// Stand-in: a searcher that answers before it has read a long body. Its answers have no length and
// end with their connections. Used as a process of its own, so that it can be killed.
//
// Usage: early IP PORT ID PIECES
#include "http.h"

#include <cstdlib>
#include <iostream>
#include <thread>

#include <poll.h>
#include <sys/socket.h>

using namespace review;

namespace {

// The windows of the searcher's connections are small, as on the platform's links.
constexpr WindowOptions smallWindows = { 16'384, 1400 };
constexpr std::size_t pieceBytes = 1000;
constexpr Milliseconds piecePause = Milliseconds(50);

void serve(Connection connection, const std::string &id, int pieces)
{
    Message request;
    if (connection.readHead(request, Clock::now() + std::chrono::seconds(10)) != ReadEnd::Complete)
        return;
    if (request.field("Quetzalchute-Target-Instance") != id) {
        connection.write(makeResponse(421, { { "Quetzalchute-Instance-Id", id } }, ""));
        return;
    }
    const std::string requestId = request.field("Quetzalchute-Request-Id");
    std::cout << "runs " << requestId << std::endl;
    connection.write("HTTP/1.1 200 OK\r\nQuetzalchute-Request-Id: " + requestId
                     + "\r\nQuetzalchute-Response-Seal: " + requestId + "." + id
                     + "\r\nConnection: close\r\n\r\n");
    for (int piece = 0; piece < pieces; ++piece) {
        connection.write(std::string(pieceBytes, static_cast<char>('a' + piece)));
        std::this_thread::sleep_for(piecePause);
    }
    // The end of the answer. The rest of the body is read before the connection is closed.
    ::shutdown(connection.descriptor(), SHUT_WR);
    connection.readBody(request, Clock::now() + std::chrono::seconds(5));
    std::cout << "answered " << requestId << std::endl;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5)
        return 2;
    const Address address
            = { argv[1], static_cast<std::uint16_t>(std::strtoul(argv[2], nullptr, 10)) };
    const std::string id = argv[3];
    const int pieces = static_cast<int>(std::strtol(argv[4], nullptr, 10));
    const Socket listener = listenOn(address, smallWindows);
    while (listener.isOpen()) {
        Socket accepted(::accept(listener.descriptor(), nullptr, nullptr));
        if (accepted.isOpen())
            std::thread(serve, Connection(std::move(accepted)), id, pieces).detach();
    }
    return 2;
}
