// Routing tables: validation, chunks, concurrent edits, lost replies, and synchronization of a
// host.
#include "bench/virtual/fakestore.h"
#include "version/tableeditor.h"
#include "version/tablesync.h"

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

constexpr const char *routesText = R"(routes:
  - name: search
    match: { methods: [GET], path: /search }
    pool: shopfront
    deadline_ms: 300
)";

constexpr const char *poolsText = R"(zones: [kigali-1]
pools:
  - name: shopfront
    shards: 2
    slots: 2
    connection_cap: 25
    searchers:
      - { address: "10.0.0.1:9000", zone: kigali-1, shard: 0 }
      - { address: "10.0.0.2:9000", zone: kigali-1, shard: 1 }
)";

TableContents sampleTables()
{
    const auto parsed = parseTables("routes.yaml", routesText, "pools.yaml", poolsText);
    REQUIRE(parsed.ok());
    return parsed.value;
}

// Returns the first error after a part of the pools file is replaced.
std::string errorAfter(const std::string &part, const std::string &replacement)
{
    std::string text = poolsText;
    text.replace(text.find(part), part.size(), replacement);
    const auto parsed = parseTables("routes.yaml", routesText, "pools.yaml", text);
    return parsed.errors.empty() ? "" : parsed.errors.front();
}

} // namespace

TEST_CASE("errors in the tables name file, line, entry and field")
{
    CHECK(errorAfter("zone: kigali-1, shard: 0", "zone: kigali-9, shard: 0")
          == "pools.yaml:8: pool \"shopfront\": searcher 10.0.0.1:9000: zone \"kigali-9\" does not "
             "exist");
    CHECK(errorAfter("10.0.0.2:9000", "10.0.0.1:9000")
          == "pools.yaml:9: pool \"shopfront\": searcher 10.0.0.1:9000: address is used twice");
    CHECK(errorAfter("shard: 1 }", "shard: 0 }")
          == "pools.yaml:3: pool \"shopfront\": shard 1 has no searcher");
    CHECK(errorAfter("10.0.0.2:9000", "searcher.example:9000").find("must be an IP number")
          != std::string::npos);
    CHECK(errorAfter("slots: 2", "slots: two").find("slots \"two\"") != std::string::npos);
    CHECK(errorAfter("name: shopfront", "name: other")
          == "routes.yaml:4: route \"search\": pool \"shopfront\" does not exist");
    CHECK(errorAfter("slots: 2", "slotz: 2").find("unknown field \"slotz\"") != std::string::npos);
    const auto broken = parseTables("routes.yaml", "routes: []", "pools.yaml", "pools: [");
    REQUIRE_FALSE(broken.ok());
    CHECK(broken.errors.front().starts_with("pools.yaml:"));
}

TEST_CASE("tables are unchanged by formatting and chunking, and a corrupt chunk is detected")
{
    const TableContents original = sampleTables();
    const auto reparsed = parseTables("r", formatRoutes(original.routes), "p",
                                      formatPools(original.zones, original.pools));
    REQUIRE(reparsed.ok());
    CHECK(reparsed.value.routes == original.routes);
    CHECK(reparsed.value.pools == original.pools);
    ChunkMap chunks = splitTables(original);
    Manifest manifest;
    manifest.zones = original.zones;
    for (const auto &[hash, bytes] : chunks)
        manifest.chunks.push_back(hash);
    REQUIRE(joinTables(manifest, chunks));
    CHECK(joinTables(manifest, chunks)->pools == original.pools);
    chunks.begin()->second[3] ^= 1;
    CHECK_FALSE(joinTables(manifest, chunks));
}

