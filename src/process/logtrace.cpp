#include "process/logtrace.h"

#include <algorithm>
#include <cctype>

namespace quetzal {

static constexpr std::string_view eventPrefix = " QZ";
static constexpr std::string_view okStatus = "200";

std::string_view LogLine::field(std::string_view key) const
{
    const auto found = this->fields.find(key);
    return found != this->fields.end() ? std::string_view(found->second) : std::string_view();
}

static bool isTime(std::string_view word)
{
    static constexpr std::size_t minLength = 19;
    return word.size() >= minLength && word[4] == '-' && word[10] == 'T' && word[13] == ':';
}

// Removes the next word from a text and returns it. A word ends at a space outside of quotes.
static std::string_view nextWord(std::string_view &text)
{
    const std::size_t begin = text.find_first_not_of(' ');
    if (begin == std::string_view::npos) {
        text = {};
        return {};
    }
    std::size_t end = begin;
    bool quoted = false;
    while (end < text.size() && (quoted || text[end] != ' ')) {
        quoted = quoted != (text[end] == '"');
        ++end;
    }
    const std::string_view word = text.substr(begin, end - begin);
    text.remove_prefix(end);
    return word;
}

static void readFields(std::string_view text, LogLine &line)
{
    while (true) {
        const std::string_view word = nextWord(text);
        if (word.empty())
            return;
        const std::size_t at = word.find('=');
        if (at == std::string_view::npos)
            continue;
        std::string_view value = word.substr(at + 1);
        if (value.size() >= 2 && value.front() == '"' && value.back() == '"')
            value = value.substr(1, value.size() - 2);
        line.fields.emplace(word.substr(0, at), value);
    }
}

std::optional<LogLine> parseLogLine(std::string_view text, const std::string &source)
{
    const std::size_t mark = text.find(eventPrefix);
    if (mark == std::string_view::npos)
        return std::nullopt;
    LogLine line;
    line.host = source;
    std::string_view head = text.substr(0, mark);
    std::string_view previousWord;
    for (std::string_view word = nextWord(head); !word.empty(); word = nextWord(head)) {
        if (isTime(word)) {
            line.time = word;
            if (!previousWord.empty())
                line.host = previousWord;
            break;
        }
        previousWord = word;
    }
    if (line.time.empty())
        return std::nullopt;
    std::string_view rest = text.substr(mark + 1);
    nextWord(rest);
    line.event = nextWord(rest);
    readFields(rest, line);
    return line;
}

static bool isPartial(const LogLine &line)
{
    return line.event == "request-ended" && !line.field("missing").empty();
}

static bool isFailed(const LogLine &line)
{
    return line.event == "request-refused"
           || (line.event == "request-ended" && line.field("status") != okStatus);
}

std::vector<std::string> failedRequests(const std::vector<LogLine> &lines)
{
    std::vector<std::string> ids;
    for (const LogLine &line : lines) {
        if (isFailed(line) || isPartial(line))
            ids.emplace_back(line.field("id"));
    }
    return ids;
}

// Returns the number of failed attempts by error code, without cancelled ones.
static std::string failedAttemptCounts(const std::vector<LogLine> &lines)
{
    std::map<std::string, int, std::less<>> counts;
    for (const LogLine &line : lines) {
        if (line.event == "attempt-failed" && line.field("code") != "cancelled")
            counts[std::string(line.field("code"))] += 1;
    }
    std::string text;
    for (const auto &[code, count] : counts)
        text += (text.empty() ? "" : ", ") + code + " x" + std::to_string(count);
    return text;
}

// Describes the relaying hosts that returned only some of the parts of their searchers.
static std::string incompleteRelays(const std::vector<LogLine> &lines)
{
    std::string text;
    for (const LogLine &line : lines) {
        if (line.event != "relay-gathered" || line.field("missing").empty())
            continue;
        text += (text.empty() ? "" : "; ") + line.host + " gathered "
                + std::string(line.field("parts")) + " in " + std::string(line.field("ms"))
                + " ms, last failure " + std::string(line.field("code"));
    }
    return text;
}

static std::string refusalCause(const LogLine &end)
{
    const std::string code(end.field("code"));
    const std::string tables(end.field("tables"));
    if (tables == "0")
        return "refused: " + end.host + " had no tables yet (" + code + ")";
    return "refused: " + code + " with tables revision " + tables + " on " + end.host;
}

static std::string endCause(const RequestTrace &trace, const LogLine &end, bool &explained)
{
    const std::string failures = failedAttemptCounts(trace.lines);
    const std::string relays = incompleteRelays(trace.lines);
    const std::string code(end.field("code"));
    std::string text = isFailed(end) ? "failed with status " + std::string(end.field("status"))
                                     : "partial response";
    text += " after " + std::string(end.field("ms")) + " ms: " + std::string(end.field("parts"))
            + " parts";
    if (code != "none")
        text += ", " + code;
    if (!failures.empty())
        text += "; failed attempts: " + failures;
    if (!relays.empty())
        text += "; " + relays;
    const bool deadlinePassed = code == "deadline-passed" || (code == "none" && isPartial(end));
    if (deadlinePassed && failures.empty() && relays.empty())
        text += "; searchers had not answered before the deadline";
    explained = code != "none" || !failures.empty() || !relays.empty() || deadlinePassed;
    return text;
}

RequestTrace traceRequest(const std::vector<LogLine> &lines, std::string_view id)
{
    RequestTrace trace;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(trace.lines),
                 [id](const LogLine &line) { return line.field("id") == id; });
    std::stable_sort(trace.lines.begin(), trace.lines.end(),
                     [](const LogLine &a, const LogLine &b) { return a.time < b.time; });
    for (const LogLine &line : trace.lines) {
        if (line.event == "request-refused") {
            trace.cause = refusalCause(line);
            trace.explained = true;
        } else if (line.event == "caller-gone") {
            trace.cause = "the caller disconnected before the response";
            trace.explained = true;
        } else if (line.event == "request-ended" && (isFailed(line) || isPartial(line))) {
            trace.cause = endCause(trace, line, trace.explained);
        } else if (line.event == "request-ended") {
            trace.cause = "complete response after " + std::string(line.field("ms")) + " ms";
            trace.explained = true;
        }
    }
    return trace;
}

} // namespace quetzal
