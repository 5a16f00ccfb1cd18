// A stand-in for the platform's store: one listing page, watches, and writes by the operator and by
// searchers. Each change has a revision of its own.
#pragma once

#include "http.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

class Store
{
public:
    // Serves on the address until this object is destroyed.
    explicit Store(const Address &address);
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    bool isServing() const { return this->listener.isOpen(); }
    // Writes a key. Its return is the confirmation.
    void put(const std::string &key, const std::string &value);
    void erase(const std::string &key);

private:
    struct Item
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t createRevision = 0;
        bool deleted = false;
    };

    void accept();
    void serve(Connection &connection);
    std::string answer(const Message &request);
    std::string listing(const std::string &prefix, const std::string &after);
    std::string events(const std::string &prefix, std::uint64_t after, Milliseconds wait);
    static std::string json(const Item &item);

    Socket listener;
    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    std::uint64_t revision = 1;
    std::map<std::string, Item> items;
    // All changes, oldest first.
    std::vector<Item> history;
    std::thread acceptor;
    std::vector<std::thread> workers;
};

} // namespace review
