// A stand-in for one searcher: a few slots, a short queue, and answers with a signature.
#pragma once

#include "http.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

struct SearcherPlace
{
    std::string id;
    std::string service;
    std::string zone;
    Address address;
    int slots = 2;
    Milliseconds work = Milliseconds(20);
    // Returns the body of the answer to a request.
    std::function<std::string(const std::string &requestId)> body;
};

// Returns what a searcher writes about itself into the store.
std::string registrationOf(const SearcherPlace &place);

// Serves on its address until it is destroyed.
class Searcher
{
public:
    explicit Searcher(SearcherPlace place);
    ~Searcher();
    Searcher(const Searcher &) = delete;
    Searcher &operator=(const Searcher &) = delete;

    bool isServing() const { return this->listener.isOpen(); }
    const SearcherPlace &place() const { return this->searcherPlace; }
    // Returns the ids of the requests that this searcher has begun to run.
    std::vector<std::string> runs() const;
    // Returns the same with the times at which the runs began.
    std::vector<std::pair<std::string, Time>> runTimes() const;

private:
    void accept();
    void serve(Connection &connection);
    std::string answer(const Message &request);
    // Waits for a slot. Returns false if the queue is full or the time has passed.
    bool takeSlot(Time until);
    void releaseSlot();
    std::string load();

    SearcherPlace searcherPlace;
    Socket listener;
    std::atomic<bool> stopping = false;
    mutable std::mutex mutex;
    std::condition_variable slotFree;
    int running = 0;
    int waiting = 0;
    std::vector<std::pair<std::string, Time>> runList;
    std::thread acceptor;
    std::vector<std::thread> workers;
};

} // namespace review
