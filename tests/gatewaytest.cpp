// Tests of the decisions of a gateway: retry budget, searcher choice, fan-out, traffic split, and
// the header fields of its messages.
#include "connection/httpcodec.h"
#include "process/membership.h"
#include "quetzal/fault.h"
#include "request/recordmerge.h"
#include "request/scatter.h"
#include "request/servability.h"
#include "request/trafficsplit.h"
#include "tests/registrations.h"
#include "version/codec.h"

#include <algorithm>
#include <set>

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

// Pools of two searchers each and one request to all of them, driven in virtual time.
class ScatterFixture
{
public:
    explicit ScatterFixture(std::size_t pools, double slack = 100)
    {
        RetryBudgetOptions budget;
        budget.slack = slack;
        for (std::size_t i = 0; i < pools; ++i) {
            this->pools.push_back(std::make_shared<ShardPool>("p" + std::to_string(i), budget, i));
            for (const char *prefix : { "a", "b" }) {
                const SearcherRegistration registration
                        = makeRegistration(prefix + std::to_string(i), 1);
                this->pools.back()->add(
                        std::make_shared<TrackedSearcher>(registration, Millis(0), Millis(0)));
            }
        }
        this->plan.id = { 1 };
        this->plan.merged = pools > 1;
        this->plan.target = Millis(100);
        this->plan.deadline = Millis(1000);
        this->plan.minCoverage = 0.75;
        this->plan.maxAttempts = 2;
    }

    void start(Millis now)
    {
        this->scatter = std::make_unique<Scatter>(this->plan, this->pools, this->routeLatency);
        this->collect([&](ScatterActions &out) { this->scatter->start(now, out); }, now);
    }

    // Reports the end of an attempt; ordinal is its index in sent.
    void end(std::uint32_t ordinal, const Outcome &outcome, Millis now)
    {
        this->sent.at(ordinal).searcher->onEnd({ this->plan.id, ordinal }, outcome, now);
        SearcherReply reply;
        reply.seal = "seal-" + std::to_string(ordinal);
        reply.status = outcome.succeeded() ? 200 : 500;
        this->collect(
                [&](ScatterActions &out) {
                    this->scatter->onEnd(now, ordinal, outcome, std::move(reply), out);
                },
                now);
    }

    void tick(Millis now)
    {
        this->collect([&](ScatterActions &out) { this->scatter->onTimer(now, out); }, now);
    }

    std::vector<std::shared_ptr<ShardPool>> pools;
    RouteLatency routeLatency;
    ScatterPlan plan;
    std::unique_ptr<Scatter> scatter;
    std::vector<ScatterSend> sent;
    std::vector<std::uint32_t> abandoned;
    std::optional<ScatterAnswer> answer;

private:
    // Runs a step of the request and records the actions that it asks for.
    template <typename Step>
    void collect(Step step, Millis now)
    {
        ScatterActions out;
        step(out);
        for (const ScatterSend &send : out.send) {
            send.searcher->onSent({ this->plan.id, send.ordinal }, send.typicalLatency, now);
            this->sent.push_back(send);
        }
        this->abandoned.insert(this->abandoned.end(), out.abandon.begin(), out.abandon.end());
        if (out.answer)
            this->answer = std::move(out.answer);
    }
};

const Outcome success = { Verdict::Ran, {}, Hop::Searcher };
const Outcome refusal = { Verdict::NotRun, Fault::Shed, Hop::Searcher };
const Outcome lostConnection = { Verdict::MayHaveRun, Fault::ConnectionReset, Hop::Entry };

} // namespace

TEST_CASE("extra attempts stay within ratio and slack in every window")
{
    RetryBudgetOptions options;
    options.window = Millis(1000);
    options.ratio = 0.1;
    options.slack = 2;
    RetryBudget budget(options);
    std::vector<Millis> spent;
    for (int ms = 0; ms < 10'000; ms += 10) {
        budget.onRequest(Millis(ms));
        if (budget.trySpend(Millis(ms)))
            spent.push_back(Millis(ms));
    }
    for (const Millis from : spent) {
        int count = 0;
        for (const Millis at : spent)
            count += at >= from && at < from + options.window ? 1 : 0;
        // 100 requests per window, times 1.5 because the bucket that lies partly outside the window
        // is counted whole and is half as long as the window.
        CHECK(count <= 100 * 0.1 * 1.5 + 2);
    }
    CHECK(spent.size() > 80);
}

