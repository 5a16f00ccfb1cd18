// Stand-in for the platform's key-value service.
#pragma once

#include "connection/httpserver.h"
#include "process/eventloop.h"
#include "standins/requesttarget.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace quetzal {

// Serves a key-value store over HTTP:
//   GET /kv/KEY                      returns the value, with its version in X-Store-Version; 404 if
//                                    the key is absent
//   GET /kv/KEY?wait=V&timeout_ms=T  watch: responds once the version differs from V, or after T ms
//   PUT /kv/KEY                      writes the value; If-Match: V makes it a compare-and-swap that
//                                    fails with 412 unless the version is V (0: absent); ttl_ms=T
//                                    removes the key after T ms unless it is written again
//   DELETE /kv/KEY                   removes the key; If-Match as above
//   GET /list?prefix=P               returns the keys, one per line
//   POST /fault?outage=none|refuse|hang&delay_ms=D&lose=F&deaf_watches=0|1
//                                    delay_ms: delay of each request; refuse: responds 503; hang:
//                                    does not respond; lose: fraction of writes whose reply is
//                                    lost; deaf_watches: changes do not complete watches
//   GET /calls                       returns the number of requests, control requests excluded
class StoreStandin
{
public:
    StoreStandin(EventLoop &loop, const std::string &address, std::uint64_t seed);

private:
    struct Entry
    {
        std::string value;
        std::uint64_t version = 0;
        Millis expiresAt = Millis::never();
    };

    // A read that waits for the key's version to change.
    struct Watch
    {
        std::string key;
        std::uint64_t version = 0;
        std::shared_ptr<HttpExchange> exchange;
    };

    void onRequest(const std::shared_ptr<HttpExchange> &exchange);
    void serve(const std::shared_ptr<HttpExchange> &exchange);
    void setFault(const RequestTarget &query);
    void read(const std::shared_ptr<HttpExchange> &exchange, const RequestTarget &query);
    void write(HttpExchange &exchange, const RequestTarget &query);
    void remove(HttpExchange &exchange, const std::string &key);
    // Responds with a value and its version, or with 404.
    void respondWithEntry(HttpExchange &exchange, const std::string &key);
    // Returns whether the If-Match field of a request, if there is one, holds the key's version.
    bool satisfiesIfMatch(const HttpExchange &exchange, const std::string &key) const;
    // Responds to all watches of a key.
    void notifyWatches(const std::string &key);
    // Decides at random whether the reply to a write is lost.
    bool losesReply();

    EventLoop &loop;
    std::mt19937_64 random;
    std::map<std::string, Entry> entries;
    std::vector<Watch> watches;
    std::shared_ptr<HttpServer> server;
    std::uint64_t lastVersion = 0;
    std::uint64_t callCount = 0;
    std::string outage = "none";
    Millis delay;
    double replyLossFraction = 0;
    bool suppressesWatches = false;
};

} // namespace quetzal
