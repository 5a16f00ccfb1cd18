#include "process/viewexchange.h"

#include "process/eventlog.h"
#include "quetzal/steadyclock.h"

#include <algorithm>
#include <chrono>

#include <Poco/Net/NetException.h>

namespace quetzal {

static constexpr Millis tickPeriod = Millis(200);
// The same while hosts are being found.
static constexpr Millis discoveryTickPeriod = Millis(50);
// Time for which a message is retransmitted if it is not acknowledged.
static constexpr Millis messageLifetime = Millis(400);
// Time for which lost hosts still count towards the fleet's capacity, because they have spent their
// share of the budgets.
static constexpr Millis lostHostRetention = Millis(20'000);
// Time after the start for which the initial capacity of the fleet is kept, because this host does
// not know all others yet.
static constexpr Millis settlingPeriod = Millis(5000);
// Time after its start for which another host is not used as a peer, because it is warming up.
static constexpr Millis warmupPeriod = Millis(1000);
// Number of hosts from which on only some of them follow the store.
static constexpr std::size_t minLargeFleet = 20;
// Number of hosts in each zone of a large fleet that follow the store.
static constexpr std::size_t storeReadersPerZone = 2;
// Maximum number of hosts that a log line names.
static constexpr std::size_t maxLoggedHosts = 12;
// Number of hosts that are pinged at once when the view has a new revision.
static constexpr std::size_t revisionPings = 4;
// The settings have no secret, so the signature of messages serves only as a checksum.
static constexpr const char *unkeyedSecret = "quetzalchute-unkeyed";

static MemberInfo makeLocalMember(const GatewaySettings &settings)
{
    MemberInfo info;
    info.id = { stableHash(settings.heartbeatAddress) };
    info.name = settings.name;
    info.zone = settings.zone;
    info.address = settings.heartbeatAddress;
    info.capacity = static_cast<float>(settings.capacity);
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    info.incarnation = { static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()) };
    return info;
}

ViewExchange::ViewExchange(EventLoop &loop, const GatewaySettings &settings, ServingView &view,
                           ViewExchangeHooks hooks)
    : loop(loop)
    , settings(settings)
    , view(view)
    , hooks(std::move(hooks))
    , membership(makeLocalMember(settings), MembershipTimes(),
                 stableHash(stableHash(settings.heartbeatAddress),
                            static_cast<std::uint64_t>(SteadyClock::now().count())))
    , random(static_cast<std::minstd_rand::result_type>(stableHash(settings.name) | 1))
{
    PeerCallbacks callbacks;
    callbacks.onHeartbeat = [this](const Heartbeat &heartbeat) { this->onHeartbeat(heartbeat); };
    callbacks.onMessage = [this](HostId from, const std::string &payload) {
        if (!this->link->mayBeStale(SteadyClock::now()))
            this->hooks.onMessage(from, payload);
    };
    callbacks.onUnresponsive = [this](HostId peer) { this->hooks.onPeerLost(peer); };
    callbacks.onResponsive = [](HostId) {};
    callbacks.onRestarted = [this](HostId peer) { this->hooks.onPeerLost(peer); };
    callbacks.onHeard = [this](HostId peer) {
        if (this->hooks.onHeard)
            this->hooks.onHeard(peer);
    };
    this->linkIncarnation = this->membership.localMember().incarnation;
    this->link = std::make_unique<PeerLink>(
            this->loop, settings.heartbeatAddress, this->membership.localMember().id,
            this->linkIncarnation, KeyRing({ { 0, unkeyedSecret } }), std::move(callbacks));
    HttpServerOptions options;
    options.maxConnections = 64;
    this->server = HttpServer::listen(
            this->loop, Poco::Net::SocketAddress(settings.viewAddress), options,
            [this](const std::shared_ptr<HttpExchange> &exchange) { this->serveView(*exchange); });
}

ViewExchange::~ViewExchange()
{
    *this->alive = false;
    this->loop.cancel(this->timer);
}

std::string ViewExchange::viewAddressOf(const std::string &heartbeatAddress) const
{
    const std::string host = heartbeatAddress.substr(0, heartbeatAddress.rfind(':'));
    return host + this->settings.viewAddress.substr(this->settings.viewAddress.rfind(':'));
}

std::string ViewExchange::heartbeatAddressOf(const std::string &viewAddress) const
{
    const std::string host = viewAddress.substr(0, viewAddress.rfind(':'));
    return host
           + this->settings.heartbeatAddress.substr(this->settings.heartbeatAddress.rfind(':'));
}

void ViewExchange::addSeeds(const std::vector<std::string> &seeds)
{
    std::vector<MemberInfo> infos;
    for (const std::string &seed : seeds) {
        MemberInfo info;
        info.address = this->heartbeatAddressOf(seed);
        info.name = info.address;
        info.id = { stableHash(info.address) };
        infos.push_back(std::move(info));
    }
    const Millis now = SteadyClock::now();
    this->membership.addSeeds(infos, now);
    std::vector<OutgoingHeartbeat> out;
    for (const MemberInfo &info : infos)
        this->membership.pingNow(info.id, now, out);
    this->sendHeartbeats(out);
}

void ViewExchange::start()
{
    this->startedAt = SteadyClock::now();
    this->view.freshness().setChangeDeadline(this->settings.changeDeadline);
    this->addSeeds(this->settings.seeds);
    this->tick();
}

void ViewExchange::leave()
{
    std::vector<OutgoingHeartbeat> out;
    this->membership.leave(out);
    this->sendHeartbeats(out);
}

void ViewExchange::sendMessage(HostId host, std::string payload)
{
    this->link->send(host, std::move(payload), messageLifetime);
}

void ViewExchange::sendHeartbeats(std::vector<OutgoingHeartbeat> &out)
{
    this->updateLinkPeers();
    for (const OutgoingHeartbeat &outgoing : out)
        this->link->sendHeartbeat(outgoing.to, outgoing.heartbeat);
}

void ViewExchange::updateLinkPeers()
{
    const Incarnation localIncarnation = this->membership.localMember().incarnation;
    if (localIncarnation != this->linkIncarnation) {
        this->linkIncarnation = localIncarnation;
        this->link->setIncarnation(localIncarnation);
    }
    const Millis now = SteadyClock::now();
    std::vector<MemberInfo> alive;
    std::vector<HostId> ids;
    std::vector<MemberInfo> members;
    std::vector<HostId> memberIds;
    for (const MemberInfo &member : this->membership.others()) {
        this->link->setAddress(member.id, member.address);
        // The zone of a seed is unknown until its first heartbeat.
        if (member.state != MemberState::Alive || member.zone.empty())
            continue;
        this->link->setPeerIncarnation(member.id, member.incarnation);
        auto &[incarnation, since] = this->aliveSince[member.id];
        if (incarnation != member.incarnation) {
            incarnation = member.incarnation;
            since = now;
        }
        members.push_back(member);
        memberIds.push_back(member.id);
        if (now - since < warmupPeriod)
            continue;
        alive.push_back(member);
        ids.push_back(member.id);
    }
    std::sort(memberIds.begin(), memberIds.end());
    if (memberIds != this->reportedMembers) {
        this->reportedMembers = memberIds;
        if (this->hooks.onMembersChanged)
            this->hooks.onMembersChanged(members);
    }
    std::sort(ids.begin(), ids.end());
    if (ids == this->reportedPeers)
        return;
    this->reportedPeers = ids;
    this->hooks.onPeersChanged(alive);
}

void ViewExchange::onHeartbeat(const Heartbeat &heartbeat)
{
    const Millis now = SteadyClock::now();
    this->membership.setRevision({ this->view.revision() });
    std::vector<OutgoingHeartbeat> out;
    this->membership.onHeartbeat(heartbeat, now, out);
    this->onConfirmation(heartbeat, now);
    this->sendHeartbeats(out);
    this->requestViewIfBehind(now);
}

void ViewExchange::tick()
{
    const Millis now = SteadyClock::now();
    const bool isDiscovering = this->membership.isDiscovering(now);
    this->timer = this->loop.schedule(now + (isDiscovering ? discoveryTickPeriod : tickPeriod),
                                      [this] { this->tick(); });
    this->membership.setRevision({ this->view.revision() });
    std::vector<OutgoingHeartbeat> out;
    this->membership.onTimer(now, out);
    this->sendHeartbeats(out);
    this->updateFleetCapacity(now);
    this->updateReaders(now);
    this->updateFreshness(now);
    this->announceRevision();
    this->requestViewIfBehind(now);
    this->logConfirmation(now);
}

// Logs the hosts whose state has changed since it was last logged, up to maxLoggedHosts of them.
void ViewExchange::logPeers(std::uint32_t count)
{
    std::string names;
    std::size_t changed = 0;
    for (const MemberInfo &member : this->membership.others()) {
        const auto [known, isNew] = this->loggedStates.try_emplace(member.id, member.state);
        if (!isNew && known->second == member.state)
            continue;
        known->second = member.state;
        if (++changed > maxLoggedHosts)
            continue;
        names += (names.empty() ? "" : ",") + member.name + "="
                 + std::string(memberStateNames[static_cast<std::size_t>(member.state)]);
    }
    logEvent(LogEvent::PeersChanged, "alive=" + std::to_string(count) + " changed="
                                             + std::to_string(changed) + " hosts=" + names);
}

void ViewExchange::updateFleetCapacity(Millis now)
{
    const auto count = static_cast<std::uint32_t>(this->membership.eligible(now).size());
    if (count != this->hostCount) {
        this->hostCount = count;
        this->logPeers(count);
    }
    // A host that knows no others cannot tell a fleet of one from a network partition, and one that
    // has just started does not know all hosts yet.
    if (count < 2 || now - this->startedAt < settlingPeriod)
        return;
    double fleetCapacity = 0;
    for (const MemberInfo &member : this->membership.eligible(now))
        fleetCapacity += member.capacity / this->membership.localMember().capacity;
    if (fleetCapacity >= this->peakFleetCapacity) {
        this->peakFleetCapacityAt = now;
        if (fleetCapacity == this->peakFleetCapacity)
            return;
    } else if (now - this->peakFleetCapacityAt < lostHostRetention) {
        return;
    }
    this->peakFleetCapacity = fleetCapacity;
    this->peakFleetCapacityAt = now;
    this->hooks.onFleetCapacityChanged(fleetCapacity);
}

// In a large fleet only the hosts with the lowest ids of each zone follow the store; the others get
// the view from them. While hosts disagree about the members of a zone it may have too many or too
// few readers; in the latter case the readers of other zones suffice.
void ViewExchange::updateReaders(Millis now)
{
    std::vector<MemberInfo> members = this->membership.eligible(now);
    std::sort(members.begin(), members.end(),
              [](const MemberInfo &a, const MemberInfo &b) { return a.id < b.id; });
    const bool isLargeFleet = members.size() >= minLargeFleet;
    const HostId localId = this->membership.localMember().id;
    std::map<std::string, std::size_t> readersOfZone;
    std::size_t rank = 0;
    this->otherReaders.clear();
    for (const MemberInfo &member : members) {
        if (member.id == localId
            || (isLargeFleet && ++readersOfZone[member.zone] > storeReadersPerZone))
            continue;
        this->otherReaders.push_back(member.id);
        rank += member.id < localId;
    }
    this->view.freshness().setRank(rank);
    const auto precedingHosts
            = std::count_if(members.begin(), members.end(), [&](const MemberInfo &member) {
                  return member.zone == this->settings.zone && member.id < localId;
              });
    const bool onStandby
            = isLargeFleet && static_cast<std::size_t>(precedingHosts) >= storeReadersPerZone;
    if (onStandby == this->standby)
        return;
    this->standby = onStandby;
    this->hooks.onStandbyChanged(onStandby);
}

void ViewExchange::onPaused()
{
    const Millis now = SteadyClock::now();
    this->link->onPaused(now);
    this->view.freshness().onPaused(now);
}

void ViewExchange::onConfirmation(const Heartbeat &heartbeat, Millis now)
{
    // A host that is ahead confirms changes that this view lacks, and a heartbeat that waited in
    // the socket while the process was paused is older than it says.
    const bool isUsable = heartbeat.kind == HeartbeatKind::Confirmation
                          && heartbeat.sender.revision.value <= this->view.revision()
                          && !this->link->mayBeStale(now);
    if (isUsable)
        this->view.freshness().confirmByPeer(now - Millis(static_cast<double>(heartbeat.sequence)));
}

// A host on standby polls the store at long intervals, and the store's readers do the rest. A feed
// that knows that its store does not answer retries by itself.
void ViewExchange::updateFreshness(Millis now)
{
    ViewFreshness &freshness = this->view.freshness();
    const Millis wait = freshness.maxCallWait(now);
    if (wait != this->maxCallWait) {
        this->maxCallWait = wait;
        this->hooks.onMaxCallWaitChanged(wait);
    }
    if (this->standby || !this->hooks.isStoreHealthy())
        return;
    if (freshness.takeDoubt(now)) {
        logEvent(LogEvent::ViewDoubted, this->confirmationFields(now));
        this->hooks.onFeedDoubted();
    }
    if (!freshness.takeConfirmation(now))
        return;
    std::vector<OutgoingHeartbeat> out;
    for (const HostId reader : this->otherReaders)
        this->membership.confirm(reader, freshness.age(now), out);
    this->sendHeartbeats(out);
}

// Pings some hosts at once when the view has a new revision; they request it and ping others in
// turn.
void ViewExchange::announceRevision()
{
    if (this->view.revision() == this->announcedRevision || this->hostCount < minLargeFleet)
        return;
    this->announcedRevision = this->view.revision();
    this->membership.setRevision({ this->announcedRevision });
    std::vector<MemberInfo> members = this->membership.others();
    std::vector<OutgoingHeartbeat> out;
    for (std::size_t i = 0; i < revisionPings && !members.empty(); ++i) {
        const std::size_t index = this->random() % members.size();
        if (members[index].state == MemberState::Alive)
            this->membership.pingNow(members[index].id, SteadyClock::now(), out);
        members.erase(members.begin() + static_cast<std::ptrdiff_t>(index));
    }
    this->sendHeartbeats(out);
}

std::string ViewExchange::confirmationFields(Millis now) const
{
    const Millis age = std::min(this->view.freshness().age(now), now - this->startedAt);
    const FeedStatus feed = this->hooks.feedStatus();
    const auto millisSince = [&](Millis time) {
        const Millis span = std::min(now - time, now - this->startedAt);
        return std::to_string(static_cast<long>(span.count()));
    };
    return "age_ms=" + std::to_string(static_cast<int>(age.count()))
           + " revision=" + this->view.position().toString()
           + " tables=" + std::to_string(this->view.tablesRevision().value) + " store_answers="
           + (this->hooks.isStoreHealthy() ? "1" : "0") + " standby=" + (this->standby ? "1" : "0")
           + " feed=" + std::string(feedStepNames[static_cast<std::size_t>(feed.step)])
           + " feed_ms=" + millisSince(feed.stepSince) + " answer_ms="
           + millisSince(feed.answeredAt) + " feed_failures=" + std::to_string(feed.failures)
           + " refused_tables=" + std::to_string(feed.refusedTables);
}

bool ViewExchange::isUnconfirmed(Millis now) const
{
    const Millis age = std::min(this->view.freshness().age(now), now - this->startedAt);
    return !this->standby && age > this->settings.changeDeadline;
}

void ViewExchange::logConfirmation(Millis now)
{
    if (this->isUnconfirmed(now) == this->loggedUnconfirmed)
        return;
    this->loggedUnconfirmed = !this->loggedUnconfirmed;
    logEvent(this->loggedUnconfirmed ? LogEvent::ViewUnconfirmed : LogEvent::ViewConfirmed,
             this->confirmationFields(now));
}

} // namespace quetzal
