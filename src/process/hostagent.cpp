#include "process/hostagent.h"

#include "process/eventlog.h"
#include "quetzal/steadyclock.h"
#include "version/store.h"

#include <algorithm>
#include <chrono>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/NumberParser.h>

namespace quetzal {

static constexpr Millis reportRefreshPeriod = Millis(5000);
// Time after which a timer runs again if it failed.
static constexpr Millis timerFallback = Millis(200);
static constexpr Millis statusCheckPeriod = Millis(500);
// Time for which a message is retransmitted if it is not acknowledged.
static constexpr Millis controlMessageLifetime = Millis(2000);
// The same for the replies to sub-requests.
static constexpr Millis replyLifetime = Millis(3000);
// Number of hosts in each zone that watch the store.
static constexpr std::size_t watchersPerZone = 2;
// Period at which the snapshot is rebuilt for hosts that have become eligible again after flapping.
static constexpr Millis eligibilityCheckPeriod = Millis(1000);
// Time without contact to the store or any host after which this host reports that it is not ready,
// as its tables may be outdated.
static constexpr Millis isolationLimit = Millis(30'000);

static MemberInfo makeLocalMember(const Settings &settings)
{
    MemberInfo info;
    info.id = { stableHash(settings.name) };
    info.name = settings.name;
    info.zone = settings.zone;
    info.address = settings.peersAddress;
    // The start time increases with each restart of the process.
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    info.incarnation = { static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count()) };
    return info;
}

HostAgent::HostAgent(EventLoop &loop, const Settings &settings, RcuValue<RoutingSnapshot> &snapshot,
                     AgentCallbacks callbacks)
    : loop(loop)
    , settings(settings)
    , snapshot(snapshot)
    , callbacks(std::move(callbacks))
    , localMember(makeLocalMember(settings))
    , membership(localMember, MembershipTimes(), localMember.incarnation.value)
    , sync(SyncTimings(), localMember.incarnation.value + 1)
    , store(loop, settings.storeAddress)
    , hostList(loop, settings.hostsAddress)
    , random(localMember.incarnation.value + 2)
    , startedAt(SteadyClock::now())
    , lastPeerMessageAt(startedAt)
{
    PeerCallbacks peerCallbacks;
    peerCallbacks.onHeartbeat
            = [this](const Heartbeat &heartbeat) { this->onHeartbeat(heartbeat); };
    peerCallbacks.onMessage
            = [this](HostId from, const std::string &payload) { this->onMessage(from, payload); };
    peerCallbacks.onUnresponsive = [this](HostId peer) { this->onUnresponsive(peer); };
    peerCallbacks.onResponsive = [this](HostId peer) { this->onResponsive(peer); };
    peerCallbacks.onRestarted = [this](HostId peer) {
        const MemberInfo *member = this->membership.find(peer);
        logEvent(LogEvent::HostRestarted, "host=" + (member ? member->name : "unknown"));
        this->onPeerLost(peer);
    };
    this->link = std::make_unique<PeerLink>(loop, settings.peersAddress, this->localMember.id,
                                            this->localMember.incarnation, KeyRing(settings.keys),
                                            std::move(peerCallbacks));
}

void HostAgent::start()
{
    this->publishSnapshot();
    this->pollHosts();
    this->runMembershipTimer();
    this->runTableSync();
    this->refreshReports();
    this->logStatusChanges();
}

void HostAgent::refreshReports()
{
    const double jitter = 0.8 + 0.4 * static_cast<double>(this->random() % 1000) / 1000;
    this->loop.schedule(SteadyClock::now() + reportRefreshPeriod * jitter,
                        [this] { this->refreshReports(); });
    for (const MemberInfo &member : this->membership.others()) {
        if (member.state == MemberState::Alive)
            this->sendAllReports(member.id);
    }
}

void HostAgent::sendSubRequests(HostId owner, const SubRequests &batch)
{
    double longest = 0;
    for (const SubRequestItem &item : batch.items)
        longest = std::max(longest, item.budgetMs);
    this->sendMessage(owner, MessageKind::SubRequests, batch, Millis(longest));
}

void HostAgent::sendCancels(HostId owner, const Cancels &cancels)
{
    this->sendMessage(owner, MessageKind::Cancels, cancels, controlMessageLifetime);
}

void HostAgent::sendOnceMessage(HostId to, const OnceMessage &message)
{
    this->sendMessage(to, MessageKind::Once, message, controlMessageLifetime);
}

void HostAgent::sendReply(HostId entry, const AttemptResult &result)
{
    // Batches the replies of one loop iteration to the same host.
    this->pendingReplies[entry].replies.push_back(toSubReply(result));
    if (this->flushPosted)
        return;
    this->flushPosted = true;
    this->loop.post([this] { this->flushReplies(); });
}

void HostAgent::flushReplies()
{
    this->flushPosted = false;
    auto batches = std::move(this->pendingReplies);
    this->pendingReplies.clear();
    for (auto &[entry, replies] : batches) {
        // Packs as many replies into a datagram as fit. A reply that is larger is sent by itself.
        SubReplies part;
        std::size_t bytes = 0;
        for (SubReply &reply : replies.replies) {
            const std::size_t size = encode(reply).size();
            if (bytes + size > maxDatagramPayloadBytes && !part.replies.empty()) {
                this->sendMessage(entry, MessageKind::SubReplies, part, replyLifetime);
                part.replies.clear();
                bytes = 0;
            }
            bytes += size;
            part.replies.push_back(std::move(reply));
        }
        this->sendMessage(entry, MessageKind::SubReplies, part, replyLifetime);
    }
}

void HostAgent::onMessage(HostId from, const std::string &payload)
{
    this->lastPeerMessageAt = SteadyClock::now();
    if (payload.empty())
        return;
    const std::string body = payload.substr(1);
    switch (static_cast<MessageKind>(payload[0])) {
    case MessageKind::SubRequests: {
        auto batch = decode<SubRequests>(body);
        if (!batch)
            return;
        const bool stale = this->link->mayBeStale(SteadyClock::now());
        this->callbacks.onSubRequests(from, std::make_shared<SubRequests>(std::move(*batch)),
                                      this->link->oneWayDelay(from), stale);
        break;
    }
    case MessageKind::SubReplies:
        if (auto replies = decode<SubReplies>(body))
            this->callbacks.onSubReplies(std::move(*replies));
        break;
    case MessageKind::Cancels:
        if (auto cancels = decode<Cancels>(body))
            this->callbacks.onCancels(from, std::move(*cancels));
        break;
    case MessageKind::SearcherReports:
        if (const auto reports = decode<SearcherReports>(body))
            this->onSearcherReports(*reports);
        break;
    case MessageKind::TableRequest:
        if (const auto request = decode<TableRequest>(body))
            this->onTableRequest(from, *request);
        break;
    case MessageKind::TableResponse:
        if (const auto response = decode<TableResponse>(body))
            this->onTableResponse(from, *response);
        break;
    case MessageKind::Once:
        if (auto message = decode<OnceMessage>(body))
            this->callbacks.onOnceMessage(from, std::move(*message),
                                          this->link->mayBeStale(SteadyClock::now()));
        break;
    }
}

void HostAgent::onSearcherReports(const SearcherReports &reports)
{
    this->callbacks.onReports(reports.reports);
}

void HostAgent::onLocalReport(const SearcherReport &report)
{
    this->localReports[report.searcher] = report;
    SearcherReports changed;
    changed.reports.push_back(report);
    this->callbacks.onReports(changed.reports);
    for (const MemberInfo &member : this->membership.others()) {
        if (member.state == MemberState::Alive || member.state == MemberState::Suspect)
            this->sendMessage(member.id, MessageKind::SearcherReports, changed,
                              controlMessageLifetime);
    }
}

void HostAgent::sendAllReports(HostId peer)
{
    SearcherReports all;
    for (const auto &[id, report] : this->localReports) {
        if (this->tables == nullptr)
            continue;
        all.reports.push_back(report);
    }
    if (!all.reports.empty())
        this->sendMessage(peer, MessageKind::SearcherReports, all, controlMessageLifetime);
}

void HostAgent::onHeartbeat(const Heartbeat &heartbeat)
{
    const Millis now = SteadyClock::now();
    this->lastPeerMessageAt = now;
    std::vector<OutgoingHeartbeat> out;
    this->membership.onHeartbeat(heartbeat, now, out);
    this->applyMembershipChanges();
    this->sendHeartbeats(out);
    SyncActions actions;
    this->sync.onPeerRevision(heartbeat.sender.id, heartbeat.sender.revision, now, actions);
    this->performSync(actions);
}

void HostAgent::sendHeartbeats(std::vector<OutgoingHeartbeat> &heartbeats)
{
    for (const OutgoingHeartbeat &outgoing : heartbeats)
        this->link->sendHeartbeat(outgoing.to, outgoing.heartbeat);
}

void HostAgent::runMembershipTimer()
{
    const Millis now = SteadyClock::now();
    this->scheduleMembership(now + timerFallback);
    std::vector<OutgoingHeartbeat> out;
    this->membership.onTimer(now, out);
    this->sendHeartbeats(out);
    if (now >= this->nextEligibleCheck) {
        this->nextEligibleCheck = now + eligibilityCheckPeriod;
        // Makes applyMembershipChanges publish a snapshot even if there was no change.
        this->appliedChangeCount = 0;
    }
    this->applyMembershipChanges();
    this->scheduleMembership(this->membership.nextTimer());
}

void HostAgent::scheduleMembership(Millis at)
{
    this->loop.cancel(this->membershipTimer);
    this->membershipTimer = this->loop.schedule(at, [this] { this->runMembershipTimer(); });
}

void HostAgent::applyMembershipChanges()
{
    if (this->membership.changeCount() == this->appliedChangeCount)
        return;
    this->appliedChangeCount = this->membership.changeCount();
    this->refreshPeers();
    this->logMemberChanges();
    this->publishSnapshot();
}

void HostAgent::refreshPeers()
{
    for (const MemberInfo &member : this->membership.others()) {
        this->link->setAddress(member.id, member.address);
        Incarnation &knownIncarnation = this->knownIncarnations[member.id];
        const bool isNew = member.incarnation > knownIncarnation;
        if (!isNew || member.state != MemberState::Alive)
            continue;
        knownIncarnation = member.incarnation;
        this->sendAllReports(member.id);
    }
}

void HostAgent::logMemberChanges()
{
    for (const MemberInfo &member : this->membership.others()) {
        const auto known = this->loggedStates.find(member.id);
        if (known != this->loggedStates.end() && known->second == member.state)
            continue;
        this->loggedStates[member.id] = member.state;
        const std::string fields = "host=" + member.name + " zone=" + member.zone;
        switch (member.state) {
        case MemberState::Alive:
            logEvent(LogEvent::HostJoined, fields);
            break;
        case MemberState::Suspect:
            logEvent(LogEvent::HostSuspect, fields);
            break;
        case MemberState::Leaving:
            logEvent(LogEvent::HostLeaving, fields);
            break;
        case MemberState::Dead:
            logEvent(LogEvent::HostDead, fields);
            this->onPeerLost(member.id);
            break;
        }
    }
}

void HostAgent::onUnresponsive(HostId peer)
{
    const MemberInfo *member = this->membership.find(peer);
    logEvent(LogEvent::HostUnresponsive, "host=" + (member ? member->name : "unknown"));
    this->unresponsive.insert(peer);
    std::vector<OutgoingHeartbeat> out;
    this->membership.probe(peer, SteadyClock::now(), out);
    this->sendHeartbeats(out);
    this->publishSnapshot();
    this->callbacks.onRelayLost(peer);
}

void HostAgent::onResponsive(HostId peer)
{
    this->unresponsive.erase(peer);
    this->publishSnapshot();
}

void HostAgent::onPeerLost(HostId peer)
{
    this->callbacks.onRelayLost(peer);
}

bool HostAgent::isStoreWatcher() const
{
    // The highest-ranked hosts of the zone watch the store, or all if there are only a few.
    std::vector<std::pair<std::uint64_t, HostId>> ranked;
    for (const MemberInfo &member : this->membership.eligible(SteadyClock::now())) {
        if (member.zone == this->settings.zone)
            ranked.emplace_back(stableHash(member.id.value, stableHash(member.zone)), member.id);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    const std::size_t count = std::min(watchersPerZone, ranked.size());
    return std::any_of(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                       [this](const auto &entry) { return entry.second == this->localMember.id; });
}

void HostAgent::publishSnapshot()
{
    const Millis now = SteadyClock::now();
    auto next = std::make_shared<RoutingSnapshot>();
    next->tables = this->tables;
    next->generation = ++this->generation;
    next->self = this->localMember.id;
    next->leaving = this->leaving;
    next->stopping = this->stopping;
    std::vector<OwnerCandidate> candidates;
    for (const MemberInfo &member : this->membership.eligible(now)) {
        if (this->unresponsive.contains(member.id))
            continue;
        candidates.push_back({ member.id, stableHash(member.zone), member.incarnation });
        next->hosts.insert(member.id);
    }
    // A leaving host is not eligible, but keeps its searchers if there is no other host.
    if (candidates.empty())
        candidates.push_back({ this->localMember.id, stableHash(this->settings.zone),
                               this->localMember.incarnation });
    next->ownership = Ownership(candidates);
    if (this->tables) {
        for (const Pool &pool : this->tables->pools) {
            for (const Searcher &searcher : pool.searchers) {
                const SearcherId id = searcher.id();
                next->searchers[id] = { next->ownership.ownerOf(id, searcher.zone), &searcher };
            }
        }
    }
    std::erase_if(this->localReports, [&](const auto &entry) {
        const auto location = next->searchers.find(entry.first);
        return location == next->searchers.end() || location->second.owner != this->localMember.id;
    });
    this->sync.setWatcher(this->isStoreWatcher());
    this->snapshot.publish(std::move(next));
    this->callbacks.onSnapshotChanged();
}

void HostAgent::beginShutdown()
{
    this->stopping = true;
    std::vector<OutgoingHeartbeat> out;
    this->membership.leave(out);
    this->sendHeartbeats(out);
    this->publishSnapshot();
}

void HostAgent::onPaused()
{
    this->link->onPaused(SteadyClock::now());
}

void HostAgent::logStatusChanges()
{
    this->loop.schedule(SteadyClock::now() + statusCheckPeriod,
                        [this] { this->logStatusChanges(); });
    const AgentStatus current = this->status();
    if (current.ready != this->loggedReady)
        logEvent(current.ready ? LogEvent::Ready : LogEvent::NotReady,
                 "host=" + this->settings.name
                         + (current.ready ? "" : " reason=\"" + current.notReadyReason + "\""));
    this->loggedReady = current.ready;
    if (current.corruptChunks > this->loggedCorrupt)
        logEvent(LogEvent::TablesCorrupt, "count=" + std::to_string(current.corruptChunks));
    this->loggedCorrupt = current.corruptChunks;
}

AgentStatus HostAgent::status() const
{
    AgentStatus status;
    const Millis now = SteadyClock::now();
    status.revision = this->sync.revision();
    status.members = this->membership.others();
    status.members.push_back(this->membership.localMember());
    status.peers = this->link->counts();
    status.storeCalls = this->sync.storeCalls();
    status.corruptChunks = this->sync.corruptChunks();
    const bool isolated = now - this->lastPeerMessageAt > isolationLimit
                          && now - this->sync.lastStoreReplyAt() > isolationLimit;
    if (this->stopping)
        status.notReadyReason = "stopping";
    else if (!this->tables)
        status.notReadyReason = "no tables yet";
    else if (isolated)
        status.notReadyReason = "neither the store nor a peer was heard";
    status.ready = status.notReadyReason.empty();
    return status;
}

} // namespace quetzal
