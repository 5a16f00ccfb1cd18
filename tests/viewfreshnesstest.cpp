// Tests of the decision when a view is doubted, in virtual time: hosts that watch one store and
// confirm the view to each other.
#include "version/viewfreshness.h"
#include "version/backoff.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

constexpr Millis changeDeadline = Millis(3000);
constexpr Millis step = Millis(10);
constexpr Millis tickPeriod = Millis(200);
constexpr Millis responseTimeout = Millis(1000);
constexpr Millis initialBackoff = Millis(150);
constexpr Millis maxBackoff = Millis(1500);

// A span of time, without its end.
struct Span
{
    Millis from;
    Millis to;

    bool contains(Millis at) const { return at >= this->from && at < this->to; }
};

// Hosts that each keep one call to a store open. The store loses all calls that it holds or gets
// while it is silent, and never answers them.
class WatchingHosts
{
public:
    WatchingHosts(std::size_t count, std::optional<Span> silence)
        : silence(silence)
        , hosts(count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->hosts[i].freshness.setChangeDeadline(changeDeadline);
            this->hosts[i].freshness.setRank(i);
            this->hosts[i].nextTick = step * static_cast<double>(this->random() % 20);
            this->call(this->hosts[i]);
        }
    }

    // Share of the confirmations that are lost: one in this many, or none if zero.
    std::uint32_t lossPeriod = 20;

    // A host that never gets an answer from the store.
    void cutOff(std::size_t host) { this->hosts[host].isCutOff = true; }
    // A host that hears no other host and is not heard.
    void isolate(std::size_t host)
    {
        this->hosts[host].isIsolated = true;
        this->hosts[host].freshness.setRank(0);
    }
    void pause(std::size_t host) { this->hosts[host].freshness.onPaused(this->now); }

    void change() { this->revision += 1; }

    void runFor(Millis span)
    {
        const Millis end = this->now + span;
        for (; this->now < end; this->now += step) {
            for (Host &host : this->hosts)
                this->advance(host);
        }
    }

    // Returns the number of hosts that lack the newest revision, apart from those cut off.
    int behindCount() const
    {
        int result = 0;
        for (const Host &host : this->hosts)
            result += !host.isCutOff && host.revision < this->revision;
        return result;
    }

    Millis now;
    int storeCalls = 0;
    int doubts = 0;
    Millis maxAge;

private:
    struct Host
    {
        ViewFreshness freshness;
        Millis nextTick;
        Millis sentAt;
        Millis wait;
        // When a call is to be made, if none is pending.
        Millis callAt = Millis::never();
        Backoff backoff = Backoff(initialBackoff, maxBackoff);
        bool isPending = false;
        bool isLost = false;
        bool isHealthy = false;
        bool isCutOff = false;
        bool isIsolated = false;
        std::uint64_t revision = 0;
    };

    double randomFraction() { return static_cast<double>(this->random() % 100) / 100; }

    void call(Host &host)
    {
        this->storeCalls += 1;
        host.sentAt = this->now;
        host.wait = host.isHealthy ? host.freshness.maxCallWait(this->now) : Millis();
        host.isPending = true;
        host.isLost = false;
        host.callAt = Millis::never();
    }

    void advance(Host &host)
    {
        const bool isSilent = this->silence && this->silence->contains(this->now);
        if (host.isPending) {
            host.isLost = host.isLost || isSilent || host.isCutOff;
            const Millis waited = this->now - host.sentAt;
            const bool isDue = host.revision < this->revision || waited >= host.wait;
            if (!host.isLost && isDue)
                this->onAnswer(host);
            else if (waited >= host.wait + responseTimeout)
                this->onTimeout(host);
        }
        if (this->now >= host.callAt)
            this->call(host);
        if (this->now < host.nextTick)
            return;
        host.nextTick = this->now + tickPeriod;
        this->tick(host);
    }

    void onAnswer(Host &host)
    {
        host.revision = this->revision;
        host.freshness.confirmBySource(this->now);
        host.isHealthy = true;
        host.backoff.reset();
        host.isPending = false;
        host.callAt = this->now + step;
    }

    void onTimeout(Host &host)
    {
        host.isHealthy = false;
        host.isPending = false;
        host.callAt = this->now + host.backoff.next(this->randomFraction());
    }

    void tick(Host &host)
    {
        if (this->now > changeDeadline && !host.isCutOff)
            this->maxAge = std::max(this->maxAge, host.freshness.age(this->now));
        if (!host.isHealthy)
            return;
        if (host.freshness.takeDoubt(this->now)) {
            this->doubts += 1;
            host.isHealthy = false;
            this->call(host);
        }
        if (host.isIsolated || !host.freshness.takeConfirmation(this->now))
            return;
        for (Host &other : this->hosts) {
            const bool isLost = this->lossPeriod > 0 && this->random() % this->lossPeriod == 0;
            const bool isDelivered = &other != &host && !other.isIsolated && !isLost;
            if (isDelivered && other.revision >= host.revision)
                other.freshness.confirmByPeer(this->now - host.freshness.age(this->now));
        }
    }

    std::optional<Span> silence;
    std::minstd_rand random{ 7 };
    std::uint64_t revision = 0;
    std::vector<Host> hosts;
};

} // namespace

