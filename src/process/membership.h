// Failure detection and gossip among our hosts, in the manner of SWIM.
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

// State of a host. Within one incarnation and refutation, a later enumerator takes precedence.
enum class MemberState { Alive, Suspect, Leaving, Dead };

// Names in the order of the enumerators.
inline constexpr std::array<std::string_view, 4> memberStateNames
        = { "alive", "suspect", "leaving", "dead" };

// All that is known about a host, as sent between hosts.
struct MemberInfo
{
    HostId id;
    std::string name;
    std::string zone;
    // Address of the host for UDP and TCP.
    std::string address;
    Incarnation incarnation;
    // Incremented by the host itself to refute a suspicion.
    std::uint32_t refutation = 0;
    MemberState state = MemberState::Alive;
    // Revision of the tables, or of the view, that the host has applied.
    Revision revision;
    // Share of the work that the host takes, relative to other hosts.
    float capacity = 1;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->name, this->zone, this->address, this->incarnation,
                this->refutation, this->state, this->revision, this->capacity);
    }
};

// A change of the state of a host that the receiver knows already.
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

// Type of a heartbeat. A confirmation states that the sender's view was complete some time ago; it
// is not acknowledged, and hosts that do not know the type ignore it.
enum class HeartbeatKind { Ping, Ack, IndirectPing, Confirmation };

// A heartbeat. Contains the sender's state and some gossip about other hosts.
struct Heartbeat
{
    HeartbeatKind kind = HeartbeatKind::Ping;
    // Number of the ping; in a confirmation, the age of the sender's view in milliseconds.
    std::uint64_t sequence = 0;
    MemberInfo sender;
    // In an indirect ping, the host to ping; in its acknowledgement, the host that was pinged.
    HostId subject;
    // Hosts that may be unknown to the receiver, with name, zone and address.
    std::vector<MemberInfo> introductions;
    std::vector<MemberUpdate> updates;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->kind, this->sequence, this->sender, this->subject, this->introductions,
                this->updates);
    }
};

// A heartbeat and its destination.
struct OutgoingHeartbeat
{
    HostId to;
    Heartbeat heartbeat;
};

// Periods and timeouts of the membership protocol.
struct MembershipTimes
{
    // Time between two pings that a host sends.
    Millis pingPeriod = Millis(400);
    // Time to wait for an acknowledgement before indirect pings are sent. After three times as long
    // the host is suspected.
    Millis ackTimeout = Millis(120);
    // Time for which a suspect can refute the suspicion before it is declared dead.
    Millis suspicionTimeout = Millis(1600);
    // Time for which a dead host is kept in the list.
    Millis deadRetention = Millis(60'000);
};

// Maintains the list of hosts by pings, indirect pings, suspicion and gossip.
//
// The cost for each host does not grow with the fleet: a host sends one ping per period, with a
// bounded number of updates. A host that flaps is not eligible to own searchers for a time that
// doubles with each flap. Has neither clock nor sockets: the current time is passed in, and
// heartbeats to send are appended to out.
class Membership
{
public:
    Membership(const MemberInfo &self, const MembershipTimes &times, std::uint64_t seed);

    // Adds unknown hosts of a list, and updates the addresses of known ones. The list may be
    // outdated, so a host that is missing from it is not considered dead.
    void addSeeds(const std::vector<MemberInfo> &seeds, Millis now);

    // Processes timeouts and sends the next ping if it is due.
    void onTimer(Millis now, std::vector<OutgoingHeartbeat> &out);

    // Returns when onTimer is to be called next.
    Millis nextTimer() const;

    // Returns true if a host was added a short time ago, so that there may be more.
    bool isDiscovering(Millis now) const;

    // Processes a heartbeat of another host.
    void onHeartbeat(const Heartbeat &heartbeat, Millis now, std::vector<OutgoingHeartbeat> &out);

    // Pings a possibly failed host now, unless it is not alive or a ping to it is pending.
    void probe(HostId host, Millis now, std::vector<OutgoingHeartbeat> &out);

    // Pings a host now.
    void pingNow(HostId host, Millis now, std::vector<OutgoingHeartbeat> &out);

    // Confirms to a host that this host's view was complete some time ago.
    void confirm(HostId host, Millis age, std::vector<OutgoingHeartbeat> &out);

    // Sets the revision that heartbeats contain.
    void setRevision(Revision revision) { this->self.revision = revision; }

