#include "version/tablesync.h"

#include "version/codec.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

// Chunks asked of a peer at once.
static constexpr std::size_t chunksPerRequest = 32;
// Requests to peers for one revision before the store is asked.
static constexpr int peerTries = 2;
static constexpr HostId theStore = {};

TableSync::TableSync(const SyncTimings &times, std::uint64_t seed)
    : times(times)
    , random(seed)
    , backoff(times.initialBackoff)
{}

double TableSync::jitter()
{
    return 0.75 + 0.5 * static_cast<double>(this->random() % 1000) / 1000;
}

std::optional<std::string> TableSync::chunk(const std::string &hash) const
{
    const auto found = this->chunks.find(hash);
    if (found == this->chunks.end())
        return std::nullopt;
    return found->second;
}

void TableSync::onPeerRevision(HostId peer, Revision revision, Millis now, SyncActions &out)
{
    const Revision known = this->pendingManifest ? this->pendingManifest->revision
                                                 : this->currentManifest.revision;
    if (revision <= known)
        return;
    const bool asked = revision <= this->requestedRevision
                       && now - this->requestedRevisionAt < this->times.responseTimeout;
    if (asked)
        return;
    this->requestedRevision = revision;
    this->requestedRevisionAt = now;
    SyncAction action;
    action.kind = SyncActionKind::RequestPeerManifest;
    action.peer = peer;
    out.push_back(std::move(action));
}

void TableSync::onManifest(HostId peer, const std::string &bytes, Millis now, SyncActions &out)
{
    this->startFetch(peer, bytes, now, out);
}

void TableSync::startFetch(HostId peer, const std::string &bytes, Millis now, SyncActions &out)
{
    const auto manifest = decode<Manifest>(bytes);
    if (!manifest) {
        this->corruptChunkCount += 1;
        return;
    }
    const Revision known = this->pendingManifest ? this->pendingManifest->revision
                                                 : this->currentManifest.revision;
    // Revisions never go back.
    if (manifest->revision <= known)
        return;
    this->pendingManifest = manifest;
    this->pendingManifestBytes = bytes;
    this->pendingPeer = peer;
    this->pendingAttempts = 0;
    ChunkMap kept;
    for (const std::string &hash : manifest->chunks) {
        if (const auto have = this->chunk(hash))
            kept[hash] = *have;
        else if (const auto partly = this->pendingChunks.find(hash);
                 partly != this->pendingChunks.end())
            kept[hash] = partly->second;
    }
    this->pendingChunks = std::move(kept);
    this->requestMissingChunks(now, out);
}

std::vector<std::string> TableSync::missingChunks() const
{
    std::vector<std::string> result;
    for (const std::string &hash : this->pendingManifest->chunks) {
        if (!this->pendingChunks.contains(hash))
            result.push_back(hash);
    }
    return result;
}

void TableSync::requestMissingChunks(Millis now, SyncActions &out)
{
    std::vector<std::string> lacking = this->missingChunks();
    if (lacking.empty()) {
        this->publishPending(now, out);
        return;
    }
    this->pendingRequestedAt = now;
    const double doubled = std::pow(2.0, std::min(this->pendingAttempts, 10));
    this->pendingWait = std::min(this->times.maxPendingWait, this->times.responseTimeout * doubled)
                        * this->jitter();
    const bool fromStore = this->pendingPeer == theStore || this->pendingAttempts >= peerTries;
    this->pendingAttempts += 1;
    if (lacking.size() > chunksPerRequest)
        lacking.resize(chunksPerRequest);
    this->outstandingChunks = lacking.size();
    if (!fromStore) {
        SyncAction action;
        action.kind = SyncActionKind::RequestPeerChunks;
        action.peer = this->pendingPeer;
        action.chunks = std::move(lacking);
        out.push_back(std::move(action));
        return;
    }
    for (std::string &hash : lacking) {
        SyncAction action;
        action.kind = SyncActionKind::ReadChunk;
        action.chunks.push_back(std::move(hash));
        out.push_back(std::move(action));
        this->storeCallCount += 1;
    }
}

