// Remembers requests that may not be repeated, so that one sent again does not run again.
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

// What a host knows of a request id.
enum class OnceState : std::uint8_t { Claimed, Done };

// The answer that was given, for a caller who asks again.
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

// One remembered request.
struct OnceRecord
{
    std::string key;
    // Names the claim, so that a late release of an earlier one does not void it.
    std::uint64_t claimId = 0;
    OnceState state = OnceState::Claimed;
    OnceAnswer answer;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->key, this->claimId, this->state, this->answer);
    }
};

// What the owner of a request id is to do.
enum class OnceDecision { Wait, Run, AlreadyRecorded, Unconfirmed };

// The memory of one host.
//
// The owner of an id, the first in rank among the hosts, claims it at the two next in rank before
// it runs the request; a host that has a record says so and the request is not run. A host that
// began less than syncPeriod ago has not yet been told what others remember, so its word alone
// does not count. Takes events with a time; keeps no clock and no socket.
class OnceRegistry
{
public:
    explicit OnceRegistry(Millis startedAt)
        : startedAt(startedAt)
    {}

    // Time for which a request is remembered.
    static constexpr Millis retentionPeriod = Millis(120'000);
    // Time in which a new host is told of the records it should have.
    static constexpr Millis syncPeriod = Millis(2000);
    // Time to wait for the other hosts' word.
    static constexpr Millis claimTimeout = Millis(120);

    // Begins a request whose id this host owns. AlreadyRecorded: the record says what became of it.
    // Wait: the hosts in ask are to be asked to claim. Run: there is nobody else.
    OnceDecision begin(const std::string &key, std::uint64_t claim, const std::vector<HostId> &ask,
                       Millis now);

    // Another host claims an id. Returns the record if there was one already.
    std::optional<OnceRecord> onClaim(const std::string &key, std::uint64_t claim, Millis now);

    // A host answered a claim: with its record, or with whether its memory is complete.
    OnceDecision onClaimReply(const std::string &key, HostId host,
                              const std::optional<OnceRecord> &record, bool settled, Millis now);

    // Some hosts did not answer in time.
    OnceDecision onClaimTimeout(const std::string &key, Millis now);

    // The request has ended. A request that was certainly not run may be sent again.
    void finish(const std::string &key, const OnceAnswer &answer, bool notRun);

    // Takes a record from another host.
    void addRecord(const OnceRecord &record, Millis now);
    // The claim's request was certainly not run. Other claims and ended requests stay.
    void releaseClaim(const std::string &key, std::uint64_t claim);

    std::optional<OnceRecord> find(const std::string &key) const;

    // Returns all records, for handing on after a change of hosts.
    std::vector<OnceRecord> records() const;

    // Forgets what is older than the window.
    void removeExpired(Millis now);

    bool isSynced(Millis now) const { return now >= this->startedAt + syncPeriod; }
    std::size_t size() const { return this->entries.size(); }

private:
    struct Entry
    {
        OnceRecord record;
        Millis createdAt;
        // Hosts whose answer to the claim is awaited.
        std::set<HostId> pendingHosts;
        bool confirmed = false;
        bool running = false;
    };

    OnceDecision decide(Entry &entry, Millis now) const;

    Millis startedAt;
    std::map<std::string, Entry> entries;
};

} // namespace quetzal
