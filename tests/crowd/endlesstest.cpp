// Searchers that send bytes without end. The process lives, its memory stays below the machine's,
// and requests of other callers are answered in time meanwhile and afterwards.
#include "crowd/answerload.h"
#include "crowd/crowdhost.h"
#include "crowd/endlesssearchers.h"
#include "quetzal/steadyclock.h"

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

constexpr std::size_t megabyte = 1'048'576;

constexpr const char *okHead = "HTTP/1.1 200 OK\r\nX-Quetzal-Request-Id: {id}\r\n"
                               "X-Quetzal-Seal: faulty\r\n";

std::string block(std::size_t size, char letter)
{
    return std::string(size, letter);
}

std::vector<EndlessScript> endlessScripts()
{
    const std::string ok = okHead;
    const std::string unsealed = "HTTP/1.1 200 OK\r\nX-Quetzal-Request-Id: {id}\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string whole = "HTTP/1.1 200 OK\r\nX-Quetzal-Request-Id: {id}\r\n"
                              "X-Quetzal-Seal: whole\r\nContent-Length: 16\r\n\r\n"
                              + block(16, 'r');
    return {
        // A head line, and fields.
        { "HTTP/1.1 200 ", block(65'536, 'a') },
        { ok, "X-Field: value\r\n" },
        { ok, "A:\r\n" },
        // Bodies.
        { ok + "\r\n", block(65'536, 'b') },
        { chunked, "8000\r\n" + block(32'768, 'c') + "\r\n" },
        { chunked, "1;" + block(200, 'e') + "\r\nc\r\n" },
        { chunked, "1\r\nc\r\n" },
        { chunked + "0\r\n", "X-Trailer: value\r\n" },
        { ok + "Content-Length: 18446744073709551615\r\n\r\n", block(65'536, 'd') },
        { unsealed + "Content-Length: 16777216\r\n\r\n", block(65'536, 'd') },
        // Other messages.
        { "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
        { "", "HTTP/1.1 200 OK\r\nX-Quetzal-Request-Id: other\r\nContent-Length: 1\r\n\r\nx" },
        { whole, block(65'536, 'g') },
        { "", block(65'536, 'h'), false },
        { "", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false },
        // Slowly.
        { ok + "\r\n", block(65'536, 's'), true, 200 },
        { chunked, "10\r\n" + block(16, 's') + "\r\n", true, 200 },
    };
}

// Runs the load for a time.
void run(EventLoop &loop, Millis time)
{
    const Millis end = SteadyClock::now() + time;
    while (SteadyClock::now() < end)
        loop.runOnce();
}

// Checks that the host lives within its memory and serves others. Callers of the faulty searchers'
// pools get whole answers or failures.
void checkHost(CrowdHost &host, AnswerLoad &load, const CrowdHostOptions &options)
{
    CHECK(host.process().isAlive());
    MESSAGE("peak in MB: ", host.process().peakResidentBytes() / megabyte);
    CHECK(host.process().peakResidentBytes() < options.memoryMb * megabyte);
    const AnswerLoad::Tally ordinary = load.tally("/ordinary");
    MESSAGE("ordinary answers: ", ordinary.successes,
            ", longest in ms: ", ordinary.longest.count());
    CHECK(ordinary.successes > 0);
    CHECK(ordinary.failures + ordinary.closed + ordinary.wrong == 0);
    CHECK(ordinary.longest < CrowdHost::ordinaryTarget);
    load.stop();
    CHECK(host.ordinaryStatus() == 200);
}

CrowdHostOptions hostOptions(const EndlessSearchers &faulty, std::uint32_t memoryMb)
{
    CrowdHostOptions options;
    options.memoryMb = memoryMb;
    for (std::size_t i = 0; i < faulty.count(); ++i)
        options.faultyAddresses.push_back(faulty.address(i));
    return options;
}

void checkEndless(std::uint32_t memoryMb)
{
    const EndlessSearchers faulty(endlessScripts());
    const CrowdHostOptions options = hostOptions(faulty, memoryMb);
    CrowdHost host(options);
    REQUIRE(host.ordinaryStatus() == 200);
    EventLoop loop;
    AnswerLoad load(loop, host.callersPort());
    load.add("/ordinary", 20, Millis(20));
    load.add("/all/x", 100, Millis(5));
    for (std::size_t i = 0; i < faulty.count(); ++i)
        load.add("/p" + std::to_string(i) + "/x", 10, Millis(5));
    run(loop, Millis(5000));
    checkHost(host, load, options);
    for (std::size_t i = 0; i < faulty.count(); ++i) {
        const AnswerLoad::Tally tally = load.tally("/p" + std::to_string(i) + "/x");
        CHECK_MESSAGE(faulty.sentBytes(i) > 0, "script ", i);
        CHECK_MESSAGE(tally.successes > 0, "script ", i);
        CHECK_MESSAGE(tally.wrong + tally.closed == 0, "script ", i);
    }
    CHECK(load.tally("/all/x").successes > 0);
    CHECK(load.tally("/all/x").wrong + load.tally("/all/x").closed == 0);
}

} // namespace

// Guards against bytes of faulty searchers that are kept, or parsed, without a bound.
TEST_CASE("endless: searchers send without end to a host with 160 MB")
{
    checkEndless(160);
}

TEST_CASE("endless: searchers send without end to a host with 260 MB")
{
    checkEndless(260);
}

// Guards against complete parts that are kept whole while another part is waited for.
TEST_CASE("endless: parts of 4 MB wait for a searcher that sends slowly")
{
    const EndlessScript large
            = { std::string(okHead) + "Content-Length: 4194304\r\n\r\n", block(65'536, 'r') };
    const EndlessScript slow = { std::string(okHead) + "\r\n", block(65'536, 's'), true, 200 };
    const EndlessSearchers faulty({ large, large, large, large, slow });
    CrowdHostOptions options = hostOptions(faulty, 160);
    options.hasOwnInPools = false;
    CrowdHost host(options);
    REQUIRE(host.ordinaryStatus() == 200);
    EventLoop loop;
    AnswerLoad load(loop, host.callersPort());
    load.add("/ordinary", 20, Millis(20));
    load.add("/all/x", 50, Millis(5));
    run(loop, Millis(4000));
    checkHost(host, load, options);
}

// Guards against answers of the store that take many times their size once they are parsed.
TEST_CASE("endless: a store answers without end or with too many values, and is asked again")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string objects = "{},{},{},{},{},{},{},{},";
    const std::vector<EndlessScript> scripts = {
        { ok + "Content-Length: 16777216\r\n\r\n{\"currentRev\":1,\"items\":[", objects },
        { ok + "Content-Length: 16777216\r\n\r\n{\"currentRev\":1,\"items\":[", "1," },
        { ok + "Content-Length: 16777216\r\n\r\n{\"currentRev\":\"", block(65'536, 'x') },
        { ok + "\r\n{\"currentRev\":1,\"items\":[", objects },
        { ok, "X-Field: value\r\n" },
        { "", block(65'536, 'h'), false },
    };
    for (const EndlessScript &script : scripts) {
        const EndlessSearchers store({ script });
        CrowdHostOptions options;
        options.memoryMb = 160;
        options.storeAddress = store.address(0);
        CrowdHost host(options);
        const Millis end = SteadyClock::now() + Millis(5000);
        EventLoop loop;
        while (store.accepted(0) < 3 && SteadyClock::now() < end)
            run(loop, Millis(50));
        CHECK(store.accepted(0) >= 3);
        CHECK(host.process().isAlive());
        MESSAGE("peak in MB: ", host.process().peakResidentBytes() / megabyte);
        CHECK(host.process().peakResidentBytes() < options.memoryMb * megabyte);
    }
}

// Guards against failures of searchers that are kept whole while another searcher is tried.
TEST_CASE("endless: failures of 4 MB are kept while a searcher that sends slowly is tried")
{
    const EndlessScript failure = { "HTTP/1.1 500 Failed\r\nX-Quetzal-Request-Id: {id}\r\n"
                                    "X-Quetzal-Seal: faulty\r\nContent-Length: 4194304\r\n\r\n",
                                    block(65'536, 'f') };
    const EndlessScript slow = { std::string(okHead) + "\r\n", block(65'536, 's'), true, 200 };
    const EndlessSearchers faulty({ failure, failure, failure, failure });
    const EndlessSearchers shared({ slow });
    CrowdHostOptions options = hostOptions(faulty, 160);
    options.hasOwnInPools = false;
    options.sharedAddress = shared.address(0);
    CrowdHost host(options);
    REQUIRE(host.ordinaryStatus() == 200);
    EventLoop loop;
    AnswerLoad load(loop, host.callersPort());
    load.add("/ordinary", 20, Millis(20));
    for (std::size_t i = 0; i < faulty.count(); ++i)
        load.add("/p" + std::to_string(i) + "/x", 50, Millis(5));
    run(loop, Millis(4000));
    checkHost(host, load, options);
}
