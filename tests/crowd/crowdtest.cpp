// Crowds of callers outside the limits. The checks do not depend on the machine's speed: the
// process lives, its memory and descriptors stay below bounds, and it answers an ordinary request
// while the crowd is still connected.
#include "crowd/crowdcaller.h"
#include "crowd/crowdhost.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

using Crowd = std::vector<std::unique_ptr<CrowdCaller>>;

constexpr std::size_t megabyte = 1'048'576;
constexpr std::size_t maxGrowth = 64 * megabyte;
// 60 answers of 1 MB each are legitimately held; hosts have at least 160 MB.
constexpr std::size_t maxGrowthOfLongAnswers = 96 * megabyte;
constexpr std::size_t maxDescriptors = 200;
constexpr int statusOk = 200;

std::string requestFor(const std::string &target)
{
    return "GET " + target
           + " HTTP/1.1\r\nHost: h\r\nX-Quetzal-Request-Id: crowd\r\n"
             "X-Quetzal-Deadline-Ms: 9000\r\n\r\n";
}

Crowd makeCrowd(const CrowdHost &host, std::size_t size, const std::string &request,
                std::size_t bytesEach)
{
    Crowd crowd;
    for (std::size_t i = 0; i < size; ++i)
        crowd.push_back(std::make_unique<CrowdCaller>(host.callersPort(), request, bytesEach));
    return crowd;
}

// Sends until all is sent or the host has taken nothing for a while. Every other caller reads
// slowly if readBytes is not zero; the others never read.
void drive(Crowd &crowd, std::size_t readBytes)
{
    static constexpr int maxIdleRounds = 100;
    static constexpr int maxRounds = 1000;
    int idleRounds = 0;
    for (int round = 0; round < maxRounds && idleRounds < maxIdleRounds; ++round) {
        std::size_t moved = 0;
        for (std::size_t i = 0; i < crowd.size(); ++i) {
            moved += crowd[i]->send();
            if (readBytes > 0 && i % 2 == 0)
                crowd[i]->read(readBytes);
        }
        idleRounds = moved > 0 ? 0 : idleRounds + 1;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

void checkHost(CrowdHost &host, std::size_t growthLimit)
{
    CHECK(host.ordinaryStatus() == statusOk);
    CHECK(host.process().isAlive());
    MESSAGE("peak growth in MB: ", host.peakGrowth() / megabyte,
            ", descriptors: ", host.process().openDescriptors());
    CHECK(host.peakGrowth() < growthLimit);
    CHECK(host.process().openDescriptors() < maxDescriptors);
}

} // namespace

// Guards against requests that are read ahead without a bound.
TEST_CASE("crowd: 20 callers pipeline requests and read nothing")
{
    CrowdHost host;
    REQUIRE(host.ordinaryStatus() == statusOk);
    Crowd crowd = makeCrowd(host, 20, requestFor("/brief"), 16 * megabyte);
    drive(crowd, 0);
    checkHost(host, maxGrowth);
}

// Guards against answers that are buffered without a bound.
TEST_CASE("crowd: 60 callers ask for long answers and read slowly or not at all")
{
    CrowdHost host;
    REQUIRE(host.ordinaryStatus() == statusOk);
    const std::string request = requestFor("/long");
    Crowd crowd = makeCrowd(host, 60, request, 16 * request.size());
    drive(crowd, 1024);
    checkHost(host, maxGrowthOfLongAnswers);
}

// Guards against the same without the fields of the platform, where the host answers by itself.
TEST_CASE("crowd: 20 callers pipeline requests without the usual fields and read nothing")
{
    CrowdHost host;
    REQUIRE(host.ordinaryStatus() == statusOk);
    Crowd crowd = makeCrowd(host, 20, "GET /brief HTTP/1.1\r\nHost: h\r\n\r\n", 16 * megabyte);
    drive(crowd, 0);
    checkHost(host, maxGrowth);
}

// Guards against idle connections that take all file descriptors until their time-out.
TEST_CASE("crowd: 100 callers send nothing to a host with 64 file descriptors")
{
    CrowdHost host;
    REQUIRE(host.ordinaryStatus() == statusOk);
    host.process().limitDescriptors(64);
    const Crowd crowd = makeCrowd(host, 100, requestFor("/brief"), 0);
    checkHost(host, maxGrowth);
}