TEST_CASE("retries may use the reserve that hedges must leave")
{
    RetryBudgetOptions options;
    options.slack = 4;
    RetryBudget budget(options);
    CHECK(budget.trySpend(Millis(0), 0.5));
    CHECK(budget.trySpend(Millis(0), 0.5));
    CHECK_FALSE(budget.trySpend(Millis(0), 0.5));
    CHECK(budget.trySpend(Millis(0)));
}

TEST_CASE("merged records are the greatest in descending order of unsigned bytes, with duplicates "
          "kept")
{
    const std::string high(recordBytes, '\xff');
    const std::string low(recordBytes, 'a');
    const std::string part = low + high + "rest";
    CHECK(mergeRecords({ part, low }, 2) == high + low);
    CHECK(mergeRecords({ part, low }, 9) == high + low + low);
    CHECK(mergeRecords({}, 9).empty());
}

TEST_CASE("a refused attempt is retried on the other searcher, a lost one only if repeatable")
{
    ScatterFixture fixture(1);
    fixture.plan.repeatable = false;
    fixture.start(Millis(0));
    fixture.end(0, refusal, Millis(5));
    REQUIRE(fixture.sent.size() == 2);
    CHECK(fixture.sent[1].searcher != fixture.sent[0].searcher);
    fixture.end(1, lostConnection, Millis(10));
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->outcome.verdict == Verdict::MayHaveRun);
    CHECK(fixture.sent.size() == 2);
}

TEST_CASE("a non-repeatable request is never hedged")
{
    ScatterFixture fixture(1);
    fixture.plan.repeatable = false;
    fixture.start(Millis(0));
    for (int ms = 10; ms < 990; ms += 10)
        fixture.tick(Millis(ms));
    CHECK(fixture.sent.size() == 1);
}

TEST_CASE("a request whose attempts were all refused is reported as NotRun")
{
    ScatterFixture fixture(1, 100);
    fixture.plan.repeatable = false;
    fixture.start(Millis(0));
    for (std::uint32_t i = 0; !fixture.answer && i < 10; ++i) {
        const Millis now(10.0 + i * 60);
        if (i < fixture.sent.size())
            fixture.end(i, refusal, now);
        fixture.tick(now + Millis(50));
    }
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->outcome.verdict == Verdict::NotRun);
    // At most two searchers are tried, no matter how often they refuse.
    for (const ScatterSend &send : fixture.sent)
        CHECK((send.searcher == fixture.sent[0].searcher
               || send.searcher == fixture.sent[1].searcher));
}

TEST_CASE("a late part is hedged, and the slower attempt is abandoned")
{
    ScatterFixture fixture(4);
    fixture.start(Millis(0));
    for (std::uint32_t i = 0; i < 3; ++i)
        fixture.end(i, success, Millis(10));
    CHECK_FALSE(fixture.answer);
    fixture.tick(fixture.scatter->nextTimer());
    REQUIRE(fixture.sent.size() == 5);
    CHECK(fixture.sent[4].searcher != fixture.sent[3].searcher);
    fixture.end(4, success, Millis(60));
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->missing == 0);
    CHECK(fixture.abandoned == std::vector<std::uint32_t>{ 3 });
}

TEST_CASE(
        "at its target a request is answered with the parts received if they give enough coverage")
{
    ScatterFixture fixture(4);
    fixture.start(Millis(0));
    for (std::uint32_t i = 0; i < 3; ++i)
        fixture.end(i, success, Millis(10));
    fixture.tick(Millis(50));
    fixture.tick(Millis(100));
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->missing == 1);
    CHECK(fixture.answer->outcome.succeeded());
}

TEST_CASE("a request without enough coverage at its target waits and fails at its deadline")
{
    ScatterFixture fixture(4);
    fixture.start(Millis(0));
    fixture.end(0, success, Millis(10));
    for (int ms = 20; ms < 1000; ms += 20)
        fixture.tick(Millis(ms));
    CHECK_FALSE(fixture.answer);
    CHECK(fixture.scatter->nextTimer() <= Millis(1000));
    fixture.tick(Millis(1000));
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->outcome.code == Fault::DeadlinePassed);
}

