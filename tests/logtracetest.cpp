// Tests that the cause of a failed request is derived from the log lines of the hosts.
#include "process/logtrace.h"

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

std::vector<LogLine> parseLines(const std::vector<std::string> &texts)
{
    std::vector<LogLine> lines;
    for (const std::string &text : texts) {
        if (auto line = parseLogLine(text, "host-1.log"))
            lines.push_back(std::move(*line));
    }
    return lines;
}

} // namespace

TEST_CASE("a log line is parsed into host, time, event and fields")
{
    // The host is the last word before the time, if there is one; words before it are ignored.
    const auto line = parseLogLine("  0.15 edge-2 2026-03-17T06:44:45.152 WARN  QZ1103 store-lost "
                                   "store=10.0.0.1:8 reason=\"no answer\"",
                                   "all.log");
    REQUIRE(line);
    CHECK(line->host == "edge-2");
    CHECK(line->time == "2026-03-17T06:44:45.152");
    CHECK(line->event == "store-lost");
    CHECK(line->field("reason") == "no answer");
    CHECK(line->field("none").empty());
    const auto plain = parseLogLine("2026-03-17T06:44:45.152 INFO  QZ1002 ready host=a", "a.log");
    REQUIRE(plain);
    CHECK(plain->host == "a.log");
    CHECK_FALSE(parseLogLine("lines-lost count=4", "a.log"));
    CHECK_FALSE(parseLogLine("", "a.log"));
    CHECK_FALSE(parseLogLine(" QZ1002 ready host=a", "a.log"));
}

TEST_CASE("the cause of each kind of failed request is found, in whatever order the lines are")
{
    const std::string partialEnd
            = "2026-03-17T06:44:45.300 INFO  QZ2301 request-ended id=p route=r status=200 "
              "code=none parts=84/90 ms=75.5 missing=a,b";
    const std::string gathered
            = "2026-03-17T06:44:45.290 INFO  QZ2307 relay-gathered id=p asked_by=4 parts=17/23 "
              "code=shed ms=61 missing=a,b";
    const std::string failedEnd
            = "2026-03-17T06:44:45.400 INFO  QZ2301 request-ended id=f route=r status=502 "
              "code=connection-reset parts=0/1 ms=4.2";
    const std::string failedAttempt
            = "2026-03-17T06:44:45.399 INFO  QZ2303 attempt-failed id=f searcher=i-1 "
              "verdict=may-have-run code=connection-reset status=0 ms=4";
    const std::string refusal
            = "2026-03-17T06:44:45.500 INFO  QZ2302 request-refused id=d status=503 "
              "code=no-version host=h tables=0";
    const std::string completeEnd
            = "2026-03-17T06:44:45.600 INFO  QZ2301 request-ended id=w route=r status=200 "
              "code=none parts=20/20 ms=30";
    const std::string callerGone = "2026-03-17T06:44:45.700 INFO  QZ2304 caller-gone id=g";
    const auto lines = parseLines(
            { partialEnd, gathered, failedEnd, failedAttempt, refusal, completeEnd, callerGone });
    CHECK(failedRequests(lines) == std::vector<std::string>{ "p", "f", "d" });
    const RequestTrace partial = traceRequest(lines, "p");
    REQUIRE(partial.lines.size() == 2);
    CHECK(partial.lines.front().event == "relay-gathered");
    CHECK(partial.explained);
    CHECK(partial.cause.find("gathered 17/23 in 61 ms, last failure shed") != std::string::npos);
    CHECK(traceRequest(lines, "f").cause
          == "failed with status 502 after 4.2 ms: 0/1 parts, connection-reset; failed attempts: "
             "connection-reset x1");
    CHECK(traceRequest(lines, "d").cause.find("had no tables yet") != std::string::npos);
    CHECK(traceRequest(lines, "w").cause == "complete response after 30 ms");
    CHECK(traceRequest(lines, "g").explained);
    CHECK(traceRequest(lines, "none").cause.empty());
}
