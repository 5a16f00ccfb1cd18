// A request id sent again: at most one host ever decides to run it.
#include "request/oncedirectory.h"

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

constexpr Millis longAgo = Millis(-100'000);
const std::vector<HostId> others = { { 2 }, { 3 } };

} // namespace

TEST_CASE("a new id runs once both other hosts have claimed it")
{
    OnceDirectory owner(longAgo);
    CHECK(owner.begin("k", 1, others, Millis(0)) == OnceDecision::Wait);
    CHECK(owner.onClaimed("k", { 2 }, std::nullopt, true, Millis(5)) == OnceDecision::Wait);
    CHECK(owner.onClaimed("k", { 3 }, std::nullopt, true, Millis(6)) == OnceDecision::Run);
    CHECK(owner.begin("k", 1, others, Millis(7)) == OnceDecision::Known);
}

TEST_CASE("after the owner's death or restart the others' record keeps the id from running")
{
    OnceDirectory backup(longAgo);
    CHECK_FALSE(backup.claim("k", 1, Millis(1)));
    SUBCASE("the backup becomes the owner")
    {
        CHECK(backup.begin("k", 1, others, Millis(500)) == OnceDecision::Known);
    }
    SUBCASE("the restarted owner asks the backup")
    {
        OnceDirectory reborn(Millis(400));
        CHECK(reborn.begin("k", 1, others, Millis(500)) == OnceDecision::Wait);
        const auto record = backup.claim("k", 1, Millis(505));
        REQUIRE(record);
        CHECK(reborn.onClaimed("k", { 2 }, record, true, Millis(510)) == OnceDecision::Known);
    }
}

TEST_CASE("where nobody's memory is complete the id does not run")
{
    OnceDirectory owner(Millis(0));
    CHECK(owner.begin("k", 1, others, Millis(10)) == OnceDecision::Wait);
    CHECK(owner.onClaimed("k", { 2 }, std::nullopt, false, Millis(15)) == OnceDecision::Wait);
    CHECK(owner.onClaimed("k", { 3 }, std::nullopt, false, Millis(16)) == OnceDecision::Unvouched);
    CHECK(owner.begin("l", 1, others, Millis(20)) == OnceDecision::Wait);
    CHECK(owner.onClaimTimeout("l", Millis(140)) == OnceDecision::Unvouched);
}

TEST_CASE("two hosts that both believe to own an id do not both run it")
{
    OnceDirectory one(longAgo);
    OnceDirectory two(longAgo);
    CHECK(one.begin("k", 1, { { 2 } }, Millis(0)) == OnceDecision::Wait);
    CHECK(two.begin("k", 1, { { 1 } }, Millis(0)) == OnceDecision::Wait);
    const auto atTwo = two.claim("k", 1, Millis(4));
    const auto atOne = one.claim("k", 1, Millis(4));
    CHECK(one.onClaimed("k", { 2 }, atTwo, true, Millis(8)) == OnceDecision::Known);
    CHECK(two.onClaimed("k", { 1 }, atOne, true, Millis(8)) == OnceDecision::Known);
}

TEST_CASE("the answer is remembered, a request that was not run may be sent again")
{
    OnceDirectory owner(longAgo);
    CHECK(owner.begin("k", 1, {}, Millis(0)) == OnceDecision::Run);
    owner.finish("k", { 200, "ran", "body" }, false);
    REQUIRE(owner.find("k"));
    CHECK(owner.find("k")->answer.body == "body");
    CHECK(owner.begin("l", 1, {}, Millis(0)) == OnceDecision::Run);
    owner.finish("l", { 503, "not-run", "" }, true);
    CHECK(owner.begin("l", 1, {}, Millis(1)) == OnceDecision::Run);
    owner.sweep(OnceDirectory::window);
    CHECK_FALSE(owner.find("k"));
}

TEST_CASE("a late release of an earlier claim leaves a later one and an ended request alone")
{
    OnceDirectory backup(longAgo);
    CHECK_FALSE(backup.claim("k", 7, Millis(0)));
    backup.release("k", 6);
    CHECK(backup.find("k"));
    backup.release("k", 7);
    CHECK_FALSE(backup.find("k"));
    backup.learn({ "k", 8, OnceState::Done, { 200, "ran", "" } }, Millis(1));
    backup.release("k", 8);
    CHECK(backup.find("k"));
}
