// A request id sent again: at most one host ever decides to run it.
#include "request/onceregistry.h"

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

constexpr Millis longAgo = Millis(-100'000);
const std::vector<HostId> others = { { 2 }, { 3 } };

} // namespace

TEST_CASE("a new id runs once both other hosts have claimed it")
{
    OnceRegistry owner(longAgo);
    CHECK(owner.begin("k", 1, others, Millis(0)) == OnceDecision::Wait);
    CHECK(owner.onClaimReply("k", { 2 }, std::nullopt, true, Millis(5)) == OnceDecision::Wait);
    CHECK(owner.onClaimReply("k", { 3 }, std::nullopt, true, Millis(6)) == OnceDecision::Run);
    CHECK(owner.begin("k", 1, others, Millis(7)) == OnceDecision::AlreadyRecorded);
}

TEST_CASE("after the owner's death or restart the others' record keeps the id from running")
{
    OnceRegistry backup(longAgo);
    CHECK_FALSE(backup.onClaim("k", 1, Millis(1)));
    SUBCASE("the backup becomes the owner")
    {
        CHECK(backup.begin("k", 1, others, Millis(500)) == OnceDecision::AlreadyRecorded);
    }
    SUBCASE("the restarted owner asks the backup")
    {
        OnceRegistry reborn(Millis(400));
        CHECK(reborn.begin("k", 1, others, Millis(500)) == OnceDecision::Wait);
        const auto record = backup.onClaim("k", 1, Millis(505));
        REQUIRE(record);
        CHECK(reborn.onClaimReply("k", { 2 }, record, true, Millis(510))
              == OnceDecision::AlreadyRecorded);
    }
}

TEST_CASE("where nobody's memory is complete the id does not run")
{
    OnceRegistry owner(Millis(0));
    CHECK(owner.begin("k", 1, others, Millis(10)) == OnceDecision::Wait);
    CHECK(owner.onClaimReply("k", { 2 }, std::nullopt, false, Millis(15)) == OnceDecision::Wait);
    CHECK(owner.onClaimReply("k", { 3 }, std::nullopt, false, Millis(16))
          == OnceDecision::Unconfirmed);
    CHECK(owner.begin("l", 1, others, Millis(20)) == OnceDecision::Wait);
    CHECK(owner.onClaimTimeout("l", Millis(140)) == OnceDecision::Unconfirmed);
}

TEST_CASE("two hosts that both believe to own an id do not both run it")
{
    OnceRegistry one(longAgo);
    OnceRegistry two(longAgo);
    CHECK(one.begin("k", 1, { { 2 } }, Millis(0)) == OnceDecision::Wait);
    CHECK(two.begin("k", 1, { { 1 } }, Millis(0)) == OnceDecision::Wait);
    const auto atTwo = two.onClaim("k", 1, Millis(4));
    const auto atOne = one.onClaim("k", 1, Millis(4));
    CHECK(one.onClaimReply("k", { 2 }, atTwo, true, Millis(8)) == OnceDecision::AlreadyRecorded);
    CHECK(two.onClaimReply("k", { 1 }, atOne, true, Millis(8)) == OnceDecision::AlreadyRecorded);
}

TEST_CASE("the answer is remembered, a request that was not run may be sent again")
{
    OnceRegistry owner(longAgo);
    CHECK(owner.begin("k", 1, {}, Millis(0)) == OnceDecision::Run);
    owner.finish("k", { 200, "ran", "body" }, false);
    REQUIRE(owner.find("k"));
    CHECK(owner.find("k")->answer.body == "body");
    CHECK(owner.begin("l", 1, {}, Millis(0)) == OnceDecision::Run);
    owner.finish("l", { 503, "not-run", "" }, true);
    CHECK(owner.begin("l", 1, {}, Millis(1)) == OnceDecision::Run);
    owner.removeExpired(OnceRegistry::retentionPeriod);
    CHECK_FALSE(owner.find("k"));
}

TEST_CASE("a late release of an earlier claim leaves a later one and an ended request alone")
{
    OnceRegistry backup(longAgo);
    CHECK_FALSE(backup.onClaim("k", 7, Millis(0)));
    backup.releaseClaim("k", 6);
    CHECK(backup.find("k"));
    backup.releaseClaim("k", 7);
    CHECK_FALSE(backup.find("k"));
    backup.addRecord({ "k", 8, OnceState::Done, { 200, "ran", "" } }, Millis(1));
    backup.releaseClaim("k", 8);
    CHECK(backup.find("k"));
}
