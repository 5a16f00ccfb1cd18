// Per-unit costs for docs/CAPACITY.md: bytes and nanoseconds per member, searcher, sub-request,
// heartbeat and table chunk.
#include "bench/report.h"
#include "bench/timing.h"
#include "connection/frame.h"
#include "connection/messages.h"
#include "process/membership.h"
#include "process/ownership.h"
#include "version/indexversionregistry.h"
#include "version/tablechunks.h"
#include "version/tableentries.h"

#include <absl/flags/parse.h>

namespace quetzal {

namespace {

constexpr std::array<std::uint32_t, 4> fleetSizes = { 100, 300, 1000, 3000 };
constexpr std::uint32_t zoneCount = 17;

MemberInfo makeMember(std::uint32_t number)
{
    MemberInfo info;
    info.name = "host-" + std::to_string(number);
    info.id = { stableHash(info.name) };
    info.zone = "zone-" + std::to_string(number % zoneCount);
    info.address
            = "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":8082";
    info.incarnation = { 1 };
    return info;
}

std::vector<MemberInfo> makeMembers(std::uint32_t count)
{
    std::vector<MemberInfo> members;
    for (std::uint32_t i = 0; i < count; ++i)
        members.push_back(makeMember(i));
    return members;
}

// Memory per member, and size and processing time of heartbeats.
void measureMembership(Report &report)
{
    for (const std::uint32_t size : fleetSizes) {
        const std::vector<MemberInfo> members = makeMembers(size);
        Membership one(members[0], MembershipTimes(), 1);
        Membership two(members[1], MembershipTimes(), 2);
        one.addSeeds(members, Millis(0));
        two.addSeeds(members, Millis(0));
        const std::string prefix = "membership/" + std::to_string(size) + "/";
        report.addFigure(prefix + "state-per-member", static_cast<double>(one.stateBytes()) / size,
                         "bytes");
        Millis now(0);
        double bytes = 0;
        double count = 0;
        const double nanos = nanosPer(2000, [&] {
            now += Millis(500);
            std::vector<OutgoingHeartbeat> pings;
            one.pingNow(members[1].id, now, pings);
            std::vector<OutgoingHeartbeat> acks;
            const std::string wire = encode(pings.front().heartbeat);
            bytes += static_cast<double>(wire.size() + KeyRing::overheadBytes);
            count += 1;
            two.onHeartbeat(*decode<Heartbeat>(wire), now, acks);
            std::vector<OutgoingHeartbeat> none;
            one.onHeartbeat(acks.front().heartbeat, now, none);
        });
        report.addFigure(prefix + "ping-and-ack", nanos, "ns");
        report.addFigure(prefix + "heartbeat", bytes / count, "bytes");
    }
}

// Time to find the owning host of one searcher.
void measureOwnership(Report &report)
{
    for (const std::uint32_t size : fleetSizes) {
        std::vector<OwnerCandidate> candidates;
        for (const MemberInfo &member : makeMembers(size))
            candidates.push_back({ member.id, stableHash(member.zone), {} });
        const Ownership ownership(candidates);
        std::uint64_t key = 0;
        const double nanos = nanosPer(20'000, [&] {
            key += 1;
            doNotOptimize(ownership.ownerOf({ key }, "zone-" + std::to_string(key % zoneCount)));
        });
        report.addFigure("ownership/" + std::to_string(size) + "/per-searcher", nanos, "ns");
    }
}

// Returns tables of one pool with this many searchers.
TableContents makeTables(std::uint32_t searchers)
{
    TableContents contents;
    for (std::uint32_t zone = 0; zone < zoneCount; ++zone)
        contents.zones.push_back("zone-" + std::to_string(zone));
    static constexpr std::uint32_t shards = 1800;
    Pool pool;
    pool.name = "catalogue";
    pool.shards = shards;
    for (std::uint32_t i = 0; i < searchers; ++i) {
        Searcher searcher;
        searcher.pool = pool.name;
        searcher.address = "10." + std::to_string(1 + i / 62'500) + "."
                           + std::to_string(i / 250 % 250) + "." + std::to_string(i % 250)
                           + ":9000";
        searcher.zone = contents.zones[i % zoneCount];
        searcher.shard = i % shards;
        searcher.slots = 2;
        searcher.connectionCap = 25;
        searcher.connectCost = Millis(6);
        pool.searchers.push_back(searcher);
    }
    contents.pools.push_back(pool);
    return contents;
}

// Size of the chunked tables, and time to split and join them.
void measureTables(Report &report)
{
    for (const std::uint32_t searchers : { 1'000U, 10'000U, 86'000U }) {
        const TableContents contents = makeTables(searchers);
        const ChunkMap chunks = splitTables(contents);
        Manifest manifest;
        manifest.zones = contents.zones;
        double bytes = 0;
        double largest = 0;
        for (const auto &[hash, chunk] : chunks) {
            manifest.chunks.push_back(hash);
            bytes += static_cast<double>(chunk.size());
            largest = std::max(largest, static_cast<double>(chunk.size()));
        }
        const std::string prefix = "tables/" + std::to_string(searchers) + "/";
        report.addFigure(prefix + "chunks", static_cast<double>(chunks.size()), "chunks");
        report.addFigure(prefix + "per-searcher", bytes / searchers, "bytes");
        report.addFigure(prefix + "manifest", static_cast<double>(encode(manifest).size()),
                         "bytes");
        report.addFigure(prefix + "largest-chunk", largest, "bytes");
        const double join = nanosPer(1, [&] { doNotOptimize(joinTables(manifest, chunks)); });
        report.addFigure(prefix + "join-per-searcher", join / searchers, "ns");
        const double split = nanosPer(1, [&] { doNotOptimize(splitTables(contents)); });
        report.addFigure(prefix + "split-per-searcher", split / searchers, "ns");
    }
}

// Time to recompute the version layouts after a report.
void measureVersionRegistry(Report &report)
{
    for (const std::uint32_t shards : { 20U, 200U, 1800U }) {
        std::vector<SearcherId> ids;
        for (std::uint32_t i = 0; i < shards * 2; ++i)
            ids.push_back({ i + 1 });
        IndexVersionRegistry versions;
        versions.setMembers(ids);
        for (std::uint32_t i = 0; i < shards * 2; ++i)
            versions.report(ids[i],
                            { { { 1 }, shards, i / 2, 100 }, { { 2 }, shards, i / 2, 100 } });
        std::uint64_t documents = 100;
        const double nanos = nanosPer(50, [&] {
            // A changed report from one searcher invalidates the layouts of all versions.
            versions.report(ids[0],
                            { { { 1 }, shards, 0, 100 }, { { 3 }, shards, 0, ++documents } });
            doNotOptimize(versions.chooseLayout());
        });
        report.addFigure("version-book/" + std::to_string(shards) + "/rebuild-per-searcher",
                         nanos / (shards * 2), "ns");
    }
}

// Size and coding time of sub-requests and sub-replies, and time to sign and verify a frame.
void measureMessages(Report &report)
{
    for (const std::uint32_t items : { 1U, 10U, 100U }) {
        SubRequests batch;
        batch.request
                = { "host-1-12345678901234567890", "GET", "/shopfront/search?q=ring", "", "", 10 };
        for (std::uint32_t i = 0; i < items; ++i)
            batch.items.push_back({ i, { i }, i, 300 });
        const std::string wire = encode(batch);
        const std::string prefix = "message/" + std::to_string(items) + "-items/";
        report.addFigure(prefix + "sub-requests", static_cast<double>(wire.size()), "bytes");
        const double coding
                = nanosPer(2000, [&] { doNotOptimize(decode<SubRequests>(encode(batch))); });
        report.addFigure(prefix + "encode-and-decode-per-item", coding / items, "ns");
    }
    SubReply reply;
    for (int i = 0; i < 10; ++i)
        reply.hits.push_back({ "item-" + std::to_string(i * 1000), 0.5 });
    const std::string wire = encode(reply);
    report.addFigure("message/sub-reply-of-10-hits", static_cast<double>(wire.size()), "bytes");
    report.addFigure("message/sub-reply-encode-and-decode",
                     nanosPer(5000, [&] { doNotOptimize(decode<SubReply>(encode(reply))); }), "ns");
    const KeyRing keys({ { 1, "a-secret-of-the-fleet" } });
    const std::string body(1000, 'x');
    const std::string frame = keys.sign(FrameKind::Channel, body);
    report.addFigure("message/sign-1000-bytes",
                     nanosPer(5000, [&] { doNotOptimize(keys.sign(FrameKind::Channel, body)); }),
                     "ns");
    report.addFigure("message/verify-1000-bytes",
                     nanosPer(5000, [&] { doNotOptimize(keys.verify(frame)); }), "ns");
}

// Time for one message and its acknowledgement on a channel, and size of the channel header.
void measureChannel(Report &report)
{
    Channel one({ 1 }, { 1 }, Millis(8));
    Channel two({ 2 }, { 1 }, Millis(8));
    one.setPeerIncarnation({ 1 });
    two.setPeerIncarnation({ 1 });
    Millis now(0);
    const double nanos = nanosPer(20'000, [&] {
        now += Millis(1);
        const ChannelDatagram sent = one.send("payload", now, now + Millis(1000));
        two.onReceive(sent.header, now);
        one.onReceive(two.makeAck().header, now);
    });
    report.addFigure("channel/message-and-ack", nanos, "ns");
    report.addFigure("channel/header", static_cast<double>(encode(ChannelHeader()).size()),
                     "bytes");
}

} // namespace

} // namespace quetzal

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    quetzal::Report report;
    quetzal::measureMembership(report);
    quetzal::measureOwnership(report);
    quetzal::measureTables(report);
    quetzal::measureVersionRegistry(report);
    quetzal::measureMessages(report);
    quetzal::measureChannel(report);
    return report.print();
}
