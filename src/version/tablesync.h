// Keeps one host's tables at the newest revision.
#pragma once

#include "quetzal/ids.h"
#include "quetzal/millis.h"
#include "version/tablechunks.h"

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace quetzal {

// What the tables' keeper wants done.
enum class SyncActionKind {
    // Ask a peer for its manifest; the answer goes to onManifest.
    RequestPeerManifest,
    // Ask a peer for chunks; the answer goes to onChunk.
    RequestPeerChunks,
    // Read the manifest from the store.
    ReadManifest,
    // Wait at the store until the manifest differs from the given store version.
    WatchManifest,
    // Read a chunk from the store.
    ReadChunk,
    // Put the new tables in force.
    Publish,
};

struct SyncAction
{
    SyncActionKind kind = SyncActionKind::Publish;
    HostId peer;
    std::vector<std::string> chunks;
    std::uint64_t storeVersion = 0;
    std::shared_ptr<const RoutingTables> tables;
};

using SyncActions = std::vector<SyncAction>;

struct SyncTimings
{
    // Time for which a watch may wait at the store.
    Millis maxWatchWait = Millis(10'000);
    // Time between checks of a host that does not watch.
    Millis pollInterval = Millis(60'000);
    // Time after which a peer's or the store's silence is taken for a failure.
    Millis responseTimeout = Millis(800);
    Millis initialBackoff = Millis(500);
    Millis maxBackoff = Millis(4'000);
    // Longest time between two requests for the chunks of one revision.
    Millis maxPendingWait = Millis(30'000);
};

// Learns of new revisions from the store's watch and from peers' heartbeats, fetches the chunks
// that it lacks from peers first, and puts only complete, valid, higher revisions in force.
// Takes events with a time and appends actions; keeps no clock and no socket.
class TableSync
{
public:
    TableSync(const SyncTimings &times, std::uint64_t seed);

    // Sets whether this host watches the store; the others check it rarely.
    void setWatcher(bool isWatcher) { this->watcher = isWatcher; }

    // A peer's heartbeat told of its revision.
    void onPeerRevision(HostId peer, Revision revision, Millis now, SyncActions &out);

    // A manifest arrived, from a peer or (with an empty peer) from the store.
    void onManifest(HostId peer, const std::string &bytes, Millis now, SyncActions &out);

    // A chunk arrived. Contents that do not match the hash are dropped and counted.
    void onChunk(const std::string &hash, const std::string &bytes, Millis now, SyncActions &out);

    // A call to the store ended. The version is the store's count for the manifest.
    void onStoreManifest(bool reached, std::uint64_t storeVersion, const std::string &bytes,
                         Millis now, SyncActions &out);

    void onTimer(Millis now, SyncActions &out);
    Millis nextTimer() const;

    Revision revision() const { return this->currentManifest.revision; }
    std::shared_ptr<const RoutingTables> tables() const { return this->published; }

    // Returns the manifest in force, encoded, or an empty text.
    const std::string &manifestBytes() const { return this->currentManifestBytes; }

    // Returns a chunk of the manifest in force, or nothing.
    std::optional<std::string> chunk(const std::string &hash) const;

    std::uint64_t storeCalls() const { return this->storeCallCount; }
    std::uint64_t corruptChunks() const { return this->corruptChunkCount; }
    // Returns the time of the last answer of the store, or a time before the start.
    Millis lastStoreReplyAt() const { return this->lastStoreReply; }

private:
    void callStore(Millis now, SyncActions &out);
    void startFetch(HostId peer, const std::string &bytes, Millis now, SyncActions &out);
    void requestMissingChunks(Millis now, SyncActions &out);
    void publishPending(Millis now, SyncActions &out);
    std::vector<std::string> missingChunks() const;
    double jitter();

    SyncTimings times;
    std::mt19937_64 random;
    bool watcher = false;
    Manifest currentManifest;
    std::string currentManifestBytes;
    ChunkMap chunks;
    std::shared_ptr<const RoutingTables> published;
    // The revision being fetched.
    std::optional<Manifest> pendingManifest;
    std::string pendingManifestBytes;
    ChunkMap pendingChunks;
    HostId pendingPeer;
    int pendingAttempts = 0;
    // Chunks asked for that have not arrived.
    std::size_t outstandingChunks = 0;
    Millis pendingRequestedAt;
    Millis pendingWait;
    // A peer's revision that was asked for and has not arrived.
    Revision requestedRevision;
    Millis requestedRevisionAt;
    // The store.
    bool storeCallPending = false;
    Millis storeCallSentAt;
    Millis nextStoreCallAt;
    Millis backoff;
    std::uint64_t storeVersion = 0;
    std::uint64_t storeCallCount = 0;
    std::uint64_t corruptChunkCount = 0;
    Millis lastStoreReply = Millis(-1e12);
};

} // namespace quetzal
