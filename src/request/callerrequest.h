// Validates a caller's HTTP request and resolves it against the routing tables.
#pragma once

#include "connection/httpreader.h"
#include "connection/messages.h"
#include "quetzal/fault.h"
#include "version/routingtables.h"

#include <optional>
#include <string>

namespace quetzal {

// A validated request: its route, what is forwarded to searchers, and the caller's options.
struct CallerRequest
{
    const Route *route = nullptr;
    ForwardedRequest forwarded;
    // True if the caller supplied the request id, so that it may resend the request under that id.
    bool hasCallerRequestId = false;
    // Time limit for the whole request: the minimum of the route's and the caller's.
    Millis deadline;
    // The index version that the caller asked for, if any.
    std::optional<VersionId> pinnedVersion;
    // Maximum number of hits in the answer.
    std::size_t resultSize = 10;
    // True if the caller wants a list of all attempts in the answer.
    bool explain = false;
    std::optional<TraceContext> trace;
};

// The HTTP status, error code and message with which an invalid request is rejected.
struct RequestProblem
{
    int status = 400;
    Fault fault = Fault::BadRequest;
    std::string text;
};

// The result of checkRequest: request is complete only if problem is empty.
struct CheckedRequest
{
    CallerRequest request;
    std::optional<RequestProblem> problem;
};

// Validates a request against the routing tables. newId becomes the request id if the caller sent
// none.
CheckedRequest checkRequest(const HttpRequest &message, const RoutingTables &tables,
                            const std::string &newId);

} // namespace quetzal