TEST_CASE("of hosts that watch a store without news, one keeps asking and the others rely on it")
{
    WatchingHosts hosts(8, std::nullopt);
    hosts.lossPeriod = 0;
    hosts.runFor(Millis(60'000));
    CHECK(hosts.maxAge <= changeDeadline);
    // One call in a quarter of the deadline by one host; by each, two at the start and one in 25 s.
    CHECK(hosts.storeCalls <= 60'000 / 750 + 8 * (2 + 3));
    CHECK(hosts.doubts == 0);
}

TEST_CASE("a change after a store has lost every watch is in force on all hosts in time")
{
    for (const double length : { 300, 1000, 2500, 8000 }) {
        for (double phase = 0; phase < 1500; phase += 90) {
            const Millis from = Millis(12'000 + phase);
            WatchingHosts hosts(8, Span{ from, from + Millis(length) });
            hosts.runFor(from + Millis(length));
            hosts.change();
            hosts.runFor(changeDeadline);
            CHECK_MESSAGE(hosts.behindCount() == 0, "silent for ", length, " ms from ",
                          from.count());
        }
    }
}

TEST_CASE("the next host in rank confirms the view when the first one is cut off from the store")
{
    WatchingHosts hosts(8, std::nullopt);
    hosts.runFor(Millis(10'000));
    hosts.cutOff(0);
    hosts.runFor(Millis(5000));
    const int callsBefore = hosts.storeCalls;
    hosts.runFor(Millis(30'000));
    CHECK(hosts.maxAge <= changeDeadline);
    // The cut-off host repeats its call, one of the others asks again and again, and each watches.
    CHECK(hosts.storeCalls - callsBefore <= 30'000 / 750 + 30'000 / 1000 + 8 * 2);
    hosts.change();
    hosts.runFor(changeDeadline);
    CHECK(hosts.behindCount() == 0);
}

TEST_CASE("a host that hears no other host doubts a silent store by itself")
{
    WatchingHosts hosts(8, Span{ Millis(12'000), Millis(14'000) });
    hosts.isolate(5);
    hosts.runFor(Millis(14'000));
    hosts.change();
    hosts.runFor(changeDeadline);
    CHECK(hosts.behindCount() == 0);
}

TEST_CASE("a view is doubted at once after the process was paused")
{
    ViewFreshness freshness;
    freshness.setChangeDeadline(changeDeadline);
    freshness.setRank(3);
    freshness.confirmBySource(Millis(10'000));
    CHECK_FALSE(freshness.takeDoubt(Millis(10'100)));
    freshness.onPaused(Millis(10'200));
    CHECK(freshness.takeDoubt(Millis(10'200)));
    CHECK_FALSE(freshness.takeDoubt(Millis(10'400)));
    // What was confirmed before the pause proves nothing; what is confirmed after it does.
    freshness.confirmByPeer(Millis(10'100));
    CHECK(freshness.age(Millis(10'400)) == Millis::never());
    freshness.confirmBySource(Millis(10'300));
    CHECK(freshness.age(Millis(10'400)) == Millis(100));
}
