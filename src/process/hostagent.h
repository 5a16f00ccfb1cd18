// The control loop of a quetzald host: membership, synchronization of routing tables, and the
// routing snapshot derived from them.
#pragma once

#include "connection/messages.h"
#include "connection/peerlink.h"
#include "process/eventloop.h"
#include "process/httpcall.h"
#include "process/membership.h"
#include "process/rcuvalue.h"
#include "process/settings.h"
#include "request/oncemessages.h"
#include "version/routingsnapshot.h"
#include "version/tablesync.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <Poco/JSON/Object.h>

namespace quetzal {

// Events that the control loop passes on to the entry and relay loops of the host.
struct AgentCallbacks
{
    // A new routing snapshot was published.
    std::function<void()> onSnapshotChanged;
    std::function<void(const std::vector<SearcherReport> &)> onReports;
    // A host died, restarted or became unresponsive.
    std::function<void(HostId)> onRelayLost;
    // Messages from other hosts, with the estimated network delay as transit. Stale ones may have
    // expired while this process was paused.
    std::function<void(HostId from, std::shared_ptr<SubRequests>, Millis transit, bool stale)>
            onSubRequests;
    std::function<void(SubReplies)> onSubReplies;
    std::function<void(HostId from, Cancels)> onCancels;
    // A message of the protocol for at-most-once execution of requests.
    std::function<void(HostId from, OnceMessage, bool stale)> onOnceMessage;
};

// State of a host as shown by /status and quetzalctl status.
struct AgentStatus
{
    Revision revision;
    bool ready = false;
    std::string notReadyReason;
    std::vector<MemberInfo> members;
    PeerCounts peers;
    std::uint64_t storeCalls = 0;
    std::uint64_t corruptChunks = 0;
};

// Runs membership, table synchronization and the exchange of searcher reports, and publishes the
// routing snapshot. Used on the control loop's thread only, except for the constructor.
class HostAgent
{
public:
    HostAgent(EventLoop &loop, const Settings &settings, RcuValue<RoutingSnapshot> &snapshot,
              AgentCallbacks callbacks);

    void start();

    // Send a message to another host.
    void sendSubRequests(HostId owner, const SubRequests &batch);
    void sendCancels(HostId owner, const Cancels &cancels);
    void sendOnceMessage(HostId to, const OnceMessage &message);

    // Queues a reply; all replies of one loop iteration to the same host are sent together.
    void sendReply(HostId entry, const AttemptResult &result);

    // Distributes a changed report on a searcher that this host owns.
    void onLocalReport(const SearcherReport &report);

    // Announces that this host is leaving, so that its searchers are assigned to other hosts.
    void beginShutdown();

    AgentStatus status() const;
    HostId self() const { return this->localMember.id; }
    Incarnation incarnation() const { return this->localMember.incarnation; }

    // The process did not run for a while.
    void onPaused();

    // Returns the number of messages that were sent and not acknowledged yet.
    std::size_t unacknowledged() const { return this->link->unacknowledged(); }

private:
    // Time between two lines about invalid entries of the list of hosts.
    static constexpr Millis droppedEntryLogPeriod = Millis(10'000);

    void onHeartbeat(const Heartbeat &heartbeat);
    void onMessage(HostId from, const std::string &payload);
    void onTableRequest(HostId from, const TableRequest &request);
    void onTableResponse(HostId from, const TableResponse &response);
    void onSearcherReports(const SearcherReports &reports);
    void onUnresponsive(HostId peer);
    void onResponsive(HostId peer);
    void onPeerLost(HostId peer);
    void sendHeartbeats(std::vector<OutgoingHeartbeat> &heartbeats);
    // Runs the timer of the membership protocol and schedules it again.
    void runMembershipTimer();
    void scheduleMembership(Millis at);
    // Applies changes of the membership to the peer link, the log and the snapshot.
    void applyMembershipChanges();
    void logMemberChanges();
    // Runs the timer of the table synchronization and schedules it again.
    void runTableSync();
    void scheduleTableSync(Millis at);
    void performSync(const SyncActions &actions);
    // Reads the manifest from the store, or waits there for it to change.
    void requestManifest(const SyncAction &action);
    void requestChunk(const std::string &hash);
    void publishTables(const std::shared_ptr<const RoutingTables> &next);
    // Polls the platform's list of hosts, which contains the seeds and the leaving searchers.
    void pollHosts();
    void onHostList(const std::string &body);
    // Reads the hosts and the leaving searchers of the platform's list. Invalid entries are logged
    // and left out.
    std::vector<MemberInfo> readHosts(const Poco::JSON::Object &list);
    std::unordered_set<SearcherId> readLeaving(const Poco::JSON::Object &list);
    void dropHostEntry(const std::string &entry, const std::string &reason);
    void refreshPeers();
    // Sends all local reports to all hosts periodically, in case one was lost.
    void refreshReports();
    // Logs changes of readiness and corrupt chunks, and schedules itself again.
    void logStatusChanges();
    void sendAllReports(HostId peer);
    void publishSnapshot();
    // Returns true if this host is among those of its zone that read the store.
    bool isStoreWatcher() const;
    void flushReplies();
    template <typename Message>
    void sendMessage(HostId to, MessageKind kind, const Message &message, Millis lifetime);

    EventLoop &loop;
    Settings settings;
    RcuValue<RoutingSnapshot> &snapshot;
    AgentCallbacks callbacks;
    MemberInfo localMember;
    std::unique_ptr<PeerLink> link;
    Membership membership;
    TableSync sync;
    HttpCaller store;
    HttpCaller hostList;
    std::mt19937_64 random;
    // Searchers that the platform is about to remove; they get no new requests.
    std::unordered_set<SearcherId> leaving;
    // Hosts that do not acknowledge messages. Their searchers are assigned to other hosts until
    // they do.
    std::unordered_set<HostId> unresponsive;
    std::unordered_map<HostId, MemberState> loggedStates;
    std::unordered_map<HostId, Incarnation> knownIncarnations;
    // Reports of this host's relay loops.
    std::unordered_map<SearcherId, SearcherReport> localReports;
    std::map<HostId, SubReplies> pendingReplies;
    bool flushPosted = false;
    // The tables in force, and those of the synchronization that they were made from.
    std::shared_ptr<const RoutingTables> tables;
    std::shared_ptr<const RoutingTables> syncedTables;
    // Number of the snapshot published last.
    std::uint64_t generation = 0;
    // Membership::changeCount at the last applyMembershipChanges.
    std::uint64_t appliedChangeCount = 0;
    Millis nextEligibleCheck;
    bool storeReachable = true;
    LogLimiter droppedEntryLog = LogLimiter(droppedEntryLogPeriod);
    bool stopping = false;
    bool loggedReady = false;
    std::uint64_t loggedCorrupt = 0;
    Millis startedAt;
    Millis lastPeerMessageAt;
    TimerId membershipTimer = 0;
    TimerId tablesTimer = 0;
};

template <typename Message>
void HostAgent::sendMessage(HostId to, MessageKind kind, const Message &message, Millis lifetime)
{
    std::string payload(1, static_cast<char>(kind));
    payload += encode(message);
    this->link->send(to, std::move(payload), lifetime);
}

} // namespace quetzal
