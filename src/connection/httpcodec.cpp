#include "connection/httpcodec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include <Poco/String.h>

namespace quetzal {

// Status "Misdirected Request".
static constexpr int misdirected = 421;
static constexpr int serviceUnavailable = 503;
// Longer pauses that searchers ask for are reduced to this one.
static constexpr Millis maxPause = Millis(60'000);
// Longer time-outs of callers are reduced to this one.
static constexpr double maxTimeoutMs = 3'600'000;

// Hop-by-hop fields, and those that the sender of each message writes itself.
static constexpr std::array<std::string_view, 10> hopByHopFields = {
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
};

// Compares two field names without regard to case.
static bool equalFieldNames(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return Poco::Ascii::toLower(x) == Poco::Ascii::toLower(y);
           });
}

// True if a comma-separated list contains a name.
static bool listContains(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const std::size_t end = std::min(list.find(','), list.size());
        std::string_view item = list.substr(0, end);
        list.remove_prefix(std::min(list.size(), end + 1));
        while (!item.empty() && item.front() == ' ')
            item.remove_prefix(1);
        while (!item.empty() && item.back() == ' ')
            item.remove_suffix(1);
        if (equalFieldNames(item, name))
            return true;
    }
    return false;
}

// Returns a non-negative number of milliseconds, limited to the maximum, or nothing if the text is
// malformed.
static std::optional<Millis> parseMillis(const std::string &text)
{
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool parsedCompletely
            = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (!parsedCompletely || !std::isfinite(value) || value < 0)
        return std::nullopt;
    return Millis(std::min(value, maxTimeoutMs));
}

// Returns a finite, non-negative number, or nothing if the text is malformed.
static std::optional<double> parseNumber(const std::string &text)
{
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isValid = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size()
                         && std::isfinite(value) && value >= 0;
    return isValid ? std::optional(value) : std::nullopt;
}

// Parses a Retry-After field in seconds, limited to the maximum. A date is ignored, because it
// would have to be compared with the host's time of day.
static std::optional<Millis> parsePause(const std::string &text)
{
    static constexpr double millisPerSecond = 1000;
    const std::optional<double> seconds = parseNumber(text);
    if (!seconds)
        return std::nullopt;
    return std::min(maxPause, Millis(*seconds * millisPerSecond));
}

// Returns the fourth figure of a load report, a percentage, as a factor; nothing if it is not
// plausible.
static std::optional<double> parseSlowness(std::string_view text)
{
    static constexpr unsigned minPercent = 10;
    static constexpr unsigned maxPercent = 10'000;
    static constexpr double percent = 100;
    unsigned value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isValid = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size()
                         && value >= minPercent && value <= maxPercent;
    return isValid ? std::optional(value / percent) : std::nullopt;
}

// Parses "running,waiting,slots" or "running,waiting,slots,percent".
static std::optional<LoadReport> parseLoadReport(const std::string &text)
{
    std::array<std::uint32_t, 3> numbers = {};
    const char *position = text.data();
    const char *end = position + text.size();
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        const auto parsed = std::from_chars(position, end, numbers[i]);
        const bool last = i + 1 == numbers.size();
        if (parsed.ec != std::errc() || (parsed.ptr == end && !last)
            || (parsed.ptr != end && *parsed.ptr != ','))
            return std::nullopt;
        position = parsed.ptr + (parsed.ptr == end ? 0 : 1);
    }
    LoadReport report = { numbers[0], numbers[1], numbers[2] };
    if (position != end) {
        const auto slowness = parseSlowness({ position, static_cast<std::size_t>(end - position) });
        report.slowness = slowness.value_or(1);
        report.isSlownessIgnored = !slowness;
    }
    return report;
}

// Returns the name or address of a Host field in lower case; IPv6 brackets stay.
static std::string hostWithoutPort(std::string host)
{
    const std::size_t colon = host.rfind(':');
    if (colon != std::string::npos && host.find(']', colon) == std::string::npos)
        host.resize(colon);
    return Poco::toLower(host);
}

bool HttpCodec::isForwarded(const std::string &name, const std::string &connectionField) const
{
    const bool isHopByHop
            = std::any_of(hopByHopFields.begin(), hopByHopFields.end(),
                          [&](std::string_view field) { return equalFieldNames(field, name); });
    return !isHopByHop && !listContains(connectionField, name);
}

