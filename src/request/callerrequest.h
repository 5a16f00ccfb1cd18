// A caller's HTTP request, checked and resolved against the tables.
#pragma once

#include "connection/httpreader.h"
#include "connection/messages.h"
#include "quetzal/fault.h"
#include "version/routingtables.h"

#include <optional>
#include <string>

namespace quetzal {

// What an entry host needs to know of a request.
struct CallerRequest
{
    const Route *route = nullptr;
    ForwardedRequest forwarded;
    // True if the caller named its request, so that it may send it again.
    bool hasCallerRequestId = false;
    // Time for the whole request: the route's, or the caller's if that is shorter.
    Millis deadline;
    std::optional<VersionId> pinnedVersion;
    std::size_t resultSize = 10;
    bool explain = false;
    std::optional<TraceContext> trace;
};

// Why a request is refused before anything is spent on it.
struct RequestProblem
{
    int status = 400;
    Fault fault = Fault::BadRequest;
    std::string text;
};

// A request, or what stands against it.
struct CheckedRequest
{
    CallerRequest request;
    std::optional<RequestProblem> problem;
};

// Checks a request against the tables. newId names it if the caller did not.
CheckedRequest checkRequest(const HttpRequest &message, const RoutingTables &tables,
                            const std::string &newId);

} // namespace quetzal