TEST_CASE("concurrent edits of different entries are merged; a second edit of one entry is a "
          "conflict")
{
    FakeStore store(1);
    TableEditor<FakeStore> editor(store, 1);
    const TableContents base = sampleTables();
    REQUIRE(editor.apply(base, std::nullopt, {}).status == EditStatus::Accepted);
    TableContents first = base;
    first.pools[0].searchers[0].slots = 3;
    TableContents second = base;
    second.pools[0].searchers[1].slots = 4;
    TableContents third = base;
    third.pools[0].searchers[0].slots = 5;
    CHECK(editor.apply(first, base, {}).status == EditStatus::Accepted);
    CHECK(editor.apply(second, base, {}).status == EditStatus::Accepted);
    const EditResult refused = editor.apply(third, base, {});
    CHECK(refused.status == EditStatus::Conflict);
    REQUIRE(refused.problems.size() == 1);
    CHECK(refused.problems[0] == "searcher 10.0.0.1:9000");
    StoredManifest stored;
    REQUIRE(editor.readManifest(stored) == StoreStatus::Ok);
    const auto final = editor.readTables(stored.manifest);
    REQUIRE(final);
    CHECK(final->pools[0].searchers[0].slots == 3);
    CHECK(final->pools[0].searchers[1].slots == 4);
}

TEST_CASE(
        "an edit whose replies are lost takes effect once; with the store down it takes no effect")
{
    FakeStore store(7);
    TableEditor<FakeStore> editor(store, 1);
    REQUIRE(editor.apply(sampleTables(), std::nullopt, {}).status == EditStatus::Accepted);
    store.lostReplyFraction = 0.3;
    for (std::uint32_t slots = 3; slots < 30; ++slots) {
        TableContents next = sampleTables();
        next.pools[0].searchers[0].slots = slots;
        const EditResult result = editor.apply(next, std::nullopt, {});
        REQUIRE(result.status == EditStatus::Accepted);
    }
    store.lostReplyFraction = 0;
    StoredManifest stored;
    REQUIRE(editor.readManifest(stored) == StoreStatus::Ok);
    // One initial edit and 27 further ones.
    CHECK(stored.manifest.revision == Revision{ 28 });
    store.down = true;
    CHECK(editor.apply(sampleTables(), std::nullopt, {}).status == EditStatus::Unavailable);
}

TEST_CASE("garbage collection keeps chunks that a concurrent edit is about to reference")
{
    FakeStore store(1);
    TableEditor<FakeStore> editor(store, 1);
    TableEditor<FakeStore> collector(store, 2);
    const TableContents original = sampleTables();
    TableContents other = original;
    other.pools[0].searchers[0].slots = 9;
    REQUIRE(editor.apply(original, std::nullopt, {}).status == EditStatus::Accepted);
    REQUIRE(editor.apply(other, std::nullopt, {}).status == EditStatus::Accepted);
    // The editor alternates between two versions of the tables, so each edit needs chunks that are
    // unreferenced before it. A garbage collection runs before each of the edit's calls in turn.
    for (int collectionCall = 0; collectionCall < 12; ++collectionCall) {
        int call = 0;
        store.beforeCall = [&] {
            if (call++ == collectionCall)
                collector.collectGarbage(1);
        };
        const TableContents &wanted = collectionCall % 2 == 0 ? original : other;
        REQUIRE(editor.apply(wanted, std::nullopt, {}).status == EditStatus::Accepted);
        store.beforeCall = nullptr;
        StoredManifest stored;
        REQUIRE(editor.readManifest(stored) == StoreStatus::Ok);
        const auto final = editor.readTables(stored.manifest);
        REQUIRE(final);
        CHECK(final->pools == wanted.pools);
    }
}

namespace {

// An encoded manifest at one revision, with its chunks.
struct EncodedRevision
{
    std::string bytes;
    ChunkMap chunks;

    explicit EncodedRevision(std::uint64_t revision)
    {
        TableContents tables = sampleTables();
        tables.pools[0].searchers[0].slots = static_cast<std::uint32_t>(revision);
        this->chunks = splitTables(tables);
        Manifest manifest;
        manifest.revision = { revision };
        manifest.zones = tables.zones;
        for (const auto &[hash, chunk] : this->chunks)
            manifest.chunks.push_back(hash);
        this->bytes = encode(manifest);
    }

    // Delivers the manifest and then the chunks, as from one peer.
    void deliver(TableSync &sync, HostId peer, Millis now, SyncActions &actions) const
    {
        sync.onManifest(peer, this->bytes, now, actions);
        for (const auto &[hash, chunk] : this->chunks)
            sync.onChunk(hash, chunk, now, actions);
    }
};

} // namespace

