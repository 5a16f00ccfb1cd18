// Callers that wait for each answer and check it.
#pragma once

#include "connection/httpclient.h"
#include "process/eventloop.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace quetzal {

// Repeats requests on many connections and counts what comes back. Used on one thread.
class AnswerLoad
{
public:
    // Answers to one target.
    struct Tally
    {
        std::size_t successes = 0;
        std::size_t failures = 0;
        // Successes that are not the whole answer of the host's own searcher.
        std::size_t wrong = 0;
        // Connections that ended while a request was open.
        std::size_t closed = 0;
        Millis longest;
    };

    AnswerLoad(EventLoop &loop, std::uint16_t port)
        : loop(loop)
        , address("127.0.0.1:" + std::to_string(port))
    {}
    ~AnswerLoad() { this->stop(); }
    AnswerLoad(const AnswerLoad &) = delete;
    AnswerLoad &operator=(const AnswerLoad &) = delete;

    // Adds callers that request a target, with a pause after each answer.
    void add(const std::string &target, std::size_t callers, Millis pause);

    // Closes all connections.
    void stop();

    const Tally &tally(const std::string &target) { return this->tallies[target]; }

private:
    struct Caller
    {
        std::string target;
        Millis pause;
        Millis sentAt;
        bool waiting = false;
        std::shared_ptr<HttpClient> client;
    };

    void connect(const std::shared_ptr<Caller> &caller);
    void send(const std::shared_ptr<Caller> &caller);
    void onResponse(const std::shared_ptr<Caller> &caller, const HttpResponse &response);
    void sendLater(const std::shared_ptr<Caller> &caller);

    EventLoop &loop;
    std::string address;
    std::uint64_t lastId = 0;
    bool stopped = false;
    std::vector<std::shared_ptr<Caller>> callers;
    std::map<std::string, Tally> tallies;
};

} // namespace quetzal
