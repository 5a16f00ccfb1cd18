// Puts the log lines of one request in order and names why it ended as it did.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

// One line of a host's log.
struct LogLine
{
    // The file or, if lines bear one before their time, the host.
    std::string host;
    // As written, so that lines of one day sort by it.
    std::string time;
    std::string event;
    // Values by key; a value in quotes is without them.
    std::map<std::string, std::string, std::less<>> fields;

    // Returns a field's value, or nothing of it.
    std::string_view field(std::string_view key) const;
};

// Reads a line. Returns nothing for one that is no event.
std::optional<LogLine> parseLogLine(std::string_view text, const std::string &source);

// What became of a request.
struct RequestTrace
{
    // In order of time.
    std::vector<LogLine> lines;
    // One sentence; empty if no line names the request.
    std::string cause;
    // True if the lines tell why, and not only that the request ended.
    bool explained = false;
};

// Gathers the lines of a request from those of all hosts.
RequestTrace traceRequest(const std::vector<LogLine> &lines, std::string_view id);

// Returns the ids of requests that ended without success or without some of their parts.
std::vector<std::string> failedRequests(const std::vector<LogLine> &lines);

} // namespace quetzal
