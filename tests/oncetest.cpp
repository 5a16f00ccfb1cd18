// Tests that at most one host runs a non-repeatable request, also if it is sent again.
#include "request/onceregistry.h"

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

// Start time of a registry whose records count as complete at time zero.
constexpr Millis longAgo = Millis(-100'000);
const std::vector<HostId> otherHosts = { { 2 }, { 3 } };

} // namespace

TEST_CASE("a request with a new id is run after both other hosts have recorded the claim")
{
    OnceRegistry owner(longAgo);
    CHECK(owner.begin("k", 1, otherHosts, Millis(0)) == OnceDecision::Wait);
    CHECK(owner.onClaimReply("k", { 2 }, std::nullopt, true, Millis(5)) == OnceDecision::Wait);
    CHECK(owner.onClaimReply("k", { 3 }, std::nullopt, true, Millis(6)) == OnceDecision::Run);
    CHECK(owner.begin("k", 1, otherHosts, Millis(7)) == OnceDecision::AlreadyRecorded);
}

TEST_CASE("a record on another host prevents a second run after the owner died or restarted")
{
    OnceRegistry backup(longAgo);
    CHECK_FALSE(backup.onClaim("k", 1, Millis(1)));
    SUBCASE("the backup becomes the owner")
    {
        CHECK(backup.begin("k", 1, otherHosts, Millis(500)) == OnceDecision::AlreadyRecorded);
    }
    SUBCASE("the restarted owner claims the id at the backup")
    {
        OnceRegistry restartedOwner(Millis(400));
        CHECK(restartedOwner.begin("k", 1, otherHosts, Millis(500)) == OnceDecision::Wait);
        const auto record = backup.onClaim("k", 1, Millis(505));
        REQUIRE(record);
        CHECK(restartedOwner.onClaimReply("k", { 2 }, record, true, Millis(510))
              == OnceDecision::AlreadyRecorded);
    }
}

TEST_CASE("a request is not run if no host has complete records")
{
    OnceRegistry owner(Millis(0));
    CHECK(owner.begin("k", 1, otherHosts, Millis(10)) == OnceDecision::Wait);
    CHECK(owner.onClaimReply("k", { 2 }, std::nullopt, false, Millis(15)) == OnceDecision::Wait);
    CHECK(owner.onClaimReply("k", { 3 }, std::nullopt, false, Millis(16))
          == OnceDecision::Unconfirmed);
    CHECK(owner.begin("l", 1, otherHosts, Millis(20)) == OnceDecision::Wait);
    CHECK(owner.onClaimTimeout("l", Millis(140)) == OnceDecision::Unconfirmed);
}

TEST_CASE("two hosts that both consider themselves the owner of an id do not both run it")
{
    OnceRegistry first(longAgo);
    OnceRegistry second(longAgo);
    CHECK(first.begin("k", 1, { { 2 } }, Millis(0)) == OnceDecision::Wait);
    CHECK(second.begin("k", 1, { { 1 } }, Millis(0)) == OnceDecision::Wait);
    const auto recordAtSecond = second.onClaim("k", 1, Millis(4));
    const auto recordAtFirst = first.onClaim("k", 1, Millis(4));
    CHECK(first.onClaimReply("k", { 2 }, recordAtSecond, true, Millis(8))
          == OnceDecision::AlreadyRecorded);
    CHECK(second.onClaimReply("k", { 1 }, recordAtFirst, true, Millis(8))
          == OnceDecision::AlreadyRecorded);
}

TEST_CASE("the answer is recorded, and a request that was not run may be sent again")
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

TEST_CASE("a delayed release of an earlier claim removes neither a later claim nor a finished "
          "request")
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
