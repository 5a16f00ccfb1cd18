// One quetzal-gateway process with a searcher of its own.
#pragma once

#include "connection/httpserver.h"
#include "crowd/childprocess.h"

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace quetzal {

// What a host has besides its own searcher.
struct CrowdHostOptions
{
    std::uint32_t memoryMb = 256;
    // Addresses of faulty searchers. The pool "pN" has the one at index N and the host's own
    // searcher; the route "/pN/" leads to that pool, and "/all/" to all such pools as shards.
    std::vector<std::string> faultyAddresses;
    // The host's own searcher is in these pools, too.
    bool hasOwnInPools = true;
    // Address of a further searcher that is in all of these pools.
    std::string sharedAddress;
    // Address of the store; if empty, the host has tables from files, and is awaited until it is
    // ready.
    std::string storeAddress;
};

// Starts a searcher on a thread of the test and a gateway on free ports of 127.0.0.1, and waits
// until the gateway is ready. The searcher answers "/long" with longAnswerBytes and all else
// with one record.
class CrowdHost
{
public:
    static constexpr std::size_t longAnswerBytes = 1'048'576;
    static constexpr std::size_t recordBytes = 16;
    // Target time of requests that only the host's own searcher answers.
    static constexpr Millis ordinaryTarget = Millis(5000);

    explicit CrowdHost(const CrowdHostOptions &options = CrowdHostOptions());
    ~CrowdHost();
    CrowdHost(const CrowdHost &) = delete;
    CrowdHost &operator=(const CrowdHost &) = delete;

    ChildProcess &process() { return *this->child; }
    std::uint16_t callersPort() const { return this->callers; }

    // Returns the growth of the resident memory since the process was ready, at its highest.
    std::size_t peakGrowth() const;

    // Returns the status of one ordinary request on a new connection.
    int ordinaryStatus() const;

private:
    void writeView(const CrowdHostOptions &options) const;
    void writeFile(const std::string &name, const std::string &text) const;
    std::string path(const std::string &name) const { return (this->directory / name).string(); }

    std::filesystem::path directory;
    EventLoop loop;
    std::shared_ptr<HttpServer> searcher;
    std::thread thread;
    std::uint16_t callers = 0;
    std::unique_ptr<ChildProcess> child;
    std::size_t initialBytes = 0;
};

} // namespace quetzal
