// Stand-in for registered searchers that reply with fixed-size records.
#pragma once

#include "connection/httpcodec.h"
#include "connection/httpserver.h"
#include "process/eventloop.h"
#include "version/searcherdirectory.h"

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace quetzal {

// Behaviour of all searchers of the stand-in.
struct RecordBehaviour
{
    // Service time of a request.
    Millis serviceTime = Millis(8);
    // Fraction of requests with ten times the service time.
    double stragglerFraction = 0.01;
    // Number of records in a reply.
    std::size_t recordsPerReply = 20;
    // What each reply states about its searcher. A pause is only stated by refusals of a full
    // queue.
    SearcherStatement statement;
};

// Listens on the address of each registration. A reply carries a seal (a searcher's signature of
// its reply; here a value unique to the reply), the id of its request, the load of the searcher and
// records of 16 bytes. A request that names another searcher is refused with status 421, and one
// that finds all slots and the queue full with 503; both are marked as not run.
class RecordStandin
{
public:
    RecordStandin(EventLoop &loop, const HeaderNames &names,
                  const std::vector<SearcherRegistration> &searchers,
                  const RecordBehaviour &behaviour, std::uint64_t seed);

    // Returns the number of requests that were run, over all searchers.
    std::uint64_t runs() const { return this->runCount; }

private:
    // One searcher.
    struct Instance
    {
        SearcherRegistration registration;
        std::shared_ptr<HttpServer> server;
        std::uint32_t runningCount = 0;
        // Requests that wait for a slot, oldest first.
        std::vector<std::shared_ptr<HttpExchange>> queue;
    };

    void onRequest(Instance &instance, const std::shared_ptr<HttpExchange> &exchange);
    void run(Instance &instance, const std::shared_ptr<HttpExchange> &exchange);
    void finish(Instance &instance, const std::shared_ptr<HttpExchange> &exchange);
    // Responds with an error status that marks the request as not run.
    void refuse(const Instance &instance, HttpExchange &exchange, int status) const;
    // Returns the header fields of every reply: the request id and the load.
    std::vector<HttpField> replyFields(const Instance &instance,
                                       const HttpExchange &exchange) const;
    // Returns the body of a reply.
    std::string makeRecords(const Instance &instance);

    // Requests per searcher.
    static constexpr std::size_t maxQueueLength = 12;

    EventLoop &loop;
    HeaderNames names;
    RecordBehaviour behaviour;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Instance>> instances;
    std::uint64_t runCount = 0;
    std::uint64_t sealCount = 0;
};

} // namespace quetzal
