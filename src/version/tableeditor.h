// Edits the routing tables in the platform's store.
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
    // The tables already are as requested.
    Unchanged,
    // Another editor changed the same entries to other values.
    Conflict,
    // The resulting tables would not be valid.
    Invalid,
    // The store did not answer, or a concurrent edit won each attempt. As far as could be read
    // back, the edit did not take effect.
    Unavailable,
};

// The outcome of an edit.
struct EditResult
{
    EditStatus status = EditStatus::Unavailable;
    Revision revision;
    // Names of the conflicting entries, or error messages.
    std::vector<std::string> problems;
    // Entries that the edit changes in the tables that were current.
    std::vector<EntryChange> changes;
};

// The manifest and the version that its key has in the store, for a conditional write.
struct StoredManifest
{
    Manifest manifest;
    std::uint64_t storeVersion = 0;
};

// Author and description of an edit, recorded in the history.
struct EditNote
{
    std::string author;
    std::string summary;
};

// Edits the tables: validates the whole result, writes its chunks and history entry, and then
// replaces the manifest by a conditional write.
//
// Concurrent edits of different entries are merged. After a lost reply the changeId in the stored
// manifest shows whether the write took effect.
template <Store Client>
class TableEditor
{
public:
    TableEditor(Client &client, std::uint64_t seed)
        : client(client)
        , random(seed)
    {}

    // Reads the manifest. Returns NotFound if there are no tables yet, and Unavailable also if the
    // stored manifest is malformed.
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

    // Reads the tables of a manifest. Returns nothing if a chunk cannot be read.
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

    // Applies the changes from base to wanted to the current tables. Without a base, uses the
    // tables that are current when the edit begins.
    EditResult apply(const TableContents &wanted, const std::optional<TableContents> &base,
                     const EditNote &note)
    {
        const TableEntries ours(wanted);
        std::optional<TableEntries> baseEntries;
        if (base)
            baseEntries = TableEntries(*base);
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            StoredManifest stored;
            const StoreStatus status = this->readManifest(stored);
            if (status == StoreStatus::Unavailable)
                continue;
            const auto current = this->readTables(stored.manifest);
            if (!current)
                continue;
            const TableEntries theirs(*current);
            if (!baseEntries)
                baseEntries = theirs;
            EditResult result;
            const TableEntries merged
                    = TableEntries::merge(*baseEntries, ours, theirs, result.problems);
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
        failed.problems.push_back(
                "the store did not answer or the edit kept losing to concurrent ones");
        return failed;
    }

    // Returns at most count manifests, from the newest to older ones. Stops at the first that
    // cannot be read.
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

    // Removes the chunks that none of the newest keptHistory manifests names. Returns the number of
    // chunks removed, or nothing if a concurrent edit came first or the store did not answer.
    //
    // An editor writes its chunks after reading the manifest that it replaces. Garbage collection
    // first increases gcGeneration in the manifest, so an edit in progress fails its conditional
    // write and starts again. It then removes each chunk only at the version that the chunk had
    // before, so a chunk that was written again since then stays.
    std::optional<std::size_t> collectGarbage(std::size_t keptHistory)
    {
        std::set<std::string> kept;
        for (const Manifest &manifest : this->history(keptHistory))
            kept.insert(manifest.chunks.begin(), manifest.chunks.end());
        std::vector<std::pair<std::string, std::uint64_t>> unreferenced;
        for (const std::string &key : this->client.list(chunkPrefix)) {
            if (kept.contains(key.substr(std::string_view(chunkPrefix).size())))
                continue;
            const StoreReply reply = this->client.read(key);
            if (reply.ok())
                unreferenced.emplace_back(key, reply.version);
        }
        StoredManifest stored;
        if (this->readManifest(stored) != StoreStatus::Ok)
            return std::nullopt;
        const bool allKept
                = std::all_of(stored.manifest.chunks.begin(), stored.manifest.chunks.end(),
                              [&](const std::string &hash) { return kept.contains(hash); });
        if (!allKept)
            return std::nullopt;
        stored.manifest.gcGeneration += 1;
        const StoreReply reply
                = this->client.write(manifestKey, encode(stored.manifest), stored.storeVersion);
        if (!reply.ok())
            return std::nullopt;
        std::size_t removed = 0;
        for (const auto &[key, version] : unreferenced) {
            if (this->client.remove(key, version).ok())
                ++removed;
        }
        return removed;
    }

    // Returns the errors that parseTables finds in the tables.
    static std::vector<std::string> validate(const TableContents &contents)
    {
        return parseTables("routes", formatRoutes(contents.routes), "pools",
                           formatPools(contents.zones, contents.pools))
                .errors;
    }

private:
    // Attempts to write an edit, and to read back whether it took effect.
    static constexpr int maxAttempts = 20;

    // Returns the key of the history entry of one edit.
    static std::string historyKey(Revision revision, std::uint64_t changeId)
    {
        return historyPrefix + std::to_string(revision.value) + "-" + std::to_string(changeId);
    }

    // Writes the chunks and the history entry of the tables, then replaces the stored manifest.
    // Returns true if that took effect, false if the edit has to start again.
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

    // Writes every chunk that the manifest to be replaced does not name, including those that exist
    // already: the write gives them a new version, which protects them from garbage collection.
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

    // Returns true if a manifest whose write got no reply took effect: looks for it in the current
    // manifest and, if other edits followed, in the history.
    bool tookEffect(const Manifest &change)
    {
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            StoredManifest stored;
            if (this->readManifest(stored) == StoreStatus::Unavailable)
                continue;
            if (stored.manifest.revision < change.revision)
                return false;
            const std::size_t depth = stored.manifest.revision.value - change.revision.value + 1;
            const std::vector<Manifest> manifests = this->history(depth);
            // More edits may have been added since; the manifest of this revision decides.
            for (const Manifest &entry : manifests) {
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
