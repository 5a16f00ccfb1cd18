// A stand-in of the platform's store that can impair each gateway's calls separately.
#pragma once

#include "hunt/functionserver.h"
#include "quetzal/millis.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

enum class StoreFault {
    None,
    Refuse503,
    Refuse429,
    Reset,
    Silent,
    Slow,
    LoseAnswer,
    Cut,
    NoJson,
    OddPage
};

// Names in the order of the enumerators.
inline constexpr std::array<std::string_view, 10> storeFaultNames
        = { "none", "503",         "429", "reset",   "silent",
            "slow", "answer lost", "cut", "no JSON", "odd page" };

// Serves each gateway at an address of its own.
class HuntStore
{
public:
    explicit HuntStore(std::size_t gateways);
    ~HuntStore();
    HuntStore(const HuntStore &) = delete;
    HuntStore &operator=(const HuntStore &) = delete;

    std::string address(std::size_t gateway) const;

    // Writes a value. jsonKey: the key as text in JSON.
    void put(const std::string &jsonKey, const std::string &value);
    void erase(const std::string &jsonKey);

    // Impairs all calls of a gateway from now on.
    void setFault(std::size_t gateway, StoreFault fault) { this->links[gateway]->fault = fault; }
    // Never answers again on a gateway's open connections; new ones work.
    void silenceConnections(std::size_t gateway);
    // Ends the watches that wait.
    void endWatches(std::size_t gateway);
    // Discards the history before the present revision.
    void dropHistory(std::size_t gateway);

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    // What concerns one gateway.
    struct Link
    {
        std::atomic<StoreFault> fault = StoreFault::None;
        // Connections from ports that are in the set are never answered.
        std::set<std::uint16_t> silentPorts;
        std::set<std::uint16_t> openPorts;
        int watchEnds = 0;
        std::uint64_t historyStart = 0;
        std::unique_ptr<FunctionServer> server;
    };

    void handle(Link &link, Poco::Net::HTTPServerRequestImpl &request,
                Poco::Net::HTTPServerResponse &response);
    // Returns the body of a response; an empty one stands for status 410.
    std::string list(const std::string &after);
    std::string watch(Link &link, std::uint64_t after, Millis wait);
    void change(const std::string &jsonKey, const Item &item);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::uint64_t revision = 0;
    std::atomic<bool> stopping = false;
    std::vector<std::unique_ptr<Link>> links;
};

} // namespace quetzal
