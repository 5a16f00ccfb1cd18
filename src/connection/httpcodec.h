// How callers' and searchers' HTTP messages are read and written, by the names of their fields.
#pragma once

#include "connection/httpreader.h"
#include "connection/httpserver.h"
#include "quetzal/millis.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

// Names of the header fields that requests and replies carry besides those of HTTP itself.
struct HeaderNames
{
    // Names one attempt of a caller; searchers echo it.
    std::string requestId = "X-Quetzal-Request-Id";
    // Milliseconds that the sender will still wait.
    std::string deadline = "X-Quetzal-Deadline-Ms";
    // The searcher that a request is for; any other refuses it.
    std::string target = "X-Quetzal-Searcher";
    // A searcher's signature of its reply.
    std::string seal = "X-Quetzal-Seal";
    // Present if the searcher did not run the request.
    std::string notRun = "X-Quetzal-Not-Run";
    // Running requests, waiting requests, slots.
    std::string load = "X-Quetzal-Load";
    // Seals of the parts that a merged answer holds.
    std::string partSeals = "X-Quetzal-Parts";
    // Number of shards that a merged answer lacks.
    std::string missingParts = "X-Quetzal-Missing-Parts";
};

// What a caller's request says besides method, target and body.
struct CallerFields
{
    std::string requestId;
    std::optional<Millis> timeout;
    // Host field without a port, in lower case.
    std::string host;
    // Fields that go on to the searcher, as lines of a head.
    std::string forwardedFields;
};

// A request as it goes to searchers; shared by all attempts of a query.
struct OutboundRequest
{
    std::string method;
    std::string target;
    std::string requestId;
    std::string forwardedFields;
    std::string body;
    bool repeatable = true;
};

// What a searcher says of its load.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

// Whose request a reply says it belongs to.
enum class RequestIdMatch { Equal, Different, Absent };

// A searcher's reply.
struct SearcherReply
{
    int status = 0;
    RequestIdMatch requestIdMatch = RequestIdMatch::Absent;
    // The searcher says that it did not run the request.
    bool notRun = false;
    // Another searcher has the address of the one that was meant.
    bool misdirected = false;
    std::string seal;
    std::optional<LoadReport> load;
    // Fields that go on to the caller.
    std::vector<HttpField> fields;
    std::string body;
};

// Reads and writes messages under one set of names. Immutable.
class HttpCodec
{
public:
    explicit HttpCodec(HeaderNames names)
        : names(std::move(names))
    {}

    CallerFields parseCallerRequest(const HttpRequest &request) const;

    // Returns the bytes of one attempt.
    std::string encodeRequest(const OutboundRequest &request, std::string_view searcher,
                              Millis left) const;

    SearcherReply decodeReply(HttpResponse &&response, const OutboundRequest &request) const;

    // Returns the fields that state what a merged answer holds.
    std::vector<HttpField> mergedReplyFields(const std::vector<std::string_view> &seals,
                                             std::size_t missing) const;

private:
    bool isForwarded(const std::string &name, const std::string &connectionField) const;

    HeaderNames names;
};

} // namespace quetzal