TEST_CASE("a request fails immediately once its minimum coverage is unreachable")
{
    ScatterFixture fixture(4, 0);
    fixture.start(Millis(0));
    fixture.end(0, lostConnection, Millis(5));
    CHECK_FALSE(fixture.answer);
    fixture.end(1, lostConnection, Millis(6));
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->outcome.verdict == Verdict::MayHaveRun);
}

TEST_CASE("no work is sent to a searcher at whose address another one answers")
{
    ScatterFixture fixture(1);
    fixture.start(Millis(0));
    const auto replaced = fixture.sent[0].searcher;
    fixture.end(0, { Verdict::NotRun, Fault::WrongIncarnation, Hop::Searcher }, Millis(5));
    CHECK(replaced->availability(Millis(6)) == Availability::Unavailable);
    for (int i = 0; i < 20; ++i)
        CHECK(fixture.pools[0]->choose({}, Millis(20), Millis(6 + i), true) != replaced);
    // A newer registration makes the searcher available again.
    replaced->update(makeRegistration("a0", 2), Millis::never(), Millis(0));
    CHECK(replaced->availability(Millis(7)) == Availability::Usable);
}

TEST_CASE("a stalled searcher is avoided until it answers")
{
    ScatterFixture fixture(1);
    fixture.start(Millis(0));
    const auto stalled = fixture.sent[0].searcher;
    const Millis later(100);
    CHECK(stalled->isStalled(later));
    for (int i = 0; i < 20; ++i)
        CHECK(fixture.pools[0]->choose({}, Millis(20), later, true) != stalled);
    fixture.end(0, success, later);
    CHECK_FALSE(stalled->isStalled(later));
}

TEST_CASE("a draining searcher gets work only as a last resort and for a limited time")
{
    ScatterFixture fixture(1);
    const auto &members = fixture.pools[0]->searchers();
    members[0]->update(makeRegistration("a0", 2, SearcherState::Draining), Millis(500), Millis(0));
    for (int i = 0; i < 20; ++i)
        CHECK(fixture.pools[0]->choose({}, Millis(20), Millis(i), true) == members[1]);
    members[1]->update(makeRegistration("b0", 3, SearcherState::Draining), Millis(500), Millis(0));
    CHECK(fixture.pools[0]->choose({}, Millis(20), Millis(499), true));
    CHECK_FALSE(fixture.pools[0]->choose({}, Millis(20), Millis(500), true));
    CHECK_FALSE(fixture.pools[0]->hasAvailableSearcher(Millis(500)));
}

TEST_CASE(
        "hop-by-hop header fields are not forwarded, and the caller's protocol fields are replaced")
{
    const HttpCodec codec{ HeaderNames() };
    HttpReader<Poco::Net::HTTPRequest> reader({ 1000, 1000 });
    reader.feed("GET /a?b HTTP/1.1\r\nHost: Shop.Example:80\r\nConnection: keep-alive, x-hop\r\n"
                "X-Hop: 1\r\nX-Kept: 2\r\nX-Quetzal-Deadline-Ms: 400\r\n"
                "X-Quetzal-Request-Id: r1\r\nX-Quetzal-Searcher: forged\r\n\r\n");
    const CallerFields fields = codec.parseCallerRequest(*reader.next());
    CHECK(fields.host == "shop.example");
    CHECK(fields.requestId == "r1");
    CHECK(fields.timeout == Millis(400));
    OutboundRequest request;
    request.method = "GET";
    request.target = "/a?b";
    request.forwardedFields = fields.forwardedFields;
    const std::string bytes = codec.encodeRequest(request, "s1", Millis(321.9));
    CHECK(bytes.find("X-Kept: 2\r\n") != std::string::npos);
    CHECK(bytes.find("X-Quetzal-Deadline-Ms: 321\r\n") != std::string::npos);
    CHECK(bytes.find("X-Quetzal-Searcher: s1\r\n") != std::string::npos);
    CHECK(bytes.find("X-Hop") == std::string::npos);
    CHECK(bytes.find("forged") == std::string::npos);
    CHECK(bytes.find("400") == std::string::npos);
}

TEST_CASE("a host whose clock went back since its previous incarnation takes a higher incarnation")
{
    MemberInfo self;
    self.id = { 1 };
    self.incarnation = { 100 };
    Membership membership(self, MembershipTimes(), 1);
    Heartbeat heartbeat;
    heartbeat.sender.id = { 2 };
    heartbeat.sender.incarnation = { 1 };
    heartbeat.updates.push_back({ { 1 }, { 5000 }, 0, MemberState::Dead });
    std::vector<OutgoingHeartbeat> out;
    membership.onHeartbeat(heartbeat, Millis(0), out);
    CHECK(membership.localMember().incarnation.value > 5000);
}