    // Marks this host as leaving in all further heartbeats, and sends one to a bounded number of
    // hosts.
    void leave(std::vector<OutgoingHeartbeat> &out);

    // Returns a host, this one included, or nullptr if it is unknown.
    const MemberInfo *find(HostId host) const;

    // Returns all known hosts except this one.
    std::vector<MemberInfo> others() const;

    // Returns the hosts that may own searchers, including this one unless it is leaving.
    std::vector<MemberInfo> eligible(Millis now) const;

    // Returns a counter that increases with each change that may affect ownership.
    std::uint64_t changeCount() const { return this->changes; }

    // Returns the serving hosts that have reported a higher revision than the given one.
    std::vector<HostId> aheadOf(Revision revision) const;

    // Returns the state of this host.
    const MemberInfo &localMember() const { return this->self; }

    // Returns the approximate size of the state in bytes, without allocator overhead.
    std::size_t stateBytes() const;

private:
    struct Member
    {
        MemberInfo info;
        Millis stateSince;
        // Number of heartbeats in which this host is still to be included.
        int remainingUpdates = 0;
        // True if the update is in urgentUpdates and not in updateQueue.
        bool urgentUpdate = false;
        // Number of heartbeats in which its name, zone and address are still to be included.
        int remainingIntroductions = 0;
        int flapCount = 0;
        Millis lastFlapAt;
        // The host is not eligible before this time because it flapped.
        Millis ineligibleUntil;
    };

    // A ping that has not been acknowledged.
    struct PendingPing
    {
        std::uint64_t sequence = 0;
        HostId host;
        Millis sentAt;
        // True if indirect pings were sent for it.
        bool indirectSent = false;
    };

    // A ping that was sent on behalf of another host.
    struct RelayedPing
    {
        std::uint64_t sequence = 0;
        std::uint64_t originSequence = 0;
        HostId origin;
        Millis sentAt;
    };

    // Adds or updates a host from its full state.
    void applyMember(const MemberInfo &info, Millis now);
    void add(const Member &member);
    void applyUpdate(const MemberUpdate &update, Millis now);
    // Refutes an update that says that this host is suspect or dead. If the update has a larger
    // incarnation than this host, chooses one that is larger still.
    void applySelfUpdate(const MemberUpdate &update);
    // Applies an update if it takes precedence over the known state. Returns true if it did.
    bool supersede(Member &member, const MemberUpdate &update, Millis now);
    void setState(Member &member, MemberState state, Millis now);
    // Records that a host serves again, and makes it ineligible for a while if it does so often.
    void countFlap(Member &member, Millis now) const;
    // Returns the host to ping next. Each host is pinged once before any is pinged again.
    std::optional<HostId> nextTarget();
    Heartbeat makeHeartbeat(HeartbeatKind kind, std::uint64_t sequence);
    void ping(HostId host, Millis now, std::vector<OutgoingHeartbeat> &out);
    void sendIndirectPings(PendingPing &pending, Millis now, std::vector<OutgoingHeartbeat> &out);
    void checkPending(Millis now, std::vector<OutgoingHeartbeat> &out);
    // Declares hosts dead whose suspicion or leaving timed out, and removes those that have been
    // dead for deadRetention.
    void checkSuspects(Millis now);
    // Queues the state of a host for gossip.
    void queueUpdate(Member &member);
    // Moves updates from a queue to a heartbeat until it is full.
    void attachUpdates(std::deque<HostId> &queue, bool urgent, Heartbeat &heartbeat);
    // Returns the number of heartbeats that each update is sent in.
    int transmissionsPerUpdate() const;

    MemberInfo self;
    MembershipTimes times;
    std::mt19937_64 random;
    std::unordered_map<HostId, Member> members;
    // Hosts that are not alive, whose timeouts checkSuspects examines.
    std::set<HostId> nonAlive;
    // Hosts still to be pinged in this round, the next one last.
    std::vector<HostId> pingOrder;
    // Hosts whose updates are to be gossiped; urgent ones are sent first.
    std::deque<HostId> urgentUpdates;
    std::deque<HostId> updateQueue;
    std::vector<PendingPing> pendingPings;
    std::vector<RelayedPing> relayedPings;
    std::uint64_t lastSequence = 0;
    std::uint64_t changes = 1;
    Millis nextPingAt;
    Millis nextSweepAt;
    // When a host was added last.
    Millis addedAt = Millis(-1e9);
};

} // namespace quetzal
