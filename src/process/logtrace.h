// Finds the log lines of a request on all hosts and derives why the request failed.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

// A parsed line of a host's log.
struct LogLine
{
    // The word before the time, which log collectors set to the host, or else the name of the file.
    std::string host;
    // ISO 8601 timestamp as written, which sorts lexically.
    std::string time;
    std::string event;
    // Values by key, without the quotes around them.
    std::map<std::string, std::string, std::less<>> fields;

    // Returns the value of a field, or an empty string if there is none.
    std::string_view field(std::string_view key) const;
};

// Parses a line. Returns nothing if it is not an event. The source is the host if the line has
// none.
std::optional<LogLine> parseLogLine(std::string_view text, const std::string &source);

// The log lines of a request and its outcome.
struct RequestTrace
{
    // Sorted by time.
    std::vector<LogLine> lines;
    // How the request ended and why; empty if no line says that it did.
    std::string cause;
    // True if the lines contain the reason and not only the end of the request.
    bool explained = false;
};

// Selects the lines of the request with the given id and derives its cause.
RequestTrace traceRequest(const std::vector<LogLine> &lines, std::string_view id);

// Returns the ids of the requests that failed, were refused or got a partial response.
std::vector<std::string> failedRequests(const std::vector<LogLine> &lines);

} // namespace quetzal