TEST_CASE(
        "a batch is answered at its target, and immediately once too many of its parts are missing")
{
    ScatterFixture fixture(4);
    fixture.plan.isBatch = true;
    fixture.plan.maxMissing = 1;
    fixture.start(Millis(0));
    for (std::uint32_t i = 0; i < 3; ++i)
        fixture.end(i, success, Millis(10));
    CHECK_FALSE(fixture.answer);
    fixture.tick(Millis(100));
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->missing == 1);
    ScatterFixture failing(4, 0);
    failing.plan.isBatch = true;
    failing.plan.maxMissing = 1;
    failing.start(Millis(0));
    failing.end(0, success, Millis(5));
    failing.end(1, lostConnection, Millis(6));
    CHECK_FALSE(failing.answer);
    failing.end(2, lostConnection, Millis(7));
    REQUIRE(failing.answer);
    // The failed answer holds the replies received, so that another host can request the rest.
    CHECK(failing.answer->replies[0]);
}

TEST_CASE("hosts that share a request use only the searchers that the first one selected")
{
    ScatterFixture fixture(2);
    for (const char *id : { "c0", "d0" })
        fixture.pools[0]->add(
                std::make_shared<TrackedSearcher>(makeRegistration(id, 1), Millis(0), Millis(0)));
    const AllowedSearchers allowed = fixture.pools[0]->bestForZone("", 2, Millis(20), Millis(0));
    REQUIRE(allowed.size() == 2);
    fixture.scatter = std::make_unique<Scatter>(fixture.plan, fixture.pools, fixture.routeLatency,
                                                std::vector<AllowedSearchers>{ allowed, {} });
    std::set<std::uint32_t> used;
    ScatterActions out;
    fixture.scatter->start(Millis(0), out);
    for (int ms = 1; ms < 900; ms += 10)
        fixture.scatter->onTimer(Millis(ms), out);
    // Ids that end with 0 belong to the first pool; the second one is not restricted.
    for (const ScatterSend &send : out.send) {
        if (send.searcher->registration().id.ends_with("0"))
            used.insert(send.searcher->key());
    }
    CHECK(used.size() == 2);
    for (const std::uint32_t key : used)
        CHECK(std::find(allowed.begin(), allowed.end(), key) != allowed.end());
}

TEST_CASE("first attempts that another host may have sent already count against the retry budget")
{
    ScatterFixture fixture(2, 1);
    fixture.plan.isResend = true;
    fixture.start(Millis(0));
    // Each pool's budget allows one extra attempt; no request is counted in it.
    CHECK(fixture.sent.size() == 2);
    ScatterFixture withoutBudget(2, 0);
    withoutBudget.plan.isResend = true;
    withoutBudget.start(Millis(0));
    CHECK(withoutBudget.sent.empty());
    REQUIRE(withoutBudget.answer);
}

TEST_CASE("a merged request is servable while at most the allowed number of pools lack searchers")
{
    ScatterFixture fixture(4);
    CHECK(isServable(fixture.pools, 0, Millis(0)));
    // All searchers of a pool leave; they are a last resort until the given time.
    for (const auto &searcher : fixture.pools[2]->searchers()) {
        SearcherRegistration leaving = searcher->registration();
        leaving.state = SearcherState::Gone;
        leaving.revision += 1;
        searcher->update(leaving, Millis(50), Millis(0));
    }
    CHECK(isServable(fixture.pools, 0, Millis(49)));
    CHECK_FALSE(isServable(fixture.pools, 0, Millis(50)));
    CHECK(isServable(fixture.pools, 1, Millis(50)));
}

TEST_CASE("a searcher's request limit is read from its reply, and a malformed one is ignored")
{
    const HttpCodec codec{ HeaderNames() };
    const auto limitIn = [&codec](const std::string &value) {
        HttpResponse response;
        response.head.set("X-Quetzal-Request-Limit", value);
        return codec.decodeReply(std::move(response), OutboundRequest()).statement.requestLimit;
    };
    CHECK(limitIn("25.5") == 25.5);
    CHECK(limitIn("0") == 0.0);
    for (const char *value : { "", "-1", "many", "1e999", "nan", "inf", "25 " })
        CHECK_MESSAGE(!limitIn(value), value);
}

