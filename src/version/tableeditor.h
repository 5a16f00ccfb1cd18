// Edits of the tables in the platform's store.
#pragma once

#include "version/codec.h"
#include "version/store.h"
#include "version/tablechunks.h"
#include "version/tableentries.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace quetzal {

// How an edit ended.
enum class EditStatus {
    Accepted,
    // The tables already are as wanted.
    Unchanged,
    // Another editor changed the same entries.
    Conflict,
    // The result would not be valid.
    Invalid,
    // The store gives no answer; the edit was not accepted as far as could be read back.
    Unavailable,
};

struct EditResult
{
    EditStatus status = EditStatus::Unavailable;
    Revision revision;
    // What stands against the edit.
    std::vector<std::string> problems;
    // Entries that the accepted edit changed.
    std::vector<EntryChange> changes;
};

// The manifest as stored, with the store's version for the next swap.
struct StoredManifest
{
    Manifest manifest;
    std::uint64_t storeVersion = 0;
};

// Who edits, for the history.
struct EditNote
{
    std::string author;
    std::string summary;
};

// Edits the tables: validates the whole result, writes the chunks, then swaps the manifest.
//
// Concurrent edits of different entries are rebased on one another. After a lost reply the change
// id in the manifest tells whether the swap took effect.
template <Store Client>
class TableEditor
{
public:
    TableEditor(Client &client, std::uint64_t seed)
        : client(client)
        , random(seed)
    {}

    // Reads the manifest. The status is NotFound if there are no tables yet.
    StoreStatus readManifest(StoredManifest &stored)
    {
        const StoreReply reply = this->client.read(manifestKey);
        if (!reply.ok())
            return reply.status;
        const auto manifest = decode<Manifest>(reply.value);
        if (!manifest)
            return StoreStatus::Unavailable;
        stored = { *manifest, reply.version };
        return StoreStatus::Ok;
    }

    // Reads the tables of a manifest; nothing if a chunk cannot be had.
    std::optional<TableContents> readTables(const Manifest &manifest)
    {
        ChunkMap chunks;
        for (const std::string &hash : manifest.chunks) {
            const StoreReply reply = this->client.read(chunkPrefix + hash);
            if (!reply.ok())
                return std::nullopt;
            chunks[hash] = reply.value;
        }
        return joinTables(manifest, chunks);
    }

    // Makes the tables equal to wanted, as edited from base. Without a base the tables that are
    // current when the edit begins are taken for it.
    EditResult apply(const TableContents &wanted, const std::optional<TableContents> &base,
                     const EditNote &note)
    {
        const TableEntries ours(wanted);
        std::optional<TableEntries> start;
        if (base)
            start = TableEntries(*base);
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            StoredManifest stored;
            const StoreStatus status = this->readManifest(stored);
            if (status == StoreStatus::Unavailable)
                continue;
            const auto current = this->readTables(stored.manifest);
            if (!current)
                continue;
            const TableEntries theirs(*current);
            if (!start)
                start = theirs;
            EditResult result;
            const TableEntries merged = TableEntries::merge(*start, ours, theirs, result.problems);
            if (!result.problems.empty()) {
                result.status = EditStatus::Conflict;
                result.revision = stored.manifest.revision;
                return result;
            }
            result.changes = theirs.differences(merged);
            if (result.changes.empty() && stored.storeVersion != 0) {
                result.status = EditStatus::Unchanged;
                result.revision = stored.manifest.revision;
                return result;
            }
            const TableContents contents = merged.contents();
            result.problems = validate(contents);
            if (!result.problems.empty()) {
                result.status = EditStatus::Invalid;
                return result;
            }
            if (this->swapManifest(stored, contents, note, result))
                return result;
        }
        EditResult failed;
        failed.problems.push_back("the store gives no answer");
        return failed;
    }

    // Returns the manifests from the newest back, at most count.
    std::vector<Manifest> history(std::size_t count)
    {
        std::vector<Manifest> result;
        StoredManifest stored;
        if (this->readManifest(stored) != StoreStatus::Ok)
            return result;
        result.push_back(stored.manifest);
        while (result.size() < count && result.back().previousChangeId != 0) {
            const Revision before = { result.back().revision.value - 1 };
            const StoreReply reply
                    = this->client.read(historyKey(before, result.back().previousChangeId));
            const auto manifest = reply.ok() ? decode<Manifest>(reply.value) : std::nullopt;
            if (!manifest)
                break;
            result.push_back(*manifest);
        }
        return result;
    }

    // Removes chunks that neither the manifest nor the newest entries of the history name.
    // Returns the number removed, or nothing if another editor came first or the store is away.
    //
    // An editor writes its chunks after it read the manifest that it swaps. The removal first
    // swaps the manifest itself, so an edit that was under way has to begin again, and then
    // removes each chunk only at the store version it had before that swap, so a chunk that was
    // written again since stays.
    std::optional<std::size_t> collectGarbage(std::size_t keptHistory)
    {
        std::set<std::string> kept;
        for (const Manifest &manifest : this->history(keptHistory))
            kept.insert(manifest.chunks.begin(), manifest.chunks.end());
        std::vector<std::pair<std::string, std::uint64_t>> doomed;
        for (const std::string &key : this->client.list(chunkPrefix)) {
            if (kept.contains(key.substr(std::string_view(chunkPrefix).size())))
                continue;
            const StoreReply reply = this->client.read(key);
            if (reply.ok())
                doomed.emplace_back(key, reply.version);
        }
        StoredManifest stored;
        if (this->readManifest(stored) != StoreStatus::Ok)
            return std::nullopt;
        const bool sameChunks
                = std::all_of(stored.manifest.chunks.begin(), stored.manifest.chunks.end(),
                              [&](const std::string &hash) { return kept.contains(hash); });
        if (!sameChunks)
            return std::nullopt;
        stored.manifest.gcGeneration += 1;
        const StoreReply swapped
                = this->client.write(manifestKey, encode(stored.manifest), stored.storeVersion);
        if (!swapped.ok())
            return std::nullopt;
        std::size_t removed = 0;
        for (const auto &[key, version] : doomed) {
            if (this->client.remove(key, version).ok())
                ++removed;
        }
        return removed;
    }

    // Checks whole tables as parseTables does.
    static std::vector<std::string> validate(const TableContents &contents)
    {
        return parseTables("routes", formatRoutes(contents.routes), "pools",
                           formatPools(contents.zones, contents.pools))
                .errors;
    }