CallerFields HttpCodec::parseCallerRequest(const HttpRequest &request) const
{
    CallerFields result;
    const std::string connection = request.head.get("Connection", "");
    for (const auto &[name, value] : request.head) {
        if (equalFieldNames(name, this->names.deadline)) {
            result.timeout = parseMillis(value);
            continue;
        }
        const bool isAuthorization = equalFieldNames(name, "Authorization");
        if (isAuthorization)
            result.authorization.push_back(value);
        if (equalFieldNames(name, this->names.target) || !this->isForwarded(name, connection))
            continue;
        if (equalFieldNames(name, "Host"))
            result.host = hostWithoutPort(value);
        // The request has been received completely, so searchers need not send 100 Continue.
        if (equalFieldNames(name, "Expect"))
            continue;
        if (equalFieldNames(name, this->names.requestId))
            result.requestId = value;
        const bool isIdentity = isAuthorization || equalFieldNames(name, this->names.workspace);
        std::string &fields = isIdentity ? result.identityFields : result.forwardedFields;
        fields += name;
        fields += ": ";
        fields += value;
        fields += "\r\n";
    }
    return result;
}

std::string HttpCodec::workspaceField(const std::string &workspace) const
{
    return this->names.workspace + ": " + workspace + "\r\n";
}

std::string HttpCodec::encodeRequest(const OutboundRequest &request, std::string_view searcher,
                                     Millis remaining) const
{
    std::string text;
    // 160 bytes for the rest of the start line and the fields added here; only an estimate.
    text.reserve(request.forwardedFields.size() + request.target.size() + request.body.size()
                 + 160);
    text += request.method;
    text += ' ';
    text += request.target;
    text += " HTTP/1.1\r\n";
    text += request.forwardedFields;
    const auto wholeMillis = static_cast<long long>(std::max(1.0, std::floor(remaining.count())));
    text += this->names.deadline + ": " + std::to_string(wholeMillis) + "\r\n";
    text += this->names.target + ": ";
    text += searcher;
    text += "\r\n";
    const bool bodyless = request.body.empty() && request.method != "POST"
                          && request.method != "PUT" && request.method != "PATCH";
    if (!bodyless)
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    text += "\r\n";
    text += request.body;
    return text;
}

SearcherStatement HttpCodec::decodeStatement(const HttpResponse &response) const
{
    static constexpr int statusOk = 200;
    SearcherStatement statement;
    statement.isInterim = response.head.getStatus() < statusOk;
    for (const auto &[name, value] : response.head) {
        if (equalFieldNames(name, this->names.requestLimit))
            statement.requestLimit = parseNumber(value);
        else if (equalFieldNames(name, this->names.leaving))
            statement.leaving = statement.leaving || value == "1";
        else if (equalFieldNames(name, this->names.coldTime))
            statement.coldFor = parseMillis(value);
        else if (response.head.getStatus() == serviceUnavailable
                 && equalFieldNames(name, "Retry-After"))
            statement.pause = parsePause(value);
    }
    return statement;
}

SearcherReply HttpCodec::decodeReply(HttpResponse &&response, const OutboundRequest &request) const
{
    SearcherReply reply;
    reply.statement = this->decodeStatement(response);
    reply.status = response.head.getStatus();
    reply.misdirected = reply.status == misdirected;
    reply.notRun = reply.misdirected;
    reply.body = std::move(response.body);
    const std::string connection = response.head.get("Connection", "");
    for (const auto &[name, value] : response.head) {
        if (equalFieldNames(name, this->names.requestId))
            reply.requestIdMatch = value == request.requestId ? RequestIdMatch::Equal
                                                              : RequestIdMatch::Different;
        if (equalFieldNames(name, this->names.notRun))
            reply.notRun = true;
        if (equalFieldNames(name, this->names.seal))
            reply.seal = value;
        if (equalFieldNames(name, this->names.load)) {
            reply.load = parseLoadReport(value);
            continue;
        }
        if (this->isForwarded(name, connection))
            reply.fields.push_back({ name, value });
    }
    return reply;
}

std::vector<HttpField> HttpCodec::mergedReplyFields(const std::vector<std::string_view> &seals,
                                                    std::size_t missing) const
{
    std::string joined;
    for (const std::string_view seal : seals) {
        joined += joined.empty() ? "" : ", ";
        joined += seal;
    }
    std::vector<HttpField> fields = { { this->names.partSeals, joined } };
    fields.push_back({ this->names.missingParts, std::to_string(missing) });
    return fields;
}

} // namespace quetzal
