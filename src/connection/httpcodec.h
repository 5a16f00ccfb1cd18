// Conversion of callers' and searchers' HTTP messages under configurable header names.
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

// Names of the product's own header fields in requests and replies.
struct HeaderNames
{
    // Identifies one attempt of a caller to have its request answered. All attempts at searchers
    // for it carry the same id, and searchers echo it.
    std::string requestId = "X-Quetzal-Request-Id";
    // Remaining time of the sender's time-out in milliseconds.
    std::string deadline = "X-Quetzal-Deadline-Ms";
    // The searcher that a request is addressed to; any other refuses it.
    std::string target = "X-Quetzal-Searcher";
    // A searcher's signature of its reply.
    std::string seal = "X-Quetzal-Seal";
    // Present in a reply if the searcher did not run the request.
    std::string notRun = "X-Quetzal-Not-Run";
    // Number of running requests, waiting requests and slots, and optionally how long work takes at
    // this moment in percent of the usual time, separated by commas.
    std::string load = "X-Quetzal-Load";
    // Requests a second that a searcher accepts from all hosts together, in its replies while it
    // does.
    std::string requestLimit = "X-Quetzal-Request-Limit";
    // Present with the value 1 in a reply of a searcher that is shutting down.
    std::string leaving = "X-Quetzal-Leaving";
    // Seals of the replies that a merged answer contains.
    std::string partSeals = "X-Quetzal-Parts";
    // Number of shards that are missing from a merged answer.
    std::string missingParts = "X-Quetzal-Missing-Parts";
    // Name of the workspace that the caller's key belongs to, set by the host for searchers.
    std::string workspace = "X-Quetzal-Workspace";
    // Milliseconds for which a searcher stays cold, in its replies to status checks.
    std::string coldTime = "X-Quetzal-Cold-Ms";
};

// The header fields of a caller's request.
struct CallerFields
{
    std::string requestId;
    // The caller's time-out, if stated and valid.
    std::optional<Millis> timeout;
    // Host field without a port, in lower case.
    std::string host;
    // Values of the Authorization fields.
    std::vector<std::string> authorization;
    // Fields that are forwarded to the searcher, as header lines that end with CRLF.
    std::string forwardedFields;
    // The Authorization and workspace fields as the caller sent them, in the same form. Forwarded
    // only if callers need no keys.
    std::string identityFields;
};

// A request as it is sent to searchers; shared by all attempts of a query.
struct OutboundRequest
{
    std::string method;
    std::string target;
    std::string requestId;
    // As CallerFields::forwardedFields.
    std::string forwardedFields;
    std::string body;
    // The request may run more than once.
    bool repeatable = true;
};

// The load that a searcher reports.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    // How long work takes on the searcher's machine at this moment, relative to the usual time; 1
    // if the searcher does not state it plausibly.
    double slowness = 1;
    // The searcher stated a slowness that is not plausible.
    bool isSlownessIgnored = false;
};

// What a searcher states about itself in a reply, apart from its load.
struct SearcherStatement
{
    // Requests a second that it accepts from all hosts together, if it limits them.
    std::optional<double> requestLimit;
    // It is shutting down and wants no new requests from any host.
    bool leaving = false;
    // It has refused a request and wants none from this host for this time.
    std::optional<Millis> pause;
    // How long it stays cold, if it states that.
    std::optional<Millis> coldFor;
    // The response was an interim one, so what it does not mention is unknown.
    bool isInterim = false;

    friend bool operator==(const SearcherStatement &, const SearcherStatement &) = default;
};

// How the request id in a reply compares with that of the request it was received for.
enum class RequestIdMatch { Equal, Different, Absent };

// A searcher's reply.
struct SearcherReply
{
    int status = 0;
    RequestIdMatch requestIdMatch = RequestIdMatch::Absent;
    // The searcher stated that it did not run the request.
    bool notRun = false;
    // The request reached another searcher than the one it was addressed to (status 421).
    bool misdirected = false;
    // Signature of the reply; empty if it has none.
    std::string seal;
    std::optional<LoadReport> load;
    SearcherStatement statement;
    // Fields that are forwarded to the caller.
    std::vector<HttpField> fields;
    std::string body;
};

// Parses and formats messages under one set of header names. Immutable.
class HttpCodec
{
public:
    explicit HttpCodec(HeaderNames names)
        : names(std::move(names))
    {}

    // Returns the fields of a caller's request that concern the product or are forwarded.
    CallerFields parseCallerRequest(const HttpRequest &request) const;

    // Returns the field that names a caller's workspace to searchers, as a header line.
    std::string workspaceField(const std::string &workspace) const;

    // Returns the bytes of one attempt. The deadline field states the time that is left, rounded
    // down to whole milliseconds, and at least 1.
    std::string encodeRequest(const OutboundRequest &request, std::string_view searcher,
                              Millis remaining) const;

    // Returns what a response, interim ones included, states about its searcher.
    SearcherStatement decodeStatement(const HttpResponse &response) const;

    // Returns the reply in a response that was received for the request.
    SearcherReply decodeReply(HttpResponse &&response, const OutboundRequest &request) const;

    // Returns the fields that list the seals of a merged answer's parts and count the missing ones.
    std::vector<HttpField> mergedReplyFields(const std::vector<std::string_view> &seals,
                                             std::size_t missing) const;

private:
    // True if a field is forwarded end to end. connectionField is the message's Connection field.
    bool isForwarded(const std::string &name, const std::string &connectionField) const;

    HeaderNames names;
};

} // namespace quetzal
