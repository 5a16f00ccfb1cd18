// Tests of the time that is reserved before a target.
#include "request/timereserve.h"

#include <algorithm>
#include <random>

#include <doctest/doctest.h>

using namespace quetzal;

TEST_CASE("a host with a slow link reserves what its answers take, a fast one hardly anything")
{
    // Deliveries of 3 KB answers over a loaded link of 16 Mbit/s, and over one of 1 Gbit/s.
    for (const auto &[base, spread] : { std::pair(2.0, 6.0), std::pair(0.1, 0.2) }) {
        std::minstd_rand random(7);
        TimeReserve reserve(Millis(4), Millis(30));
        int late = 0;
        static constexpr int answers = 1000;
        for (int i = 0; i < answers; ++i) {
            const double share = static_cast<double>(random() % 1000) / 1000;
            const Millis delivery(base + spread * share * share);
            late += delivery > reserve.value() ? 1 : 0;
            reserve.observe(delivery);
        }
        CHECK(late < answers * 0.1);
        CHECK(reserve.value() < Millis((base + spread) * 1.2));
    }
}

TEST_CASE("a host that sees a request in several seconds knows after its first one")
{
    TimeReserve reserve(Millis(4), Millis(30));
    CHECK(reserve.value() == Millis(4));
    reserve.observe(Millis(9));
    CHECK(reserve.value() >= Millis(9));
}

TEST_CASE("a host that becomes slow reserves more within a few answers, and never above the limit")
{
    TimeReserve reserve(Millis(4), Millis(30));
    for (int i = 0; i < 50; ++i)
        reserve.observe(Millis(1));
    CHECK(reserve.value() < Millis(1.5));
    for (int i = 0; i < 4; ++i)
        reserve.observe(Millis(12));
    CHECK(reserve.value() >= Millis(12));
    for (int i = 0; i < 20; ++i)
        reserve.observe(Millis(500));
    CHECK(reserve.value() <= Millis(30));
    for (int i = 0; i < 60; ++i)
        reserve.observe(Millis(-5));
    CHECK(reserve.value() < Millis(1));
}
