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

TableSync::TableSync(const SyncTimes &times, std::uint64_t seed)
    : times(times)
    , random(seed)
    , backOff(times.firstBackOff)
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
    const Revision known = this->pending ? this->pending->revision : this->current.revision;
    if (revision <= known)
        return;
    const bool asked = revision <= this->wanted && now - this->wantedAt < this->times.patience;
    if (asked)
        return;
    this->wanted = revision;
    this->wantedAt = now;
    SyncAction action;
    action.kind = SyncActionKind::AskPeerManifest;
    action.peer = peer;
    out.push_back(std::move(action));
}

void TableSync::onManifest(HostId peer, const std::string &bytes, Millis now, SyncActions &out)
{
    this->adopt(peer, bytes, now, out);
}

void TableSync::adopt(HostId peer, const std::string &bytes, Millis now, SyncActions &out)
{
    const auto manifest = decode<Manifest>(bytes);
    if (!manifest) {
        this->corrupt += 1;
        return;
    }
    const Revision known = this->pending ? this->pending->revision : this->current.revision;
    // Revisions never go back.
    if (manifest->revision <= known)
        return;
    this->pending = manifest;
    this->pendingBytes = bytes;
    this->pendingPeer = peer;
    this->pendingTries = 0;
    ChunkMap kept;
    for (const std::string &hash : manifest->chunks) {
        if (const auto have = this->chunk(hash))
            kept[hash] = *have;
        else if (const auto partly = this->pendingChunks.find(hash);
                 partly != this->pendingChunks.end())
            kept[hash] = partly->second;
    }
    this->pendingChunks = std::move(kept);
    this->askForMissing(now, out);
}

std::vector<std::string> TableSync::missing() const
{
    std::vector<std::string> result;
    for (const std::string &hash : this->pending->chunks) {
        if (!this->pendingChunks.contains(hash))
            result.push_back(hash);
    }
    return result;
}

void TableSync::askForMissing(Millis now, SyncActions &out)
{
    std::vector<std::string> lacking = this->missing();
    if (lacking.empty()) {
        this->finish(now, out);
        return;
    }
    this->pendingAskedAt = now;
    const double doubled = std::pow(2.0, std::min(this->pendingTries, 10));
    this->pendingWait = std::min(this->times.longestPendingWait, this->times.patience * doubled)
                        * this->jitter();
    const bool fromStore = this->pendingPeer == theStore || this->pendingTries >= peerTries;
    this->pendingTries += 1;
    if (lacking.size() > chunksPerRequest)
        lacking.resize(chunksPerRequest);
    this->pendingOutstanding = lacking.size();
    if (!fromStore) {
        SyncAction action;
        action.kind = SyncActionKind::AskPeerChunks;
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
        this->calls += 1;
    }
}

void TableSync::onChunk(const std::string &hash, const std::string &bytes, Millis now,
                        SyncActions &out)
{
    if (!this->pending)
        return;
    const auto &wantedChunks = this->pending->chunks;
    if (std::find(wantedChunks.begin(), wantedChunks.end(), hash) == wantedChunks.end())
        return;
    if (contentHash(bytes) != hash) {
        this->corrupt += 1;
        return;
    }
    const bool isNew = this->pendingChunks.emplace(hash, bytes).second;
    if (!isNew)
        return;
    if (this->pendingOutstanding > 0)
        this->pendingOutstanding -= 1;
    if (this->pendingOutstanding > 0)
        return;
    // The batch is whole: finish, or ask for the next one.
    this->pendingTries = 0;
    this->askForMissing(now, out);
}

void TableSync::finish(Millis, SyncActions &out)
{
    const auto files = joinTables(*this->pending, this->pendingChunks);
    if (!files) {
        this->corrupt += 1;
        this->pending.reset();
        return;
    }
    auto tables = std::make_shared<Tables>();
    tables->revision = this->pending->revision;
    tables->routes = files->routes;
    tables->pools = files->pools;
    this->current = *this->pending;
    this->currentBytes = std::move(this->pendingBytes);
    this->chunks = std::move(this->pendingChunks);
    this->pendingChunks.clear();
    this->pending.reset();
    this->published = tables;
    SyncAction action;
    action.kind = SyncActionKind::Publish;
    action.tables = std::move(tables);
    out.push_back(std::move(action));
}

void TableSync::onStoreManifest(bool reached, std::uint64_t version, const std::string &bytes,
                                Millis now, SyncActions &out)
{
    this->callOpen = false;
    if (!reached) {
        this->nextCallAt = now + this->backOff * this->jitter();
        this->backOff = std::min(this->times.longestBackOff, this->backOff * 2);
        return;
    }
    this->lastStoreAnswer = now;
    this->backOff = this->times.firstBackOff;
    this->storeVersion = version;
    // A watcher waits at the store again at once; a short pause bounds the calls of a store that
    // answers every watch early.
    this->nextCallAt = now + (this->watcher ? Millis(20) : this->times.slowCheck) * this->jitter();
    if (!bytes.empty())
        this->adopt(theStore, bytes, now, out);
    // The store is back: what waits for chunks need not wait longer.
    if (this->pending && this->pendingTries > peerTries) {
        this->pendingTries = peerTries;
        this->askForMissing(now, out);
    }
}

void TableSync::callStore(Millis now, SyncActions &out)
{
    this->callOpen = true;
    this->callSentAt = now;
    this->calls += 1;
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
    if (this->callOpen && now >= this->callSentAt + this->times.watch + this->times.patience * 2)
        this->onStoreManifest(false, 0, {}, now, out);
    if (!this->callOpen && now >= this->nextCallAt)
        this->callStore(now, out);
    if (this->pending && now >= this->pendingAskedAt + this->pendingWait)
        this->askForMissing(now, out);
}

Millis TableSync::nextTimer() const
{
    Millis next = this->callOpen ? this->callSentAt + this->times.watch + this->times.patience * 2
                                 : this->nextCallAt;
    if (this->pending)
        next = std::min(next, this->pendingAskedAt + this->pendingWait);
    return next;
}

} // namespace quetzal
