// Registrations from other programs: an address that passes the check can be connected to.
#include "version/registrationcheck.h"
#include "platform/documents.h"
#include "registrations.h"

#include <limits>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace quetzal;

TEST_CASE("an address that passes the check is one that the connection's constructor accepts")
{
    const std::string parts = "0123456789abcf:.[]%/ -+x";
    const bool holds = rc::check("addresses of odd characters", [&parts] {
        // A valid address with a few characters put in, replaced or taken out.
        std::string text
                = *rc::gen::element(std::string("10.0.0.1:8080"), std::string("[fd00::17]:80"),
                                    std::string("[::ffff:1.2.3.4]:65535"));
        const int edits = *rc::gen::inRange(0, 3);
        for (int i = 0; i < edits; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            text.replace(
                    at, *rc::gen::inRange<std::size_t>(0, 2),
                    std::string(*rc::gen::inRange<std::size_t>(0, 2), *rc::gen::elementOf(parts)));
        }
        const auto address = parseNumericAddress(text);
        if (address)
            RC_ASSERT(Poco::Net::SocketAddress(text) == *address);
    });
    CHECK(holds);
    CHECK(parseNumericAddress("127.0.0.1:80"));
    CHECK(parseNumericAddress("[fd00::17]:80"));
    CHECK_FALSE(parseNumericAddress("fd00::17:80"));
    CHECK_FALSE(parseNumericAddress("localhost:80"));
}

TEST_CASE("a registration whose fields no searcher can have is refused with a reason")
{
    const auto problemWith = [](const std::function<void(SearcherRegistration &)> &change) {
        SearcherRegistration registration = makeRegistration("i-1", 3);
        change(registration);
        return registrationProblem(registration);
    };
    CHECK(problemWith([](auto &) {}).empty());
    CHECK(problemWith([](auto &r) { r.zone = ""; }).empty());
    CHECK(problemWith([](auto &r) { r.zone = "g\u00f6teborg"; }).empty());
    CHECK_FALSE(problemWith([](auto &r) { r.id = "i-1\r\nHost: other"; }).empty());
    CHECK_FALSE(problemWith([](auto &r) { r.id = ""; }).empty());
    CHECK_FALSE(problemWith([](auto &r) { r.zone = "a\nb"; }).empty());
    CHECK_FALSE(problemWith([](auto &r) { r.slots = 0; }).empty());
    CHECK_FALSE(
            problemWith([](auto &r) { r.slots = std::numeric_limits<unsigned>::max(); }).empty());
    CHECK_FALSE(problemWith([](auto &r) {
                    r.warmup = Millis(std::numeric_limits<double>::quiet_NaN());
                }).empty());
    CHECK_FALSE(problemWith([](auto &r) { r.state = static_cast<SearcherState>(7); }).empty());
    CHECK(problemWith([](auto &r) {
              r.state = SearcherState::Gone;
              r.address = "";
          }).empty());
}

TEST_CASE("a page is read although a writer could not encode one of its keys")
{
    const std::string good = R"({"key":"servers/good","value":"e30=","revision":4})";
    for (const std::string &key :
         { std::string("\\udcff"), std::string("\\ud83d"), std::string("\\ud83dx"),
           std::string("\xff\xc0"), std::string("\xed\xa0\x80"), std::string("\xe2\x82") }) {
        std::string body = R"({"events":[{"key":"servers/a)";
        body.append(key).append(R"(","value":"e30=","revision":3},)").append(good);
        body.append(R"(],"currentRev":9})");
        const auto page = platform::readPage(body);
        REQUIRE_MESSAGE(page, key);
        CHECK(page->currentRevision == 9);
        CHECK(page->items.size() == 2);
        CHECK(page->items.back().key == "servers/good");
        std::string problem;
        CHECK(platform::readRegistration(page->items.front(), problem).state
              == SearcherState::Gone);
    }
    // What a writer did encode is not changed.
    const auto paired = platform::readPage(
            R"({"items":[{"key":"\ud83d\ude00\\ud800\"","value":"","revision":1},)"
            R"({"key":"\ud800","value":"","revision":2}],"currentRev":9})");
    REQUIRE(paired);
    CHECK(paired->items.front().key == "\xf0\x9f\x98\x80\\ud800\"");
    CHECK_FALSE(platform::readPage("{\"events\":[" + good));
}
