// A stand-in of searchers that register themselves and answer with records.
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

// How all searchers of a stand-in behave.
struct RecordBehaviour
{
    // Time that a request takes.
    Millis service = Millis(8);
    // Fraction of requests that take ten times as long.
    double slowFraction = 0.01;
    // Records in a reply.
    std::size_t records = 20;
};

// Serves at the address of each registration. A reply is sealed, names its request and its load,
// and holds records of 16 bytes; a request for another searcher is refused with 421, one beyond
// slots and queue with 503, as not run.
class RecordStandin
{
public:
    RecordStandin(EventLoop &loop, const HeaderNames &names,
                  const std::vector<SearcherRegistration> &searchers,
                  const RecordBehaviour &behaviour, std::uint64_t seed);

    // Requests that were run, each at one searcher.
    std::uint64_t runs() const { return this->ran; }

private:
    struct Place
    {
        SearcherRegistration entry;
        std::shared_ptr<HttpServer> server;
        std::uint32_t running = 0;
        std::vector<std::shared_ptr<HttpExchange>> waiting;
    };

    void onRequest(Place &place, const std::shared_ptr<HttpExchange> &exchange);
    void run(Place &place, const std::shared_ptr<HttpExchange> &exchange);
    void finish(Place &place, const std::shared_ptr<HttpExchange> &exchange);
    void refuse(const Place &place, HttpExchange &exchange, int status) const;
    std::vector<HttpField> fieldsFor(const Place &place, const HttpExchange &exchange) const;
    std::string recordsOf(const Place &place);

    static constexpr std::size_t longestQueue = 12;

    EventLoop &loop;
    HeaderNames names;
    RecordBehaviour behaviour;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Place>> places;
    std::uint64_t ran = 0;
    std::uint64_t sealed = 0;
};

} // namespace quetzal
