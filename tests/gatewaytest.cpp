// Decisions of a gateway: directory, budget, choice, fan-out, and the fields of its messages.
#include "connection/httpcodec.h"
#include "process/membership.h"
#include "quetzal/fault.h"
#include "request/recordmerge.h"
#include "request/scatter.h"
#include "request/trafficsplit.h"
#include "tests/registrations.h"
#include "version/codec.h"

#include <algorithm>
#include <set>

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

// Pools of two searchers each and one request on all of them, driven in virtual time.
class Bench
{
public:
    explicit Bench(std::size_t pools, double slack = 100)
    {
        RetryBudgetOptions budget;
        budget.slack = slack;
        for (std::size_t i = 0; i < pools; ++i) {
            this->pools.push_back(std::make_shared<ShardPool>("p" + std::to_string(i), budget, i));
            for (const char *side : { "a", "b" }) {
                const SearcherRegistration registration
                        = makeRegistration(side + std::to_string(i), 1);
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
        this->scatter = std::make_unique<Scatter>(this->plan, this->pools, this->pace);
        this->collect([&](ScatterActions &out) { this->scatter->start(now, out); }, now);
    }

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
    RouteLatency pace;
    ScatterPlan plan;
    std::unique_ptr<Scatter> scatter;
    std::vector<ScatterSend> sent;
    std::vector<std::uint32_t> abandoned;
    std::optional<ScatterAnswer> answer;

private:
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

const Outcome good = { Verdict::Ran, {}, Hop::Searcher };
const Outcome shed = { Verdict::NotRun, Fault::Shed, Hop::Searcher };
const Outcome lost = { Verdict::MayHaveRun, Fault::ConnectionReset, Hop::Entry };

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
        // 100 requests a window, and those of the bucket that is partly outside.
        CHECK(count <= 100 * 0.1 * 1.5 + 2);
    }
    CHECK(spent.size() > 80);
}

TEST_CASE("retries may use what hedges must leave")
{
    RetryBudgetOptions options;
    options.slack = 4;
    RetryBudget budget(options);
    CHECK(budget.trySpend(Millis(0), 0.5));
    CHECK(budget.trySpend(Millis(0), 0.5));
    CHECK_FALSE(budget.trySpend(Millis(0), 0.5));
    CHECK(budget.trySpend(Millis(0)));
}

TEST_CASE("records merge to the greatest, falling, as unsigned bytes, equal ones all")
{
    const std::string high(recordBytes, '\xff');
    const std::string low(recordBytes, 'a');
    const std::string part = low + high + "rest";
    CHECK(mergeRecords({ part, low }, 2) == high + low);
    CHECK(mergeRecords({ part, low }, 9) == high + low + low);
    CHECK(mergeRecords({}, 9).empty());
}

TEST_CASE("a refused attempt goes to the other searcher, a lost one only if it may be repeated")
{
    Bench bench(1);
    bench.plan.repeatable = false;
    bench.start(Millis(0));
    bench.end(0, shed, Millis(5));
    REQUIRE(bench.sent.size() == 2);
    CHECK(bench.sent[1].searcher != bench.sent[0].searcher);
    bench.end(1, lost, Millis(10));
    REQUIRE(bench.answer);
    CHECK(bench.answer->outcome.verdict == Verdict::MayHaveRun);
    CHECK(bench.sent.size() == 2);
}

TEST_CASE("a request that may not be repeated is never hedged")
{
    Bench bench(1);
    bench.plan.repeatable = false;
    bench.start(Millis(0));
    for (int ms = 10; ms < 990; ms += 10)
        bench.tick(Millis(ms));
    CHECK(bench.sent.size() == 1);
}

TEST_CASE("only refusals make a request not run")
{
    Bench bench(1, 100);
    bench.plan.repeatable = false;
    bench.start(Millis(0));
    for (std::uint32_t i = 0; !bench.answer && i < 10; ++i) {
        const Millis now(10.0 + i * 60);
        if (i < bench.sent.size())
            bench.end(i, shed, now);
        bench.tick(now + Millis(50));
    }
    REQUIRE(bench.answer);
    CHECK(bench.answer->outcome.verdict == Verdict::NotRun);
    // Two searchers at most, however often they refuse.
    for (const ScatterSend &send : bench.sent)
        CHECK((send.searcher == bench.sent[0].searcher || send.searcher == bench.sent[1].searcher));
}

TEST_CASE("a part that is late is hedged, and the loser is abandoned")
{
    Bench bench(4);
    bench.start(Millis(0));
    for (std::uint32_t i = 0; i < 3; ++i)
        bench.end(i, good, Millis(10));
    CHECK_FALSE(bench.answer);
    bench.tick(bench.scatter->nextTimer());
    REQUIRE(bench.sent.size() == 5);
    CHECK(bench.sent[4].searcher != bench.sent[3].searcher);
    bench.end(4, good, Millis(60));
    REQUIRE(bench.answer);
    CHECK(bench.answer->missing == 0);
    CHECK(bench.abandoned == std::vector<std::uint32_t>{ 3 });
}

TEST_CASE("at its target a request is answered with what is in, if that is enough")
{
    Bench bench(4);
    bench.start(Millis(0));
    for (std::uint32_t i = 0; i < 3; ++i)
        bench.end(i, good, Millis(10));
    bench.tick(Millis(50));
    bench.tick(Millis(100));
    REQUIRE(bench.answer);
    CHECK(bench.answer->missing == 1);
    CHECK(bench.answer->outcome.succeeded());
}

TEST_CASE("below its coverage a request waits on and fails at its deadline")
{
    Bench bench(4);
    bench.start(Millis(0));
    bench.end(0, good, Millis(10));
    for (int ms = 20; ms < 1000; ms += 20)
        bench.tick(Millis(ms));
    CHECK_FALSE(bench.answer);
    CHECK(bench.scatter->nextTimer() <= Millis(1000));
    bench.tick(Millis(1000));
    REQUIRE(bench.answer);
    CHECK(bench.answer->outcome.code == Fault::DeadlinePassed);
}

TEST_CASE("a request whose coverage is out of reach is given up at once")
{
    Bench bench(4, 0);
    bench.start(Millis(0));
    bench.end(0, lost, Millis(5));
    CHECK_FALSE(bench.answer);
    bench.end(1, lost, Millis(6));
    REQUIRE(bench.answer);
    CHECK(bench.answer->outcome.verdict == Verdict::MayHaveRun);
}

TEST_CASE("no work goes to a searcher whose address answers for another one")
{
    Bench bench(1);
    bench.start(Millis(0));
    const auto replaced = bench.sent[0].searcher;
    bench.end(0, { Verdict::NotRun, Fault::WrongIncarnation, Hop::Searcher }, Millis(5));
    CHECK(replaced->availability(Millis(6)) == Availability::Unavailable);
    for (int i = 0; i < 20; ++i)
        CHECK(bench.pools[0]->choose({}, Millis(20), Millis(6 + i), true) != replaced);
    // A later word of the registry about it counts again.
    replaced->update(makeRegistration("a0", 2), Millis::never());
    CHECK(replaced->availability(Millis(7)) == Availability::Usable);
}

TEST_CASE("a stalled searcher is avoided until it answers")
{
    Bench bench(1);
    bench.start(Millis(0));
    const auto stalled = bench.sent[0].searcher;
    const Millis later(100);
    CHECK(stalled->isStalled(later));
    for (int i = 0; i < 20; ++i)
        CHECK(bench.pools[0]->choose({}, Millis(20), later, true) != stalled);
    bench.end(0, good, later);
    CHECK_FALSE(stalled->isStalled(later));
}

TEST_CASE("a leaving searcher gets work only while its pool has no other, and not for long")
{
    Bench bench(1);
    const auto &members = bench.pools[0]->searchers();
    members[0]->update(makeRegistration("a0", 2, SearcherState::Draining), Millis(500));
    for (int i = 0; i < 20; ++i)
        CHECK(bench.pools[0]->choose({}, Millis(20), Millis(i), true) == members[1]);
    members[1]->update(makeRegistration("b0", 3, SearcherState::Draining), Millis(500));
    CHECK(bench.pools[0]->choose({}, Millis(20), Millis(499), true));
    CHECK_FALSE(bench.pools[0]->choose({}, Millis(20), Millis(500), true));
    CHECK_FALSE(bench.pools[0]->hasAvailableSearcher(Millis(500)));
}

TEST_CASE("fields of one connection stay there, and the sender's own words are replaced")
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

TEST_CASE("a host whose clock went back since its earlier life is heard all the same")
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

TEST_CASE("some parts of a request answer at their target with what is in, and at once if too few")
{
    Bench bench(4);
    bench.plan.isBatch = true;
    bench.plan.maxMissing = 1;
    bench.start(Millis(0));
    for (std::uint32_t i = 0; i < 3; ++i)
        bench.end(i, good, Millis(10));
    CHECK_FALSE(bench.answer);
    bench.tick(Millis(100));
    REQUIRE(bench.answer);
    CHECK(bench.answer->missing == 1);
    Bench hopeless(4, 0);
    hopeless.plan.isBatch = true;
    hopeless.plan.maxMissing = 1;
    hopeless.start(Millis(0));
    hopeless.end(0, good, Millis(5));
    hopeless.end(1, lost, Millis(6));
    CHECK_FALSE(hopeless.answer);
    hopeless.end(2, lost, Millis(7));
    REQUIRE(hopeless.answer);
    // What is in goes along, so that another host can tell what lacks.
    CHECK(hopeless.answer->replies[0]);
}

TEST_CASE("hosts that share a request keep to the searchers that the first one named")
{
    Bench bench(2);
    for (const char *more : { "c0", "d0" })
        bench.pools[0]->add(
                std::make_shared<TrackedSearcher>(makeRegistration(more, 1), Millis(0), Millis(0)));
    const AllowedSearchers allowed = bench.pools[0]->bestForZone("", 2, Millis(20), Millis(0));
    REQUIRE(allowed.size() == 2);
    bench.scatter = std::make_unique<Scatter>(bench.plan, bench.pools, bench.pace,
                                              std::vector<AllowedSearchers>{ allowed, {} });
    std::set<std::uint32_t> used;
    ScatterActions out;
    bench.scatter->start(Millis(0), out);
    for (int ms = 1; ms < 900; ms += 10)
        bench.scatter->onTimer(Millis(ms), out);
    for (const ScatterSend &send : out.send) {
        if (send.searcher->registration().id.ends_with("0"))
            used.insert(send.searcher->key());
    }
    CHECK(used.size() == 2);
    for (const std::uint32_t key : used)
        CHECK(std::find(allowed.begin(), allowed.end(), key) != allowed.end());
}

TEST_CASE("a repeat of what another host may have sent takes from the budget")
{
    Bench bench(2, 1);
    bench.plan.isResend = true;
    bench.start(Millis(0));
    // A slack of one for each pool, and no request of this host's own.
    CHECK(bench.sent.size() == 2);
    Bench again(2, 0);
    again.plan.isResend = true;
    again.start(Millis(0));
    CHECK(again.sent.empty());
    REQUIRE(again.answer);
}

TEST_CASE("the own zone's searcher is preferred until it keeps refusing")
{
    ShardPool pool("p", RetryBudgetOptions(), 1);
    const auto near
            = std::make_shared<TrackedSearcher>(makeRegistration("near", 1), Millis(0), Millis(0));
    const auto far = std::make_shared<TrackedSearcher>(makeRegistration("far", 1), Millis(9),
                                                       Millis(0), Millis(35));
    pool.add(near);
    pool.add(far);
    // A little slower is no reason to pay for the way.
    near->onSent({ { 1 }, 0 }, Millis(20), Millis(0));
    CHECK(pool.choose({}, Millis(20), Millis(1), true) == near);
    near->onEnd({ { 1 }, 0 }, shed, Millis(2));
    for (std::uint32_t i = 1; i < 6; ++i) {
        near->onSent({ { 1 }, i }, Millis(20), Millis(2));
        near->onEnd({ { 1 }, i }, shed, Millis(2));
    }
    CHECK(pool.choose({}, Millis(20), Millis(3), true) == far);
}

TEST_CASE("every run of requests keeps the shares of a split, and new shares begin anew")
{
    const PoolShare large = { "x", 3 };
    const PoolShare small = { "y", 1 };
    Route route;
    route.name = "r";
    route.trafficSplit = { large, small };
    TrafficSplit split;
    int x = 0;
    for (int i = 1; i <= 400; ++i) {
        x += split.nextPool(route) == "x" ? 1 : 0;
        CHECK(x >= 0.75 * i - 1);
        CHECK(x <= 0.75 * i + 1);
    }
    route.trafficSplit = { small };
    CHECK(split.nextPool(route) == "y");
}
