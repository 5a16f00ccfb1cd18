#include "crowd/crowdhost.h"

#include "connection/httpcodec.h"
#include "crowd/crowdcaller.h"

#include <array>
#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <vector>

#include <stdlib.h>

namespace quetzal {

static constexpr int statusOk = 200;
static constexpr int statusNotReady = 503;

// Returns ports that were free a moment ago.
template <std::size_t count>
static std::array<std::uint16_t, count> freePorts()
{
    std::array<std::uint16_t, count> ports = {};
    std::array<Poco::Net::ServerSocket, count> sockets;
    for (std::size_t i = 0; i < count; ++i) {
        sockets[i].bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
        ports[i] = sockets[i].address().port();
    }
    return ports;
}

static void answerAsSearcher(HttpExchange &exchange)
{
    const HeaderNames names = HeaderNames();
    const auto &head = exchange.request().head;
    const bool isLong = head.getURI() == "/long";
    exchange.respond(statusOk,
                     { { names.requestId, head.get(names.requestId, "") },
                       { names.load, "0,0,26" },
                       { names.seal, head.get(names.target, "s") + ".1" } },
                     std::string(isLong ? CrowdHost::longAnswerBytes : CrowdHost::recordBytes, 'r'),
                     "text/plain");
}

CrowdHost::CrowdHost(const CrowdHostOptions &options)
{
    std::string name = (std::filesystem::temp_directory_path() / "quetzal-crowd-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("cannot create " + name);
    this->directory = name;
    this->searcher = HttpServer::listen(
            this->loop, Poco::Net::SocketAddress("127.0.0.1", 0), HttpServerOptions(),
            [](const std::shared_ptr<HttpExchange> &exchange) { answerAsSearcher(*exchange); });
    const auto ports = freePorts<5>();
    this->callers = ports[0];
    const auto address = [&](std::size_t index) {
        return "\"127.0.0.1:" + std::to_string(ports[index]) + "\"";
    };
    this->writeView(options);
    const std::string files = "files: { routes: " + this->path("routes.yaml")
                              + ", pools: " + this->path("pools.yaml")
                              + ", searchers: " + this->path("searchers.yaml") + " }\n";
    const std::string store = "store: { address: \"" + options.storeAddress + "\" }\n";
    this->writeFile("settings.yaml",
                    "host: { name: crowd, zone: here }\nlisten: { callers: " + address(0)
                            + ", ready: " + address(1) + ", view: " + address(2)
                            + ", heartbeat: " + address(3) + ", metrics: " + address(4) + " }\n"
                            + (options.storeAddress.empty() ? files : store)
                            + "limits: { memory_mb: " + std::to_string(options.memoryMb) + " }\n");
    this->child = std::make_unique<ChildProcess>(
            QUETZAL_GATEWAY,
            std::vector<std::string>{ "--settings=" + this->path("settings.yaml") },
            this->path("log"));
    this->thread = std::thread([this] { this->loop.run(); });
    static constexpr int readinessChecks = 200;
    const int awaited = options.storeAddress.empty() ? statusOk : statusNotReady;
    for (int check = 0; check < readinessChecks; ++check) {
        if (statusOf(ports[1], "GET / HTTP/1.1\r\nHost: h\r\n\r\n") == awaited)
            break;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    this->initialBytes = this->child->residentBytes();
}

CrowdHost::~CrowdHost()
{
    this->child.reset();
    this->loop.post([this] { this->searcher->closeAll(); });
    this->loop.stop();
    this->thread.join();
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
}

void CrowdHost::writeView(const CrowdHostOptions &options) const
{
    const std::string own = this->searcher->address().toString();
    std::ostringstream routes;
    std::ostringstream pools;
    std::ostringstream searchers;
    std::ostringstream shards;
    routes << "routes:\n  - { name: all, match: { path: / }, kind: one-searcher, pool: only, "
              "target_ms: "
           << ordinaryTarget.count() << ", deadline_ms: 10000 }\n";
    pools << "zones: [here]\npools:\n  - { name: only, registered: true, connection_cap: 26 }\n";
    searchers << "revision: 1\nsearchers:\n";
    const auto addSearcher
            = [&](const std::string &id, const std::string &pool, const std::string &address) {
                  searchers << "  - { id: " << id << ", pool: " << pool << ", address: \""
                            << address << "\", zone: here, slots: 26 }\n";
              };
    addSearcher("s", "only", own);
    for (std::size_t i = 0; i < options.faultyAddresses.size(); ++i) {
        const std::string number = std::to_string(i);
        const std::string pool = "p" + number;
        shards << (i == 0 ? "" : ", ") << pool;
        pools << "  - { name: " << pool << ", registered: true, connection_cap: 26 }\n";
        routes << "  - { name: " << pool << ", match: { path: /" << pool
               << "/ }, kind: one-searcher, pool: " << pool
               << ", max_attempts: 3, target_ms: 1500, deadline_ms: 3000 }\n";
        addSearcher("faulty" + number, pool, options.faultyAddresses[i]);
        if (options.hasOwnInPools)
            addSearcher("own" + number, pool, own);
        if (!options.sharedAddress.empty())
            addSearcher("shared" + number, pool, options.sharedAddress);
    }
    if (!options.faultyAddresses.empty())
        routes << "  - { name: shards, match: { path: /all/ }, kind: all-shards, shard_pools: ["
               << shards.str()
               << "], min_coverage: 0.5, max_attempts: 3, result_size: 10, target_ms: 1500, "
                  "deadline_ms: 3000 }\n";
    this->writeFile("routes.yaml", routes.str());
    this->writeFile("pools.yaml", pools.str());
    this->writeFile("searchers.yaml", searchers.str());
}

void CrowdHost::writeFile(const std::string &name, const std::string &text) const
{
    std::ofstream(this->directory / name) << text;
}

std::size_t CrowdHost::peakGrowth() const
{
    const std::size_t peak = this->child->peakResidentBytes();
    return peak > this->initialBytes ? peak - this->initialBytes : 0;
}

int CrowdHost::ordinaryStatus() const
{
    return statusOf(this->callers, "GET /brief HTTP/1.1\r\nHost: h\r\n"
                                   "X-Quetzal-Request-Id: ordinary\r\n"
                                   "X-Quetzal-Deadline-Ms: 9000\r\n\r\n");
}

} // namespace quetzal
