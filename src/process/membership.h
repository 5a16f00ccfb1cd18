// Which hosts of ours are alive, kept by heartbeats to a bounded random set.
#pragma once

#include "quetzal/ids.h"
#include "quetzal/millis.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzal {

// Whether a host serves, in order of precedence within one life.
enum class MemberState { Alive, Suspect, Leaving, Dead };

inline constexpr std::array<std::string_view, 4> memberStateNames
        = { "alive", "suspect", "leaving", "dead" };

// What hosts tell one another about a host.
struct MemberInfo
{
    HostId id;
    std::string name;
    std::string zone;
    // Where other hosts reach it, over UDP and TCP.
    std::string address;
    Incarnation incarnation;
    // Raised by the host itself to contradict a suspicion.
    std::uint32_t refutation = 0;
    MemberState state = MemberState::Alive;
    // Highest revision of the tables that the host had in force.
    Revision revision;
    // How much work the host takes, relative to others.
    float capacity = 1;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->name, this->zone, this->address, this->incarnation,
                this->refutation, this->state, this->revision, this->capacity);
    }
};

// News about a host that the receiver knows by its id.
struct MemberUpdate
{
    HostId id;
    Incarnation incarnation;
    std::uint32_t refutation = 0;
    MemberState state = MemberState::Alive;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->incarnation, this->refutation, this->state);
    }
};

// The purpose of a heartbeat.
enum class HeartbeatKind { Ping, Ack, IndirectPing };

// A heartbeat. Carries the sender and some news about other hosts.
struct Heartbeat
{
    HeartbeatKind kind = HeartbeatKind::Ping;
    std::uint64_t sequence = 0;
    MemberInfo sender;
    // The host meant by an indirect ping, or the one that asked for it in an acknowledgement.
    HostId subject;
    // Hosts that the receiver may not know, with name, zone and address.
    std::vector<MemberInfo> introductions;
    std::vector<MemberUpdate> updates;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->kind, this->sequence, this->sender, this->subject, this->introductions,
                this->updates);
    }
};

// A heartbeat to send.
struct OutgoingHeartbeat
{
    HostId to;
    Heartbeat heartbeat;
};

// How often and how patiently hosts watch one another.
struct MembershipTimes
{
    // Time between two pings of one host.
    Millis pingPeriod = Millis(400);
    // Time to wait for an acknowledgement before others are asked to ping.
    Millis ackTimeout = Millis(120);
    // Time from suspicion to death, in which the suspect may contradict.
    Millis suspicionTimeout = Millis(1600);
    // Time for which a dead host is remembered.
    Millis deadRetention = Millis(60'000);
};

// Keeps the list of hosts by pings, indirect pings, suspicion and gossip.
//
// The cost to a host stays flat as the fleet grows: one ping a period and a bounded number of news
// in each heartbeat. A host that flaps is kept out of ownership for a while that doubles. Takes
// events with a time and returns heartbeats to send; keeps no clock and no socket.
class Membership
{
public:
    Membership(const MemberInfo &self, const MembershipTimes &times, std::uint64_t seed);

    // Adds hosts of the platform's list that are not known yet. The list lags, so a host that is
    // missing from it is not dead.
    void addSeeds(const std::vector<MemberInfo> &seeds, Millis now);

    // Sends what is due.
    void onTimer(Millis now, std::vector<OutgoingHeartbeat> &out);
    Millis nextTimer() const;

    void onHeartbeat(const Heartbeat &heartbeat, Millis now, std::vector<OutgoingHeartbeat> &out);

    // A message to the host stayed unanswered for long: ping it now.
    void probe(HostId host, Millis now, std::vector<OutgoingHeartbeat> &out);

    // Sends a heartbeat to the host now.
    void pingNow(HostId host, Millis now, std::vector<OutgoingHeartbeat> &out);

    // Sets the revision that heartbeats carry.
    void setRevision(Revision revision) { this->self.revision = revision; }

    // This host is shutting down: says so in heartbeats from now on.
    void leave(std::vector<OutgoingHeartbeat> &out);

    // Returns the host, or nullptr.
    const MemberInfo *find(HostId host) const;

    // Returns all hosts but this one.
    std::vector<MemberInfo> others() const;

    // Returns the hosts that may own searchers, this one among them unless it is leaving.
    std::vector<MemberInfo> eligible(Millis now) const;

    // Grows with each change that matters to ownership.
    std::uint64_t changeCount() const { return this->changes; }

    // Returns the highest revision any host has told of, and a host that has it.
    std::pair<Revision, HostId> highestRevision() const;

    // Returns the hosts that told of a higher revision than the given one and may still serve.
    std::vector<HostId> aheadOf(Revision revision) const;

    const MemberInfo &localMember() const { return this->self; }

    // Returns the bytes of state kept for the hosts, without the allocator's own cost.
    std::size_t stateBytes() const;

private:
    struct Member
    {
        MemberInfo info;
        Millis stateSince;
        // Number of times this item is still to be gossiped.
        int remainingUpdates = 0;
        bool urgentUpdate = false;
        // Number of times it is still to be told with name, zone and address.
        int remainingIntroductions = 0;
        int flapCount = 0;
        Millis lastFlapAt;
        Millis ineligibleUntil;
    };

    struct PendingPing
    {
        std::uint64_t sequence = 0;
        HostId host;
        Millis sentAt;
        bool indirectSent = false;
    };

    struct RelayedPing
    {
        std::uint64_t sequence = 0;
        std::uint64_t originSequence = 0;
        HostId origin;
        Millis sentAt;
    };

    void applyMember(const MemberInfo &info, Millis now);
    void add(const Member &member);
    void applyUpdate(const MemberUpdate &update, Millis now);
    void applySelfUpdate(const MemberUpdate &update);
    bool supersede(Member &member, const MemberUpdate &update, Millis now);
    void setState(Member &member, MemberState state, Millis now);
    void countFlap(Member &member, Millis now) const;
    std::optional<HostId> nextTarget();
    Heartbeat makeHeartbeat(HeartbeatKind kind, std::uint64_t sequence);
    void ping(HostId host, Millis now, std::vector<OutgoingHeartbeat> &out);
    void sendIndirectPings(PendingPing &pending, Millis now, std::vector<OutgoingHeartbeat> &out);
    void checkPending(Millis now, std::vector<OutgoingHeartbeat> &out);
    void checkSuspects(Millis now);
    void queueUpdate(Member &member);
    void attachUpdates(std::deque<HostId> &queue, bool urgent, Heartbeat &heartbeat);
    int transmissionsPerUpdate() const;

    MemberInfo self;
    MembershipTimes times;
    std::mt19937_64 random;
    std::unordered_map<HostId, Member> members;
    // Hosts that are not alive, for the sweep.
    std::set<HostId> nonAlive;
    std::vector<HostId> pingOrder;
    std::deque<HostId> urgentUpdates;
    std::deque<HostId> updateQueue;
    std::vector<PendingPing> pendingPings;
    std::vector<RelayedPing> relayedPings;
    std::uint64_t lastSequence = 0;
    std::uint64_t changes = 1;
    Millis nextPingAt;
    Millis nextSweepAt;
};

} // namespace quetzal
