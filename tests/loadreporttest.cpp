// Tests of how load reports in searchers' replies are read.
#include "connection/httpcodec.h"

#include <optional>
#include <string>
#include <utility>

#include <doctest/doctest.h>

using namespace quetzal;

// Returns the load that a reply with this header field states.
static std::optional<LoadReport> loadIn(const std::string &value)
{
    HttpResponse response;
    response.head.set("X-Quetzal-Load", value);
    return HttpCodec{ HeaderNames() }.decodeReply(std::move(response), OutboundRequest()).load;
}

TEST_CASE("an implausible fourth figure of a load report is ignored, the others are used")
{
    const auto plain = loadIn("3,4,2");
    REQUIRE(plain);
    CHECK(plain->running == 3);
    CHECK(plain->waiting == 4);
    CHECK(plain->slots == 2);
    CHECK(plain->slowness == 1);
    CHECK_FALSE(plain->isSlownessIgnored);
    for (const auto &plausible : { std::pair("3,4,2,100", 1.0), std::pair("3,4,2,85", 0.85),
                                   std::pair("3,4,2,10", 0.1), std::pair("3,4,2,10000", 100.0) }) {
        const auto report = loadIn(plausible.first);
        REQUIRE_MESSAGE(report, plausible.first);
        CHECK_MESSAGE(report->slowness == plausible.second, plausible.first);
        CHECK_FALSE_MESSAGE(report->isSlownessIgnored, plausible.first);
    }
    for (const char *value : { "3,4,2,0", "3,4,2,-50", "3,4,2,many", "3,4,2,nan", "3,4,2,inf",
                               "3,4,2,9", "3,4,2,10001", "3,4,2,99999999999999999999", "3,4,2,1e2",
                               "3,4,2,120.5", "3,4,2,120 ", "3,4,2, 120", "3,4,2,120,7" }) {
        const auto report = loadIn(value);
        REQUIRE_MESSAGE(report, value);
        CHECK_MESSAGE(report->running == 3, value);
        CHECK_MESSAGE(report->waiting == 4, value);
        CHECK_MESSAGE(report->slowness == 1, value);
        CHECK_MESSAGE(report->isSlownessIgnored, value);
    }
}
