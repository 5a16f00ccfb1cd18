// Answers to callers as HTTP.
#pragma once

#include "connection/httpserver.h"
#include "request/query.h"

#include <functional>
#include <string>
#include <vector>

namespace quetzal {

// An answer ready to be sent.
struct HttpAnswer
{
    int status = 200;
    std::vector<HttpField> fields;
    std::string body;
    std::string contentType = "application/json";
};

// Returns the address of a searcher, for explanations.
using SearcherAddressLookup = std::function<std::string(SearcherId)>;

// Writes the answer of a query. retryAfter is told only where the request was not run.
HttpAnswer writeAnswer(const Answer &answer, RouteKind kind, const std::string &requestId,
                       Millis retryAfter, bool explain, const SearcherAddressLookup &addressOf);

// Writes a refusal before the query began.
HttpAnswer writeRefusal(int status, Fault fault, const std::string &text,
                        const std::string &requestId, Millis retryAfter);

} // namespace quetzal
