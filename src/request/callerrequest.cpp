#include "request/callerrequest.h"

#include "process/tracing.h"

#include <algorithm>
#include <cctype>

#include <Poco/JSON/Parser.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

namespace quetzal {

// Limits of what callers may send: characters of a request id, bytes of a request target, hits.
static constexpr std::size_t maxRequestIdLength = 128;
static constexpr std::size_t maxTargetLength = 8192;
static constexpr std::size_t maxResultSize = 1000;
static constexpr int statusNotFound = 404;
static constexpr int statusUriTooLong = 414;
static constexpr const char *requestIdField = "X-Quetzal-Request-Id";
static constexpr const char *deadlineField = "X-Quetzal-Deadline-Ms";
static constexpr const char *versionField = "X-Quetzal-Version";
static constexpr const char *explainField = "X-Quetzal-Explain";

static RequestProblem badRequest(const std::string &text)
{
    return { 400, Fault::BadRequest, text };
}

static bool isPlainToken(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':';
    });
}

static std::optional<RequestProblem> readRequestId(const HttpRequest &message,
                                                   const std::string &newId, CallerRequest &request)
{
    request.hasCallerRequestId = message.head.has(requestIdField);
    request.forwarded.requestId = message.head.get(requestIdField, newId);
    const std::string &id = request.forwarded.requestId;
    if (id.empty() || id.size() > maxRequestIdLength || !isPlainToken(id))
        return badRequest(std::string("header \"") + requestIdField
                          + "\" must be 1 to 128 letters, digits, '-', '_', '.' or ':'");
    return std::nullopt;
}

static std::optional<RequestProblem> readDeadline(const HttpRequest &message,
                                                  CallerRequest &request)
{
    request.deadline = request.route->deadline;
    if (!message.head.has(deadlineField))
        return std::nullopt;
    double value = 0;
    const std::string text = message.head.get(deadlineField);
    if (!Poco::NumberParser::tryParseFloat(text, value) || !(value > 0) || !(value < 1e9))
        return badRequest(std::string("header \"") + deadlineField + "\" value \"" + text
                          + "\" must be a positive number of milliseconds");
    request.deadline = std::min(request.deadline, Millis(value));
    return std::nullopt;
}

static std::optional<RequestProblem> readVersion(const std::string &text, CallerRequest &request)
{
    Poco::UInt64 value = 0;
    if (!Poco::NumberParser::tryParseUnsigned64(text, value) || value == 0)
        return badRequest("index version \"" + text + "\" must be a positive whole number");
    request.pinnedVersion = VersionId{ value };
    return std::nullopt;
}

static std::optional<RequestProblem> readQuery(const Poco::URI &uri, CallerRequest &request)
{
    for (const auto &[name, value] : uri.getQueryParameters()) {
        if (name == "limit") {
            unsigned size = 0;
            const bool valid = Poco::NumberParser::tryParseUnsigned(value, size) && size >= 1
                               && size <= maxResultSize;
            if (!valid)
                return badRequest("parameter \"limit\" value \"" + value + "\" must be from 1 to "
                                  + std::to_string(maxResultSize));
            request.resultSize = size;
        }
        if (name == "version") {
            if (auto problem = readVersion(value, request))
                return problem;
        }
    }
    return std::nullopt;
}

static std::optional<RequestProblem> checkBody(const HttpRequest &message,
                                               const CallerRequest &request)
{
    const bool isJson = message.head.getContentType().starts_with("application/json");
    if (request.route->kind != RouteKind::AllShards || message.body.empty() || !isJson)
        return std::nullopt;
    try {
        Poco::JSON::Parser parser;
        parser.parse(message.body);
    } catch (const Poco::Exception &error) {
        return badRequest("body is not valid JSON: " + error.message());
    }
    return std::nullopt;
}

static std::optional<RequestProblem> parseRequest(const HttpRequest &message,
                                                  const RoutingTables &tables,
                                                  const std::string &newId, CallerRequest &request)
{
    const std::string &target = message.head.getURI();
    if (target.size() > maxTargetLength)
        return RequestProblem{ statusUriTooLong, Fault::BadRequest, "request target is too long" };
    if (!target.starts_with('/'))
        return badRequest("request target must begin with \"/\"");
    Poco::URI uri;
    try {
        uri = Poco::URI(target);
    } catch (const Poco::Exception &) {
        return badRequest("request target is malformed");
    }
    if (auto problem = readRequestId(message, newId, request))
        return problem;
    const std::string host = message.head.get("Host", "");
    request.route = tables.match(message.head.getMethod(), uri.getPath(),
                                 host.substr(0, host.rfind(':')));
    if (request.route == nullptr)
        return RequestProblem{ statusNotFound, Fault::NoRoute,
                               "no route matches " + message.head.getMethod() + " "
                                       + uri.getPath() };
    if (auto problem = readDeadline(message, request))
        return problem;
    if (auto problem = readQuery(uri, request))
        return problem;
    if (message.head.has(versionField)) {
        if (auto problem = readVersion(message.head.get(versionField), request))
            return problem;
    }
    if (auto problem = checkBody(message, request))
        return problem;
    if (request.pinnedVersion && request.route->kind == RouteKind::OneSearcher)
        return badRequest("route \"" + request.route->name + "\" has no index version to pin");
    request.explain = message.head.has(explainField);
    request.trace = parseTraceparent(message.head.get("traceparent", ""));
    request.forwarded.method = message.head.getMethod();
    request.forwarded.target = target;
    request.forwarded.contentType
            = message.head.has("Content-Type") ? message.head.getContentType() : std::string();
    request.forwarded.body = message.body;
    request.forwarded.limit = static_cast<std::uint32_t>(request.resultSize);
    return std::nullopt;
}

CheckedRequest checkRequest(const HttpRequest &message, const RoutingTables &tables,
                            const std::string &newId)
{
    CheckedRequest checked;
    checked.problem = parseRequest(message, tables, newId, checked.request);
    return checked;
}

} // namespace quetzal