void TableSync::onChunk(const std::string &hash, const std::string &bytes, Millis now,
                        SyncActions &out)
{
    if (!this->pendingManifest)
        return;
    const auto &wantedChunks = this->pendingManifest->chunks;
    if (std::find(wantedChunks.begin(), wantedChunks.end(), hash) == wantedChunks.end())
        return;
    if (contentHash(bytes) != hash) {
        this->corruptChunkCount += 1;
        return;
    }
    const bool isNew = this->pendingChunks.emplace(hash, bytes).second;
    if (!isNew)
        return;
    if (this->outstandingChunks > 0)
        this->outstandingChunks -= 1;
    if (this->outstandingChunks > 0)
        return;
    // The batch is whole: finish, or ask for the next one.
    this->pendingAttempts = 0;
    this->requestMissingChunks(now, out);
}

void TableSync::publishPending(Millis, SyncActions &out)
{
    const auto contents = joinTables(*this->pendingManifest, this->pendingChunks);
    if (!contents) {
        this->corruptChunkCount += 1;
        this->pendingManifest.reset();
        return;
    }
    auto tables = std::make_shared<RoutingTables>();
    tables->revision = this->pendingManifest->revision;
    tables->routes = contents->routes;
    tables->pools = contents->pools;
    this->currentManifest = *this->pendingManifest;
    this->currentManifestBytes = std::move(this->pendingManifestBytes);
    this->chunks = std::move(this->pendingChunks);
    this->pendingChunks.clear();
    this->pendingManifest.reset();
    this->published = tables;
    SyncAction action;
    action.kind = SyncActionKind::Publish;
    action.tables = std::move(tables);
    out.push_back(std::move(action));
}

void TableSync::onStoreManifest(bool reached, std::uint64_t version, const std::string &bytes,
                                Millis now, SyncActions &out)
{
    this->storeCallPending = false;
    if (!reached) {
        this->nextStoreCallAt = now + this->backoff * this->jitter();
        this->backoff = std::min(this->times.maxBackoff, this->backoff * 2);
        return;
    }
    this->lastStoreReply = now;
    this->backoff = this->times.initialBackoff;
    this->storeVersion = version;
    // A watcher waits at the store again at once; a short pause bounds the calls of a store that
    // answers every watch early.
    this->nextStoreCallAt
            = now + (this->watcher ? Millis(20) : this->times.pollInterval) * this->jitter();
    if (!bytes.empty())
        this->startFetch(theStore, bytes, now, out);
    // The store is back: what waits for chunks need not wait longer.
    if (this->pendingManifest && this->pendingAttempts > peerTries) {
        this->pendingAttempts = peerTries;
        this->requestMissingChunks(now, out);
    }
}

void TableSync::callStore(Millis now, SyncActions &out)
{
    this->storeCallPending = true;
    this->storeCallSentAt = now;
    this->storeCallCount += 1;
    SyncAction action;
    // The first call reads: a watch would wait for a change.
    const bool watches = this->watcher && this->storeVersion != 0;
    action.kind = watches ? SyncActionKind::WatchManifest : SyncActionKind::ReadManifest;
    action.storeVersion = this->storeVersion;
    out.push_back(std::move(action));
}

void TableSync::onTimer(Millis now, SyncActions &out)
{
    // A watch that silently stopped is given up and begun anew.
    if (this->storeCallPending
        && now >= this->storeCallSentAt + this->times.maxWatchWait
                           + this->times.responseTimeout * 2)
        this->onStoreManifest(false, 0, {}, now, out);
    if (!this->storeCallPending && now >= this->nextStoreCallAt)
        this->callStore(now, out);
    if (this->pendingManifest && now >= this->pendingRequestedAt + this->pendingWait)
        this->requestMissingChunks(now, out);
}

Millis TableSync::nextTimer() const
{
    Millis next = this->storeCallPending ? this->storeCallSentAt + this->times.maxWatchWait
                                                   + this->times.responseTimeout * 2
                                         : this->nextStoreCallAt;
    if (this->pendingManifest)
        next = std::min(next, this->pendingRequestedAt + this->pendingWait);
    return next;
}

} // namespace quetzal
