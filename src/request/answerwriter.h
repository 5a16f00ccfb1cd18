// Builds the HTTP responses that are sent to callers.
#pragma once

#include "connection/httpserver.h"
#include "request/query.h"

#include <functional>
#include <string>
#include <vector>

namespace quetzal {

// A complete HTTP response: status code, header fields and body.
struct HttpAnswer
{
    int status = 200;
    std::vector<HttpField> fields;
    std::string body;
    std::string contentType = "application/json";
};

// Returns the address of a searcher, for the "explain" section of an answer.
using SearcherAddressLookup = std::function<std::string(SearcherId)>;

// Builds the response to a query. A Retry-After field with retryAfter is added only if the request
// was not run. explain adds a list of all attempts to the body.
HttpAnswer writeAnswer(const Answer &answer, RouteKind kind, const std::string &requestId,
                       Millis retryAfter, bool explain, const SearcherAddressLookup &addressOf);

// Builds the response to a request that was rejected before a query was started for it.
HttpAnswer writeRefusal(int status, Fault fault, const std::string &text,
                        const std::string &requestId, Millis retryAfter);

} // namespace quetzal
