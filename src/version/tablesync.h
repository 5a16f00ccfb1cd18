// Keeps one host's routing tables at the newest revision.
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

// Kind of an action that TableSync asks its owner to perform.
enum class SyncActionKind {
    // Request a peer's manifest; the reply goes to onManifest.
    RequestPeerManifest,
    // Request chunks from a peer; each of them goes to onChunk.
    RequestPeerChunks,
    // Read the manifest from the store; the reply goes to onStoreManifest.
    ReadManifest,
    // Long poll: read the manifest once its version in the store differs from storeVersion, or the
    // wait ends; the reply goes to onStoreManifest.
    WatchManifest,
    // Read a chunk from the store; it goes to onChunk.
    ReadChunk,
    // Start using the new tables.
    Publish,
};

// An action to perform. Which fields are set depends on the kind.
struct SyncAction
{
    SyncActionKind kind = SyncActionKind::Publish;
    HostId peer;
    std::vector<std::string> chunks;
    std::uint64_t storeVersion = 0;
    std::shared_ptr<const RoutingTables> tables;
};

using SyncActions = std::vector<SyncAction>;

// Timeouts and intervals of TableSync.
struct SyncTimings
{
    // Longest time for which the store holds a watch open. A watch that the store has lost is
    // noticed only after it, so it is a part of the time in which a change may be in force.
    Millis maxWatchWait = Millis(2000);
    // Time between two reads by a host that does not watch the store.
    Millis pollInterval = Millis(60'000);
    // Time after which a missing reply from a peer or the store counts as a failure.
    Millis responseTimeout = Millis(800);
    // Pause after the first failed call to the store; doubles up to maxBackoff.
    Millis initialBackoff = Millis(500);
    Millis maxBackoff = Millis(4'000);
    // Longest wait between two requests for the chunks of one revision.
    Millis maxPendingWait = Millis(30'000);
};

// Learns of new revisions from the store and from peers' heartbeats, fetches missing chunks from
// the peer first and then from the store, and publishes a revision only if it is complete, valid
// and higher than the current one. Does no I/O and reads no clock: each event comes with its time,
// and actions are appended to the list passed in.
class TableSync
{
public:
    // The seed is for the jitter of intervals.
    TableSync(const SyncTimings &times, std::uint64_t seed);

    // Sets whether this host watches the store or only reads it every pollInterval.
    void setWatcher(bool isWatcher) { this->watcher = isWatcher; }

    // Handles the revision in a peer's heartbeat.
    void onPeerRevision(HostId peer, Revision revision, Millis now, SyncActions &out);

    // Handles a manifest from a peer, or from the store if the peer is empty.
    void onManifest(HostId peer, const std::string &bytes, Millis now, SyncActions &out);

    // Handles a chunk. One that does not match its hash is dropped and counted as corrupt.
    void onChunk(const std::string &hash, const std::string &bytes, Millis now, SyncActions &out);

    // Handles the end of a read or watch of the manifest; reached is false if the store did not
    // answer. The version is that of the manifest's key in the store; bytes are empty if the store
    // has no manifest.
    void onStoreManifest(bool reached, std::uint64_t storeVersion, const std::string &bytes,
                         Millis now, SyncActions &out);

    // Performs what is due at that time.
    void onTimer(Millis now, SyncActions &out);
    // Returns the time of the next call of onTimer.
    Millis nextTimer() const;

    Revision revision() const { return this->currentManifest.revision; }
    std::shared_ptr<const RoutingTables> tables() const { return this->published; }

    // Returns the current manifest, encoded, or an empty string if there is none.
    const std::string &manifestBytes() const { return this->currentManifestBytes; }

    // Returns a chunk of the current manifest, or nothing.
    std::optional<std::string> chunk(const std::string &hash) const;

    // Returns the number of calls to the store.
    std::uint64_t storeCalls() const { return this->storeCallCount; }
    // Returns the number of chunks, manifests and whole revisions that were dropped as corrupt or
    // malformed.
    std::uint64_t corruptChunks() const { return this->corruptChunkCount; }
    // Returns the time of the store's last reply, or a time before the process started.
    Millis lastStoreReplyAt() const { return this->lastStoreReply; }

private:
    // Reads or watches the manifest in the store.
    void callStore(Millis now, SyncActions &out);
    // Starts to fetch the revision of a manifest if it is newer than any known one.
    void startFetch(HostId peer, const std::string &bytes, Millis now, SyncActions &out);
    // Requests missing chunks of the pending revision, or publishes it if none is missing.
    void requestMissingChunks(Millis now, SyncActions &out);
    // Decodes and publishes the pending revision, all of whose chunks have arrived.
    void publishPending(Millis now, SyncActions &out);
    // Gives up the pending revision of a peer if neither the peer nor the store has its chunks, so
    // that the store's revision can take its place, and returns true if it did.
    bool giveUpPending(Millis now);
    // Returns true if a revision was given up a short time ago.
    bool isGivenUp(Revision revision, Millis now) const;
    // Returns the hashes of the pending revision's missing chunks.
    std::vector<std::string> missingChunks() const;
    // Returns a random factor from 0.75 to 1.25.
    double jitter();

    SyncTimings times;
    std::mt19937_64 random;
    bool watcher = false;
    Manifest currentManifest;
    std::string currentManifestBytes;
    ChunkMap chunks;
    std::shared_ptr<const RoutingTables> published;
    // The revision being fetched, the chunks that it has so far, and where its manifest came from.
    std::optional<Manifest> pendingManifest;
    std::string pendingManifestBytes;
    ChunkMap pendingChunks;
    HostId pendingPeer;
    int pendingAttempts = 0;
    // Chunks of the last request that have not arrived.
    std::size_t outstandingChunks = 0;
    // When chunks were last requested, and the time after which those still missing are requested
    // again.
    Millis pendingRequestedAt;
    Millis pendingWait;
    // Since when the store has been asked for chunks and none has arrived.
    Millis storeAskedSince = Millis::never();
    // The revision that was last given up, and until when it is not taken from a peer again.
    Revision givenUpRevision;
    Millis givenUpUntil;
    // The revision for which a manifest was last requested from a peer, and when.
    Revision requestedRevision;
    Millis requestedRevisionAt;
    // State of the calls to the store; storeVersion is the manifest's version there.
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
