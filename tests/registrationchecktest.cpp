// Registrations from other programs: an address that passes the check can be connected to.
#include "version/registrationcheck.h"
#include "registrations.h"

#include <limits>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace quetzal;

TEST_CASE("an address that passes the check is one that the connection's constructor accepts")
{
    const std::string parts = "0123456789abcf:.[]%/ -+x";
    const bool holds = rc::check("addresses of odd characters", [&parts] {
        const auto text = *rc::gen::container<std::string>(rc::gen::elementOf(parts));
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
