// Tests of what is concluded from load reports as they age.
#include "request/loadestimate.h"
#include "registrations.h"
#include "request/shardpool.h"

#include <memory>

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

// A pool of two searchers; both have reported their load.
struct TwoSearchers
{
    TwoSearchers()
    {
        for (const char *id : { "a", "b" })
            this->pool.add(
                    std::make_shared<TrackedSearcher>(makeRegistration(id, 1), Millis(), Millis()));
    }

    TrackedSearcher &searcher(std::size_t index) { return *this->pool.searchers()[index]; }

    // Returns how many of a hundred choices are the first searcher.
    int choicesOfFirst(Millis now)
    {
        int count = 0;
        for (int i = 0; i < 100; ++i)
            count += this->pool.choose({}, typical, now, false).get() == &this->searcher(0);
        return count;
    }

    static constexpr Millis typical = Millis(160);
    ShardPool pool = ShardPool("shard", {}, 1);
};

} // namespace

TEST_CASE("a load report gives way to the mean of the reports within some service times")
{
    LoadEstimate estimate;
    CHECK_FALSE(estimate.hasReport());
    Millis now;
    for (int i = 0; i < 200; ++i, now += Millis(100))
        estimate.onReport({ 1, 1, 2 }, now);
    estimate.onReport({ 2, 8, 2 }, now);
    CHECK(estimate.hasReport());
    CHECK(estimate.requests(Millis(160), now) == doctest::Approx(10));
    // A short service time makes the report old sooner.
    CHECK(estimate.requests(Millis(160), now + Millis(160)) > 3.5);
    CHECK(estimate.requests(Millis(20), now + Millis(160)) < 2.5);
    CHECK(estimate.requests(Millis(160), now + Millis(1600)) < 2.5);
    CHECK(estimate.requests(Millis(160), now + Millis(1600)) > 1.5);
}

TEST_CASE("a stated speed of a machine is used for a fraction of a second")
{
    LoadEstimate estimate;
    CHECK(estimate.slowness(Millis(0)) == 1);
    estimate.onReport({ 1, 0, 2, 3 }, Millis(1000));
    CHECK(estimate.slowness(Millis(1000)) == doctest::Approx(3));
    CHECK(estimate.slowness(Millis(1200)) == doctest::Approx(2));
    CHECK(estimate.slowness(Millis(3000)) == doctest::Approx(1));
}

TEST_CASE("work that was sent since a searcher's report is added to the report")
{
    TwoSearchers two;
    two.searcher(0).onLoad({ 1, 0, 2 }, Millis(1000));
    two.searcher(1).onLoad({ 2, 0, 2 }, Millis(1000));
    CHECK(two.choicesOfFirst(Millis(1001)) == 100);
    for (std::uint32_t i = 0; i < 2; ++i)
        two.searcher(0).onSent({ { 1 }, i }, TwoSearchers::typical, Millis(1002));
    CHECK(two.choicesOfFirst(Millis(1003)) == 0);
}

TEST_CASE("a searcher that was overloaded when it last reported is tried again")
{
    // A host with few requests gets no new report from a searcher that it does not choose.
    TwoSearchers two;
    two.searcher(0).onLoad({ 2, 20, 2 }, Millis(1000));
    two.searcher(1).onLoad({ 1, 0, 2 }, Millis(1000));
    CHECK(two.choicesOfFirst(Millis(1100)) == 0);
    Millis now(1100);
    for (; now < Millis(90000) && two.choicesOfFirst(now) == 0; now += Millis(1000))
        two.searcher(1).onLoad({ 1, 0, 2 }, now);
    CHECK(now < Millis(60000));
}
