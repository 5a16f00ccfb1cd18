#include "version/tablesync.h"

#include "version/codec.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

// Chunks per request.
static constexpr std::size_t chunksPerRequest = 32;
// Requests to the peer for one revision before its chunks are read from the store.
static constexpr int maxPeerAttempts = 2;
// Stands for the store as the source of a manifest.
static constexpr HostId storeSource = {};

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
    if (revision <= known || this->isGivenUp(revision, now))
        return;
    const bool alreadyRequested = revision <= this->requestedRevision
                                  && now - this->requestedRevisionAt < this->times.responseTimeout;
    if (alreadyRequested)
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
    // Never return to an older revision.
    if (manifest->revision <= known)
        return;
    if (peer != storeSource && this->isGivenUp(manifest->revision, now))
        return;
    this->pendingManifest = manifest;
    this->pendingManifestBytes = bytes;
    this->pendingPeer = peer;
    this->pendingAttempts = 0;
    this->storeAskedSince = Millis::never();
    ChunkMap availableChunks;
    for (const std::string &hash : manifest->chunks) {
        if (const auto currentChunk = this->chunk(hash))
            availableChunks[hash] = *currentChunk;
        else if (const auto fetched = this->pendingChunks.find(hash);
                 fetched != this->pendingChunks.end())
            availableChunks[hash] = fetched->second;
    }
    this->pendingChunks = std::move(availableChunks);
    this->requestMissingChunks(now, out);
}

bool TableSync::isGivenUp(Revision revision, Millis now) const
{
    return revision == this->givenUpRevision && now < this->givenUpUntil;
}

bool TableSync::giveUpPending(Millis now)
{
    // The store is asked only after the peer.
    const bool isHopeless = this->pendingManifest && this->pendingPeer != storeSource
                            && this->storeAskedSince < Millis::never()
                            && now >= this->storeAskedSince + this->times.responseTimeout;
    if (!isHopeless)
        return false;
    this->givenUpRevision = this->pendingManifest->revision;
    this->givenUpUntil = now + this->times.maxPendingWait;
    this->pendingManifest.reset();
    return true;
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
    std::vector<std::string> missing = this->missingChunks();
    if (missing.empty()) {
        this->publishPending(now, out);
        return;
    }
    this->pendingRequestedAt = now;
    const double backoffFactor = std::pow(2.0, std::min(this->pendingAttempts, 10));
    this->pendingWait
            = std::min(this->times.maxPendingWait, this->times.responseTimeout * backoffFactor)
              * this->jitter();
    const bool fromStore
            = this->pendingPeer == storeSource || this->pendingAttempts >= maxPeerAttempts;
    this->pendingAttempts += 1;
    if (missing.size() > chunksPerRequest)
        missing.resize(chunksPerRequest);
    this->outstandingChunks = missing.size();
    if (!fromStore) {
        SyncAction action;
        action.kind = SyncActionKind::RequestPeerChunks;
        action.peer = this->pendingPeer;
        action.chunks = std::move(missing);
        out.push_back(std::move(action));
        return;
    }
    this->storeAskedSince = std::min(this->storeAskedSince, now);
    for (std::string &hash : missing) {
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
    const auto &pendingHashes = this->pendingManifest->chunks;
    if (std::find(pendingHashes.begin(), pendingHashes.end(), hash) == pendingHashes.end())
        return;
    if (contentHash(bytes) != hash) {
        this->corruptChunkCount += 1;
        return;
    }
    const bool isNew = this->pendingChunks.emplace(hash, bytes).second;
    if (!isNew)
        return;
    this->storeAskedSince = Millis::never();
    if (this->outstandingChunks > 0)
        this->outstandingChunks -= 1;
    if (this->outstandingChunks > 0)
        return;
    // All chunks of the request have arrived: publish, or request more.
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
    // A watcher watches again almost at once; the short pause limits the rate of calls to a store
    // that answers every watch early.
    this->nextStoreCallAt
            = now + (this->watcher ? Millis(20) : this->times.pollInterval) * this->jitter();
    // The store answers, so it is not for want of an answer that chunks are missing.
    if (!bytes.empty()) {
        this->giveUpPending(now);
        this->startFetch(storeSource, bytes, now, out);
    }
    // The store answers again: read the missing chunks now, without waiting for the backoff to end.
    if (this->pendingManifest && this->pendingAttempts > maxPeerAttempts) {
        this->pendingAttempts = maxPeerAttempts;
        this->requestMissingChunks(now, out);
    }
}

void TableSync::callStore(Millis now, SyncActions &out)
{
    this->storeCallPending = true;
    this->storeCallSentAt = now;
    this->storeCallCount += 1;
    SyncAction action;
    // The first call is a read; a watch would not return before the next change.
    const bool isWatch = this->watcher && this->storeVersion != 0;
    action.kind = isWatch ? SyncActionKind::WatchManifest : SyncActionKind::ReadManifest;
    action.storeVersion = this->storeVersion;
    out.push_back(std::move(action));
}

void TableSync::onTimer(Millis now, SyncActions &out)
{
    // A call that got no reply in time counts as failed and is repeated after the backoff.
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
