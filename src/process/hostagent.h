// The control loop of a host: peers, membership, tables and what follows from them.
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

namespace quetzal {

// What the control loop hands to the other loops of the host.
struct AgentCallbacks
{
    std::function<void()> onSnapshotChanged;
    std::function<void(const std::vector<SearcherReport> &)> onReports;
    std::function<void(HostId)> onRelayLost;
    // Sub-requests, replies and cancels from peers.
    std::function<void(HostId from, std::shared_ptr<SubRequests>, Millis transit, bool stale)>
            onSubRequests;
    std::function<void(SubReplies)> onSubReplies;
    std::function<void(HostId from, Cancels)> onCancels;
    std::function<void(HostId from, OnceMessage, bool stale)> onOnceMessage;
};

// One host's view for /status and quetzalctl status.
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

// Runs membership, table sync and the exchange of searchers' reports, and publishes the world.
// Used on the control loop's thread only, but for the constructor.
class HostAgent
{
public:
    HostAgent(EventLoop &loop, const Settings &settings, RcuValue<RoutingSnapshot> &snapshot,
              AgentCallbacks callbacks);

    void start();

    // Sends a message to a peer.
    void sendSubRequests(HostId owner, const SubRequests &batch);
    void sendCancels(HostId owner, const Cancels &cancels);
    void sendOnceMessage(HostId to, const OnceMessage &message);
    void sendReply(HostId entry, const AttemptResult &result);

    // A searcher that this host owns has something new to say.
    void onLocalReport(const SearcherReport &report);

    // Tells the peers that this host leaves; its searchers go to the next in rank.
    void beginShutdown();

    AgentStatus status() const;
    HostId self() const { return this->localMember.id; }
    Incarnation incarnation() const { return this->localMember.incarnation; }
    void onPaused();

    std::size_t unacknowledged() const { return this->link->unacknowledged(); }

private:
    void onHeartbeat(const Heartbeat &heartbeat);
    void onMessage(HostId from, const std::string &payload);
    void onTableRequest(HostId from, const TableRequest &request);
    void onTableResponse(HostId from, const TableResponse &response);
    void onSearcherReports(const SearcherReports &reports);
    void onUnresponsive(HostId peer);
    void onResponsive(HostId peer);
    void onPeerLost(HostId peer);
    void sendHeartbeats(std::vector<OutgoingHeartbeat> &heartbeats);
    void runMembershipTimer();
    void applyMembershipChanges();
    void logMemberChanges();
    void runTableSync();
    void performSync(const SyncActions &actions);
    void requestManifest(const SyncAction &action);
    void requestChunk(const std::string &hash);
    void publishTables(const std::shared_ptr<const RoutingTables> &next);
    void pollHosts();
    void onHostList(const std::string &body);
    void refreshPeers();
    void refreshReports();
    void logStatusChanges();
    void sendAllReports(HostId peer);
    void publishSnapshot();
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
    std::unordered_set<SearcherId> leaving;
    // Peers that do not acknowledge; other hosts take their searchers until they do.
    std::unordered_set<HostId> unresponsive;
    std::unordered_map<HostId, MemberState> loggedStates;
    std::unordered_map<HostId, Incarnation> knownIncarnations;
    // Reports by this host's relays, and by all.
    std::unordered_map<SearcherId, SearcherReport> localReports;
    std::map<HostId, SubReplies> pendingReplies;
    bool flushPosted = false;
    std::shared_ptr<const RoutingTables> tables;
    std::uint64_t generation = 0;
    std::uint64_t appliedChangeCount = 0;
    Millis nextEligibleCheck;
    bool storeReachable = true;
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
