#include "standins/linkstandin.h"

#include "quetzal/steadyclock.h"
#include "standins/requesttarget.h"

#include <array>

#include <Poco/Net/NetException.h>

namespace quetzal {

static constexpr int statusOk = 200;
static constexpr std::size_t maxDatagramBytes = 65'507;
static constexpr int listenBacklog = 64;

// Forwards the traffic of one direction: datagrams and TCP connections, received on the same port.
class LinkStandin::Forwarder : public std::enable_shared_from_this<LinkStandin::Forwarder>
{
public:
    Forwarder(EventLoop &loop, const LinkDirection &direction, const LinkImpairment &impairment,
              std::mt19937_64 &random)
        : direction(direction)
        , impairment(impairment)
        , loop(loop)
        , random(random)
        , target(direction.target)
    {}

    void start()
    {
        const Poco::Net::SocketAddress address(this->direction.listen);
        this->datagrams.bind(address, true);
        this->datagrams.setBlocking(false);
        this->outgoing.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
        this->acceptor.bind(address, true);
        this->acceptor.listen(listenBacklog);
        this->acceptor.setBlocking(false);
        this->loop.add(this->datagrams, std::make_shared<ReadHandler>([this] { this->forward(); }),
                       false);
        this->loop.add(this->acceptor,
                       std::make_shared<ReadHandler>([this] { this->acceptTunnel(); }), false);
    }

    LinkDirection direction;
    LinkImpairment impairment;

private:
    // Calls a function whenever its socket is readable.
    class ReadHandler final : public EventHandler
    {
    public:
        explicit ReadHandler(std::function<void()> action)
            : action(std::move(action))
        {}
        void onReadable() override { this->action(); }
        void onWritable() override {}
        void onSocketError() override {}

    private:
        std::function<void()> action;
    };

    // A forwarded TCP connection: the accepted stream and the stream to the target.
    struct Tunnel
    {
        std::shared_ptr<TcpStream> near;
        std::shared_ptr<TcpStream> far;
    };

    // Returns a random number in [0, 1).
    double randomFraction()
    {
        static constexpr std::uint64_t steps = 1'000'000;
        return static_cast<double>(this->random() % steps) / steps;
    }

    // Returns the delay of one datagram.
    Millis delay()
    {
        return this->impairment.delay + this->impairment.jitter * this->randomFraction();
    }

    // Reads all waiting datagrams and schedules those that are not dropped for delivery.
    void forward()
    {
        std::array<char, maxDatagramBytes> buffer;
        Poco::Net::SocketAddress from;
        while (true) {
            int size = 0;
            try {
                size = this->datagrams.receiveFrom(buffer.data(), static_cast<int>(buffer.size()),
                                                   from);
            } catch (const Poco::Exception &) {
                continue;
            }
            if (size <= 0)
                return;
            if (this->impairment.partitioned || this->randomFraction() < this->impairment.loss)
                continue;
            const std::string bytes(buffer.data(), static_cast<std::size_t>(size));
            this->loop.schedule(SteadyClock::now() + this->delay(), [this, bytes] {
                try {
                    this->outgoing.sendTo(bytes.data(), static_cast<int>(bytes.size()),
                                          this->target);
                } catch (const Poco::Exception &) {
                    // Sending fails if the target's port is closed; the datagram is dropped.
                    return;
                }
            });
        }
    }

    // Accepts a connection and connects to the target.
    void acceptTunnel()
    {
        try {
            const auto pair = std::make_shared<Tunnel>();
            const Poco::Net::StreamSocket accepted = this->acceptor.acceptConnection();
            pair->near = TcpStream::accept(this->loop, accepted, this->callbacks(pair, true));
            pair->far = TcpStream::connect(this->loop, this->target, this->callbacks(pair, false));
        } catch (const Poco::Exception &) {
            return;
        }
    }

    // Returns the callbacks of one stream, which pass its data and its end on to the other.
    StreamCallbacks callbacks(const std::shared_ptr<Tunnel> &pair, bool isNear)
    {
        StreamCallbacks callbacks;
        callbacks.onData = [this, pair, isNear](std::string_view data) {
            if (this->impairment.partitioned)
                return;
            // No jitter, so that bytes stay in order.
            this->loop.schedule(SteadyClock::now() + this->impairment.delay,
                                [pair, isNear, bytes = std::string(data)] {
                                    const auto &other = isNear ? pair->far : pair->near;
                                    other->write(bytes);
                                });
        };
        callbacks.onClosed = [pair, isNear] {
            const auto &other = isNear ? pair->far : pair->near;
            if (other)
                other->close();
        };
        return callbacks;
    }

    EventLoop &loop;
    std::mt19937_64 &random;
    Poco::Net::SocketAddress target;
    // Receives on the listen address.
    Poco::Net::DatagramSocket datagrams;
    // Sends to the target.
    Poco::Net::DatagramSocket outgoing;
    Poco::Net::ServerSocket acceptor;
};

LinkStandin::LinkStandin(EventLoop &loop, const std::string &address,
                         const std::vector<LinkDirection> &directions,
                         const LinkImpairment &impairment, std::uint64_t seed)
    : random(seed)
{
    for (const LinkDirection &direction : directions) {
        this->forwarders.push_back(
                std::make_shared<Forwarder>(loop, direction, impairment, this->random));
        this->forwarders.back()->start();
    }
    this->server = HttpServer::listen(
            loop, Poco::Net::SocketAddress(address), HttpServerOptions(),
            [this](const std::shared_ptr<HttpExchange> &exchange) { this->onRequest(exchange); });
}

LinkStandin::~LinkStandin() = default;

void LinkStandin::onRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    const RequestTarget query(exchange->request().head.getURI());
    for (const auto &forwarder : this->forwarders) {
        const bool matchesFrom
                = !query.has("from") || query.text("from") == forwarder->direction.from;
        const bool matchesTo = !query.has("to") || query.text("to") == forwarder->direction.to;
        if (!matchesFrom || !matchesTo)
            continue;
        LinkImpairment &impairment = forwarder->impairment;
        impairment.delay = Millis(query.number("delay_ms", impairment.delay.count()));
        impairment.jitter = Millis(query.number("jitter_ms", impairment.jitter.count()));
        impairment.loss = query.number("loss", impairment.loss);
        impairment.partitioned = query.number("cut", impairment.partitioned ? 1 : 0) != 0;
    }
    exchange->respond(statusOk, {}, "{}");
}

} // namespace quetzal
