// Stand-in for the network links between zones.
#pragma once

#include "connection/httpserver.h"
#include "connection/tcpstream.h"
#include "process/eventloop.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>

namespace quetzal {

// Traffic from one zone to a host in another.
struct LinkDirection
{
    // Zone that the traffic comes from.
    std::string from;
    // Zone of the host.
    std::string to;
    // Address on which the traffic is received.
    std::string listen;
    // Address of the host to which it is forwarded.
    std::string target;
};

// Network impairment of a direction.
struct LinkImpairment
{
    // One-way delay.
    Millis delay = Millis(4);
    // Maximum random delay added to each datagram.
    Millis jitter = Millis(0.5);
    // Fraction of datagrams that are dropped.
    double loss = 0;
    // Whether all traffic is dropped.
    bool partitioned = false;
};

// Forwards datagrams and TCP connections with delay, jitter and loss. Control request:
//   POST /fault?from=Z&to=Z&delay_ms=D&jitter_ms=J&loss=F&cut=0|1
// It applies to the directions that match "from" and "to"; without them, to all. TCP data is
// delayed without jitter or loss; a cut drops both datagrams and TCP data.
class LinkStandin
{
public:
    // Forwards the given directions and serves control requests on the address.
    LinkStandin(EventLoop &loop, const std::string &address,
                const std::vector<LinkDirection> &directions, const LinkImpairment &impairment,
                std::uint64_t seed);
    ~LinkStandin();

private:
    class Forwarder;

    void onRequest(const std::shared_ptr<HttpExchange> &exchange);

    std::mt19937_64 random;
    std::vector<std::shared_ptr<Forwarder>> forwarders;
    std::shared_ptr<HttpServer> server;
};

} // namespace quetzal
