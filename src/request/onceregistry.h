// Records of non-repeatable requests, so that a request sent again is not run again.
#pragma once

#include "quetzal/ids.h"
#include "quetzal/millis.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzal {

// State of a request id: claimed by its owner, or answered.
enum class OnceState : std::uint8_t { Claimed, Done };

// The answer to a finished request, returned if the caller sends the request again.
struct OnceAnswer
{
    std::uint32_t status = 0;
    std::string verdict;
    std::string body;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->status, this->verdict, this->body);
    }
};

// The record of one request id.
struct OnceRecord
{
    std::string key;
    // Identifies the claim, so that a delayed release of an earlier claim does not remove this one.
    std::uint64_t claimId = 0;
    OnceState state = OnceState::Claimed;
    OnceAnswer answer;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->key, this->claimId, this->state, this->answer);
    }
};

// What the owner of a request id has to do next. Wait: wait for replies to the claim, or do nothing
// if the request is already running. Run: run the request. AlreadyRecorded: don't run it, a record
// exists. Unconfirmed: refuse it, because no host could confirm that the id is new.
enum class OnceDecision { Wait, Run, AlreadyRecorded, Unconfirmed };

// The records of one host.
//
// The owner of a request id is the host that ranks first for it. Before it runs the request it
// claims the id at the two hosts that rank next; if one of them has a record of the id already, it
// returns the record and the request is not run. A host that started less than syncPeriod ago may
// not have received the records of the other hosts yet, so the absence of a record on it does not
// confirm that an id is new. Driven by events that carry the time; uses no clock and no socket.
class OnceRegistry
{
public:
    explicit OnceRegistry(Millis startedAt)
        : startedAt(startedAt)
    {}

    // Time for which a record is kept.
    static constexpr Millis retentionPeriod = Millis(120'000);
    // Time after start within which a host receives the records it should hold.
    static constexpr Millis syncPeriod = Millis(2000);
    // Time limit for the replies to a claim.
    static constexpr Millis claimTimeout = Millis(120);

    // Begins a request whose id this host owns. AlreadyRecorded: find() returns the record. Wait:
    // the claim must be sent to claimHosts. If there are none, Run or Unconfirmed, depending on
    // whether this host's own records are complete.
    OnceDecision begin(const std::string &key, std::uint64_t claimId,
                       const std::vector<HostId> &claimHosts, Millis now);

    // Handles the claim of another host. Records it and returns nothing if the id is new, otherwise
    // returns the existing record.
    std::optional<OnceRecord> onClaim(const std::string &key, std::uint64_t claimId, Millis now);

    // Handles a host's reply to a claim: its existing record, or none and whether the host has
    // received all records that it should hold (synced).
    OnceDecision onClaimReply(const std::string &key, HostId host,
                              const std::optional<OnceRecord> &record, bool synced, Millis now);

    // Handles the passing of claimTimeout while replies may be outstanding.
    OnceDecision onClaimTimeout(const std::string &key, Millis now);

    // Records the answer of a finished request. With notRun the record is removed instead, because
    // a request that certainly did not run may be sent again.
    void finish(const std::string &key, const OnceAnswer &answer, bool notRun);

    // Adds a record received from another host. An existing record is only replaced by a finished
    // one.
    void addRecord(const OnceRecord &record, Millis now);

    // Removes the record of a claim whose request certainly did not run. Records with another claim
    // id, of finished requests and of requests running here are kept.
    void releaseClaim(const std::string &key, std::uint64_t claimId);

    // Returns the record of a request id, if there is one.
    std::optional<OnceRecord> find(const std::string &key) const;

    // Returns all records, to be sent to other hosts after a change of ownership.
    std::vector<OnceRecord> records() const;

    // Removes the records that are older than retentionPeriod.
    void removeExpired(Millis now);

    // Returns true once syncPeriod has passed since start, from when on the records of this host
    // count as complete.
    bool isSynced(Millis now) const { return now >= this->startedAt + syncPeriod; }
    std::size_t size() const { return this->entries.size(); }

private:
    struct Entry
    {
        OnceRecord record;
        Millis createdAt;
        // Hosts that have not replied to the claim yet.
        std::set<HostId> pendingHosts;
        // A host with complete records has no record of the id.
        bool confirmed = false;
        // The decision was Run, or AlreadyRecorded after a reply to the claim. Later replies and
        // releases are ignored.
        bool decided = false;
    };

    // Decides on an entry once all replies to its claim are in.
    OnceDecision decide(Entry &entry, Millis now) const;

    Millis startedAt;
    std::map<std::string, Entry> entries;
};

} // namespace quetzal