private:
    static constexpr int maxAttempts = 20;

    static std::string historyKey(Revision revision, std::uint64_t changeId)
    {
        return historyPrefix + std::to_string(revision.value) + "-" + std::to_string(changeId);
    }

    // Tries one swap. Returns true if the edit has ended.
    bool swapManifest(const StoredManifest &stored, const TableContents &contents,
                      const EditNote &note, EditResult &result)
    {
        const ChunkMap chunks = splitTables(contents);
        Manifest next;
        next.revision = { stored.manifest.revision.value + 1 };
        next.changeId = this->random() | 1;
        next.previousChangeId = stored.manifest.changeId;
        next.gcGeneration = stored.manifest.gcGeneration;
        next.author = note.author;
        next.summary = note.summary;
        next.zones = contents.zones;
        for (const auto &[hash, bytes] : chunks)
            next.chunks.push_back(hash);
        if (!this->writeChunks(stored.manifest, chunks))
            return false;
        const std::string bytes = encode(next);
        const std::string key = historyKey(next.revision, next.changeId);
        if (!this->client.write(key, bytes, std::nullopt).ok())
            return false;
        const StoreReply reply = this->client.write(manifestKey, bytes, stored.storeVersion);
        const bool accepted
                = reply.ok()
                  || (reply.status == StoreStatus::Unavailable && this->tookEffect(next));
        if (!accepted) {
            this->client.remove(key, std::nullopt);
            return false;
        }
        result.status = EditStatus::Accepted;
        result.revision = next.revision;
        return true;
    }

    // Writes, again if need be, every chunk that the manifest to be swapped does not name.
    bool writeChunks(const Manifest &current, const ChunkMap &chunks)
    {
        const std::set<std::string> present(current.chunks.begin(), current.chunks.end());
        for (const auto &[hash, bytes] : chunks) {
            if (present.contains(hash))
                continue;
            if (!this->client.write(chunkPrefix + hash, bytes, std::nullopt).ok())
                return false;
        }
        return true;
    }

    // After a lost reply: looks for the change in the manifest and, if others came after it, in
    // the history.
    bool tookEffect(const Manifest &change)
    {
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            StoredManifest stored;
            if (this->readManifest(stored) == StoreStatus::Unavailable)
                continue;
            if (stored.manifest.revision < change.revision)
                return false;
            const std::size_t depth = stored.manifest.revision.value - change.revision.value + 1;
            const std::vector<Manifest> line = this->history(depth);
            // The line may have grown since; the entry of our revision decides.
            for (const Manifest &entry : line) {
                if (entry.revision == change.revision)
                    return entry.changeId == change.changeId;
            }
        }
        return false;
    }

    Client &client;
    std::mt19937_64 random;
};

} // namespace quetzal