TEST_CASE("the pause of a refusal is read in seconds, bounded, and not from other replies")
{
    const HttpCodec codec{ HeaderNames() };
    const auto pauseIn = [&codec](int status, const std::string &value) {
        HttpResponse response;
        response.head.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
        response.head.set("Retry-After", value);
        return codec.decodeStatement(response).pause;
    };
    CHECK(pauseIn(503, "2") == Millis(2000));
    CHECK(pauseIn(503, "0.25") == Millis(250));
    CHECK(pauseIn(503, "1e12") == Millis(60'000));
    CHECK_FALSE(pauseIn(429, "2"));
    for (const char *value : { "", "-1", "soon", "nan", "Fri, 31 Dec 1999 23:59:59 GMT" })
        CHECK_MESSAGE(!pauseIn(503, value), value);
}

TEST_CASE("a pause and a leaving searcher are passed over, and the other copy gets the request")
{
    ScatterFixture fixture(1);
    const auto paused = fixture.pools[0]->searchers()[0];
    const auto other = fixture.pools[0]->searchers()[1];
    SearcherStatement refusal;
    refusal.pause = Millis(2000);
    refusal.requestLimit = 100;
    paused->onStatement(refusal, Millis(1000));
    // A shorter pause in a later reply does not shorten it.
    SearcherStatement shorter;
    shorter.pause = Millis(10);
    paused->onStatement(shorter, Millis(1100));
    CHECK(paused->availability(Millis(2900)) == Availability::Unavailable);
    CHECK(paused->availability(Millis(3000)) == Availability::Usable);
    for (int i = 0; i < 50; ++i)
        CHECK(fixture.pools[0]->choose({}, Millis(30), Millis(1200 + i), true) == other);
    other->setLeaving(Millis::never());
    CHECK(fixture.pools[0]->choose({}, Millis(30), Millis(1300), true) == nullptr);
    CHECK_FALSE(isServable(fixture.pools, 0, Millis(1300)));
    CHECK(servableAt(fixture.pools, 0, Millis(1300)) == Millis(3000));
    // A newer registration of the same incarnation changes nothing.
    SearcherRegistration registration = other->registration();
    registration.revision += 1;
    other->update(registration, Millis::never(), Millis(0));
    CHECK(other->availability(Millis(5000)) == Availability::Unavailable);
    paused->clearPause();
    CHECK(paused->availability(Millis(1300)) == Availability::Usable);
}

TEST_CASE("the searcher in the local zone is preferred until it refuses repeatedly")
{
    ShardPool pool("p", RetryBudgetOptions(), 1);
    const auto local
            = std::make_shared<TrackedSearcher>(makeRegistration("near", 1), Millis(0), Millis(0));
    const auto remote = std::make_shared<TrackedSearcher>(makeRegistration("far", 1), Millis(9),
                                                          Millis(0), Millis(35));
    pool.add(local);
    pool.add(remote);
    // A slightly higher expected latency does not justify traffic to another zone.
    local->onSent({ { 1 }, 0 }, Millis(20), Millis(0));
    CHECK(pool.choose({}, Millis(20), Millis(1), true) == local);
    local->onEnd({ { 1 }, 0 }, refusal, Millis(2));
    for (std::uint32_t i = 1; i < 6; ++i) {
        local->onSent({ { 1 }, i }, Millis(20), Millis(2));
        local->onEnd({ { 1 }, i }, refusal, Millis(2));
    }
    CHECK(pool.choose({}, Millis(20), Millis(3), true) == remote);
}

TEST_CASE("a traffic split stays within one request of its shares at all times and is reset by new "
          "shares")
{
    const PoolShare large = { "x", 3 };
    const PoolShare small = { "y", 1 };
    Route route;
    route.name = "r";
    route.trafficSplit = { large, small };
    TrafficSplit split;
    int largeCount = 0;
    for (int i = 1; i <= 400; ++i) {
        largeCount += split.nextPool(route) == "x" ? 1 : 0;
        CHECK(largeCount >= 0.75 * i - 1);
        CHECK(largeCount <= 0.75 * i + 1);
    }
    route.trafficSplit = { small };
    CHECK(split.nextPool(route) == "y");
}