TEST_CASE("a host never returns to a lower revision, whether a peer or the store offers it")
{
    TableSync sync(SyncTimings(), 1);
    SyncActions actions;
    EncodedRevision(5).deliver(sync, { 1 }, Millis(0), actions);
    CHECK(sync.revision() == Revision{ 5 });
    EncodedRevision(4).deliver(sync, { 2 }, Millis(1), actions);
    CHECK(sync.revision() == Revision{ 5 });
    sync.onStoreManifest(true, 3, EncodedRevision(4).bytes, Millis(2), actions);
    CHECK(sync.revision() == Revision{ 5 });
}

TEST_CASE(
        "corrupt chunks are dropped, and chunks that a peer does not send are read from the store")
{
    TableSync sync(SyncTimings(), 1);
    SyncActions actions;
    const EncodedRevision next(2);
    sync.onManifest({ 1 }, next.bytes, Millis(0), actions);
    for (const auto &[hash, chunk] : next.chunks)
        sync.onChunk(hash, chunk + "x", Millis(1), actions);
    CHECK(sync.revision() == Revision{ 0 });
    CHECK(sync.corruptChunks() == next.chunks.size());
    bool readsStore = false;
    for (int second = 1; second < 5; ++second) {
        actions.clear();
        sync.onTimer(Millis(second * 1000), actions);
        for (const SyncAction &action : actions)
            readsStore = readsStore || action.kind == SyncActionKind::ReadChunk;
    }
    CHECK(readsStore);
}

TEST_CASE("a watch without a reply is repeated, and an outage of the store causes few calls")
{
    TableSync sync(SyncTimings(), 1);
    sync.setWatcher(true);
    SyncActions actions;
    sync.onTimer(Millis(0), actions);
    sync.onStoreManifest(true, 1, EncodedRevision(1).bytes, Millis(5), actions);
    actions.clear();
    sync.onTimer(Millis(100), actions);
    REQUIRE(actions.size() == 1);
    CHECK(actions[0].kind == SyncActionKind::WatchManifest);
    // The watch never gets a reply.
    const std::uint64_t before = sync.storeCalls();
    for (int second = 1; second <= 3600; ++second) {
        actions.clear();
        sync.onTimer(Millis(second * 1000), actions);
    }
    CHECK(sync.storeCalls() > before);
    // Fewer than one call in three seconds over an hour's outage.
    CHECK(sync.storeCalls() - before < 1200);
}

TEST_CASE("a peer's revision whose chunks exist nowhere gives way to the store's revision")
{
    TableSync sync(SyncTimings(), 1);
    sync.setWatcher(true);
    SyncActions actions;
    Manifest unobtainable;
    unobtainable.revision = { std::uint64_t(1) << 62 };
    unobtainable.chunks = { "0" };
    const std::string unobtainableBytes = encode(unobtainable);
    const EncodedRevision valid(7);
    sync.onManifest({ 1 }, unobtainableBytes, Millis(0), actions);
    // The store answers each call at once but does not have the chunk, and the peer goes on to
    // offer its manifest.
    Millis now;
    for (; now < Millis(60'000) && sync.revision() != Revision{ 7 }; now += Millis(100)) {
        actions.clear();
        sync.onTimer(now, actions);
        sync.onPeerRevision({ 1 }, unobtainable.revision, now, actions);
        const SyncActions due = actions;
        for (const SyncAction &action : due) {
            if (action.kind == SyncActionKind::RequestPeerManifest)
                sync.onManifest({ 1 }, unobtainableBytes, now, actions);
            if (action.kind == SyncActionKind::ReadManifest
                || action.kind == SyncActionKind::WatchManifest)
                sync.onStoreManifest(true, 7, valid.bytes, now, actions);
            if (action.kind == SyncActionKind::ReadChunk) {
                const auto found = valid.chunks.find(action.chunks.front());
                if (found != valid.chunks.end())
                    sync.onChunk(found->first, found->second, now, actions);
            }
        }
    }
    CHECK(sync.revision() == Revision{ 7 });
    CHECK(now < Millis(10'000));
}
