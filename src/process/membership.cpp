#include "process/membership.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace quetzal {

static constexpr std::size_t maxUpdatesPerHeartbeat = 24;
static constexpr std::size_t maxIntroductionsPerHeartbeat = 8;
static constexpr std::size_t indirectPingCount = 2;
// Flaps within this time of the previous one are counted together.
static constexpr Millis flapWindow = Millis(60'000);
static constexpr int toleratedFlaps = 2;
static constexpr Millis minIneligibility = Millis(5000);
static constexpr Millis maxIneligibility = Millis(60'000);
// Time between two calls of checkSuspects.
static constexpr Millis sweepPeriod = Millis(200);
// Time after a host was added in which more are looked for, with pings at a part of their period.
static constexpr Millis discoveryTime = Millis(1000);
static constexpr double discoveryPeriodPart = 0.125;

Membership::Membership(const MemberInfo &self, const MembershipTimes &times, std::uint64_t seed)
    : self(self)
    , times(times)
    , random(seed)
{}

// Orders the updates about one host by incarnation, refutation and state.
static auto precedence(const MemberUpdate &update)
{
    return std::tuple(update.incarnation, update.refutation, update.state);
}

static MemberUpdate updateOf(const MemberInfo &info)
{
    return { info.id, info.incarnation, info.refutation, info.state };
}

static bool serves(MemberState state)
{
    // A suspect still owns its searchers, because most suspicions are refuted.
    return state == MemberState::Alive || state == MemberState::Suspect;
}

int Membership::transmissionsPerUpdate() const
{
    // Logarithmic in the number of hosts, so that gossip reaches all of them with high probability.
    return 3 + static_cast<int>(std::log2(2.0 + static_cast<double>(this->members.size())));
}

void Membership::queueUpdate(Member &member)
{
    // Failures and their refutations are sent before updates about hosts that have started.
    const bool urgent = member.info.state != MemberState::Alive || member.info.refutation > 0;
    if (urgent && !member.urgentUpdate)
        this->urgentUpdates.push_back(member.info.id);
    if (!urgent && member.remainingUpdates == 0)
        this->updateQueue.push_back(member.info.id);
    member.urgentUpdate = member.urgentUpdate || urgent;
    member.remainingUpdates = this->transmissionsPerUpdate();
}

void Membership::countFlap(Member &member, Millis now) const
{
    if (now - member.lastFlapAt > flapWindow)
        member.flapCount = 0;
    member.flapCount += 1;
    member.lastFlapAt = now;
    if (member.flapCount <= toleratedFlaps)
        return;
    const double doubled = std::pow(2.0, std::min(member.flapCount - toleratedFlaps - 1, 10));
    member.ineligibleUntil = now + std::min(maxIneligibility, minIneligibility * doubled);
}

void Membership::setState(Member &member, MemberState state, Millis now)
{
    const bool wasServing = serves(member.info.state);
    if (!wasServing && serves(state))
        this->countFlap(member, now);
    if (wasServing != serves(state))
        this->changes += 1;
    member.info.state = state;
    member.stateSince = now;
    if (state != MemberState::Alive)
        this->nonAlive.insert(member.info.id);
    this->queueUpdate(member);
}

void Membership::applySelfUpdate(const MemberUpdate &update)
{
    // Incarnations are start times, so an earlier run of this host has a larger one if the clock
    // was ahead at that time.
    if (update.incarnation > this->self.incarnation) {
        this->self.incarnation = { update.incarnation.value + 1 };
        return;
    }
    const bool mustRefute = update.incarnation == this->self.incarnation
                            && update.state > this->self.state
                            && update.refutation >= this->self.refutation;
    if (mustRefute)
        this->self.refutation = update.refutation + 1;
}

bool Membership::supersede(Member &member, const MemberUpdate &update, Millis now)
{
    if (precedence(update) <= precedence(updateOf(member.info)))
        return false;
    if (update.incarnation > member.info.incarnation)
        this->changes += 1;
    member.info.incarnation = update.incarnation;
    member.info.refutation = update.refutation;
    this->setState(member, update.state, now);
    return true;
}

void Membership::applyUpdate(const MemberUpdate &update, Millis now)
{
    if (update.id == this->self.id) {
        this->applySelfUpdate(update);
        return;
    }
    // An unknown host is added by an introduction in another heartbeat, or as a seed.
    const auto found = this->members.find(update.id);
    if (found != this->members.end())
        this->supersede(found->second, update, now);
}

void Membership::applyMember(const MemberInfo &info, Millis now)
{
    const auto found = this->members.find(info.id);
    if (info.id == this->self.id || found != this->members.end()) {
        // Does not change the address, which is set by the list of seeds.
        this->applyUpdate(updateOf(info), now);
        if (found == this->members.end())
            return;
        MemberInfo &known = found->second.info;
        // Completes a seed of which only the address was known.
        if (known.zone != info.zone && info.incarnation == known.incarnation) {
            known.zone = info.zone;
            known.name = info.name;
            known.capacity = info.capacity;
            this->changes += 1;
        }
        return;
    }
    if (info.state == MemberState::Dead)
        return;
    Member member;
    member.info = info;
    member.stateSince = now;
    member.remainingIntroductions = this->transmissionsPerUpdate();
    member.remainingUpdates = member.remainingIntroductions;
    this->updateQueue.push_back(info.id);
    this->add(member);
}

void Membership::add(const Member &member)
{
    this->addedAt = member.stateSince;
    this->members.emplace(member.info.id, member);
    // Inserted at a random position, so that hosts that read the same list do not ping in the same
    // order.
    this->pingOrder.push_back(member.info.id);
    std::swap(this->pingOrder.back(), this->pingOrder[this->random() % this->pingOrder.size()]);
    if (member.info.state != MemberState::Alive)
        this->nonAlive.insert(member.info.id);
    this->changes += 1;
}

void Membership::addSeeds(const std::vector<MemberInfo> &seeds, Millis now)
{
    for (const MemberInfo &seed : seeds) {
        if (seed.id == this->self.id)
            continue;
        const auto found = this->members.find(seed.id);
        if (found != this->members.end()) {
            found->second.info.address = seed.address;
            continue;
        }
        // Not gossiped, because every host reads the list.
        Member member;
        member.info = seed;
        member.stateSince = now;
        this->add(member);
    }
}

Heartbeat Membership::makeHeartbeat(HeartbeatKind kind, std::uint64_t sequence)
{
    Heartbeat heartbeat;
    heartbeat.kind = kind;
    heartbeat.sequence = sequence;
    heartbeat.sender = this->self;
    this->attachUpdates(this->urgentUpdates, true, heartbeat);
    this->attachUpdates(this->updateQueue, false, heartbeat);
    return heartbeat;
}

void Membership::attachUpdates(std::deque<HostId> &queue, bool urgent, Heartbeat &heartbeat)
{
    const std::size_t attached = heartbeat.updates.size() + heartbeat.introductions.size();
    const std::size_t count = std::min(maxUpdatesPerHeartbeat - attached, queue.size());
    for (std::size_t i = 0; i < count; ++i) {
        const HostId id = queue.front();
        queue.pop_front();
        const auto found = this->members.find(id);
        // Skips a host that was moved to the urgent queue in the meantime.
        if (found == this->members.end() || found->second.urgentUpdate != urgent)
            continue;
        Member &member = found->second;
        const bool isIntroduction
                = member.remainingIntroductions > 0
                  && heartbeat.introductions.size() < maxIntroductionsPerHeartbeat;
        if (isIntroduction) {
            member.remainingIntroductions -= 1;
            heartbeat.introductions.push_back(member.info);
        } else {
            heartbeat.updates.push_back(updateOf(member.info));
        }
        if (--member.remainingUpdates > 0)
            queue.push_back(id);
        else
            member.urgentUpdate = false;
    }
}

void Membership::ping(HostId host, Millis now, std::vector<OutgoingHeartbeat> &out)
{
    const std::uint64_t sequence = ++this->lastSequence;
    this->pendingPings.push_back({ sequence, host, now, false });
    Heartbeat heartbeat = this->makeHeartbeat(HeartbeatKind::Ping, sequence);
    // Includes the known state of the receiver, so that it can refute a suspicion.
    heartbeat.updates.push_back(updateOf(this->members.at(host).info));
    out.push_back({ host, std::move(heartbeat) });
}

std::optional<HostId> Membership::nextTarget()
{
    for (std::size_t tries = 0; tries <= this->pingOrder.size(); ++tries) {
        if (this->pingOrder.empty()) {
            for (const auto &[id, member] : this->members)
                this->pingOrder.push_back(id);
            std::sort(this->pingOrder.begin(), this->pingOrder.end());
            std::shuffle(this->pingOrder.begin(), this->pingOrder.end(), this->random);
            if (this->pingOrder.empty())
                return std::nullopt;
        }
        const HostId host = this->pingOrder.back();
        this->pingOrder.pop_back();
        const auto found = this->members.find(host);
        if (found == this->members.end())
            continue;
        // Dead hosts are pinged less often, so that they are found again after a network partition.
        const bool dead = found->second.info.state == MemberState::Dead;
        if (!dead || this->random() % 4 == 0)
            return host;
    }
    return std::nullopt;
}

void Membership::sendIndirectPings(PendingPing &pending, Millis now,
                                   std::vector<OutgoingHeartbeat> &out)
{
    pending.indirectSent = true;
    std::vector<HostId> helpers;
    for (const auto &[id, member] : this->members) {
        if (id != pending.host && member.info.state == MemberState::Alive)
            helpers.push_back(id);
    }
    std::sort(helpers.begin(), helpers.end());
    std::shuffle(helpers.begin(), helpers.end(), this->random);
    if (helpers.size() > indirectPingCount)
        helpers.resize(indirectPingCount);
    for (const HostId helper : helpers) {
        Heartbeat heartbeat = this->makeHeartbeat(HeartbeatKind::IndirectPing, pending.sequence);
        heartbeat.subject = pending.host;
        out.push_back({ helper, std::move(heartbeat) });
    }
    // Repeats the direct ping, because a missing acknowledgement is mostly due to one lost
    // datagram.
    Heartbeat repeated = this->makeHeartbeat(HeartbeatKind::Ping, pending.sequence);
    repeated.updates.push_back(updateOf(this->members.at(pending.host).info));
    out.push_back({ pending.host, std::move(repeated) });
    static_cast<void>(now);
}

void Membership::checkPending(Millis now, std::vector<OutgoingHeartbeat> &out)
{
    std::vector<PendingPing> remaining;
    for (PendingPing &ping : this->pendingPings) {
        const auto found = this->members.find(ping.host);
        if (found == this->members.end())
            continue;
        if (now >= ping.sentAt + this->times.ackTimeout * 3) {
            if (found->second.info.state == MemberState::Alive)
                this->setState(found->second, MemberState::Suspect, now);
            continue;
        }
        if (!ping.indirectSent && now >= ping.sentAt + this->times.ackTimeout)
            this->sendIndirectPings(ping, now, out);
        remaining.push_back(ping);
    }
    this->pendingPings = std::move(remaining);
    // Relayed pings are kept for longer than their origin waits for the acknowledgement.
    std::erase_if(this->relayedPings, [&](const RelayedPing &entry) {
        return now - entry.sentAt > this->times.ackTimeout * 4;
    });
}

void Membership::checkSuspects(Millis now)
{
    std::set<HostId> remaining;
    const std::set<HostId> checked = this->nonAlive;
    for (const HostId id : checked) {
        const auto found = this->members.find(id);
        if (found == this->members.end() || found->second.info.state == MemberState::Alive)
            continue;
        Member &member = found->second;
        const Millis age = now - member.stateSince;
        const MemberState state = member.info.state;
        const bool retentionExpired = age >= this->times.deadRetention;
        if (state == MemberState::Dead && retentionExpired) {
            this->members.erase(found);
            continue;
        }
        const bool timedOut = (state == MemberState::Suspect && age >= this->times.suspicionTimeout)
                              || (state == MemberState::Leaving && retentionExpired);
        if (timedOut)
            this->setState(member, MemberState::Dead, now);
        remaining.insert(id);
    }
    this->nonAlive = std::move(remaining);
}

void Membership::onTimer(Millis now, std::vector<OutgoingHeartbeat> &out)
{
    this->checkPending(now, out);
    if (now >= this->nextSweepAt) {
        this->nextSweepAt = now + sweepPeriod;
        this->checkSuspects(now);
    }
    if (now < this->nextPingAt)
        return;
    // Jitter prevents hosts that started together from pinging in lockstep.
    const double jitter = 0.8 + 0.4 * static_cast<double>(this->random() % 1000) / 1000;
    this->nextPingAt = now
                       + this->times.pingPeriod * jitter
                                 * (this->isDiscovering(now) ? discoveryPeriodPart : 1.0);
    if (const std::optional<HostId> target = this->nextTarget())
        this->ping(*target, now, out);
}

bool Membership::isDiscovering(Millis now) const
{
    return now - this->addedAt < discoveryTime;
}

Millis Membership::nextTimer() const
{
    Millis next = std::min(this->nextPingAt, this->nextSweepAt);
    for (const PendingPing &ping : this->pendingPings)
        next = std::min(next, ping.sentAt + this->times.ackTimeout * (ping.indirectSent ? 3 : 1));
    return next;
}

void Membership::onHeartbeat(const Heartbeat &heartbeat, Millis now,
                             std::vector<OutgoingHeartbeat> &out)
{
    this->applyMember(heartbeat.sender, now);
    const auto sender = this->members.find(heartbeat.sender.id);
    // Receiving a heartbeat proves that a suspect is alive, whatever other hosts report.
    const bool current = sender != this->members.end()
                         && heartbeat.sender.incarnation == sender->second.info.incarnation;
    // A host's own word counts, so that a corrupt revision holds only until its next heartbeat.
    if (current)
        sender->second.info.revision = heartbeat.sender.revision;
    if (current && heartbeat.sender.state == MemberState::Alive
        && sender->second.info.state == MemberState::Suspect)
        this->setState(sender->second, MemberState::Alive, now);
    for (const MemberInfo &info : heartbeat.introductions)
        this->applyMember(info, now);
    for (const MemberUpdate &update : heartbeat.updates)
        this->applyUpdate(update, now);
    switch (heartbeat.kind) {
    case HeartbeatKind::Ping: {
        Heartbeat ack = this->makeHeartbeat(HeartbeatKind::Ack, heartbeat.sequence);
        ack.subject = heartbeat.subject;
        if (sender != this->members.end())
            ack.updates.push_back(updateOf(sender->second.info));
        out.push_back({ heartbeat.sender.id, std::move(ack) });
        break;
    }
    case HeartbeatKind::IndirectPing: {
        if (!this->members.contains(heartbeat.subject))
            break;
        const std::uint64_t sequence = ++this->lastSequence;
        this->relayedPings.push_back({ sequence, heartbeat.sequence, heartbeat.sender.id, now });
        out.push_back({ heartbeat.subject, this->makeHeartbeat(HeartbeatKind::Ping, sequence) });
        break;
    }
    case HeartbeatKind::Ack:
        std::erase_if(this->pendingPings, [&](const PendingPing &ping) {
            return ping.sequence == heartbeat.sequence
                   && (ping.host == heartbeat.sender.id || ping.host == heartbeat.subject);
        });
        for (const RelayedPing &entry : this->relayedPings) {
            if (entry.sequence != heartbeat.sequence)
                continue;
            Heartbeat ack = this->makeHeartbeat(HeartbeatKind::Ack, entry.originSequence);
            ack.subject = heartbeat.sender.id;
            out.push_back({ entry.origin, std::move(ack) });
        }
        break;
    case HeartbeatKind::Confirmation:
        break;
    }
}

void Membership::pingNow(HostId host, Millis now, std::vector<OutgoingHeartbeat> &out)
{
    if (this->members.contains(host))
        this->ping(host, now, out);
}

void Membership::confirm(HostId host, Millis age, std::vector<OutgoingHeartbeat> &out)
{
    if (this->members.contains(host))
        out.push_back({ host, this->makeHeartbeat(HeartbeatKind::Confirmation,
                                                  static_cast<std::uint64_t>(age.count())) });
}

void Membership::probe(HostId host, Millis now, std::vector<OutgoingHeartbeat> &out)
{
    const auto found = this->members.find(host);
    if (found == this->members.end() || found->second.info.state != MemberState::Alive)
        return;
    const bool isPending = std::any_of(this->pendingPings.begin(), this->pendingPings.end(),
                                       [host](const PendingPing &p) { return p.host == host; });
    if (!isPending)
        this->ping(host, now, out);
}

void Membership::leave(std::vector<OutgoingHeartbeat> &out)
{
    this->self.state = MemberState::Leaving;
    this->changes += 1;
    std::vector<HostId> receivers;
    for (const auto &[id, member] : this->members)
        receivers.push_back(id);
    std::sort(receivers.begin(), receivers.end());
    // Sent to a bounded number of hosts, which gossip it to the others.
    std::shuffle(receivers.begin(), receivers.end(), this->random);
    static constexpr std::size_t maxLeaveNotifications = 16;
    if (receivers.size() > maxLeaveNotifications)
        receivers.resize(maxLeaveNotifications);
    for (const HostId host : receivers)
        out.push_back({ host, this->makeHeartbeat(HeartbeatKind::Ping, ++this->lastSequence) });
}

const MemberInfo *Membership::find(HostId host) const
{
    if (host == this->self.id)
        return &this->self;
    const auto found = this->members.find(host);
    return found == this->members.end() ? nullptr : &found->second.info;
}

std::vector<MemberInfo> Membership::others() const
{
    std::vector<MemberInfo> result;
    result.reserve(this->members.size());
    for (const auto &[id, member] : this->members)
        result.push_back(member.info);
    return result;
}

std::vector<MemberInfo> Membership::eligible(Millis now) const
{
    std::vector<MemberInfo> result;
    if (serves(this->self.state))
        result.push_back(this->self);
    for (const auto &[id, member] : this->members) {
        if (serves(member.info.state) && now >= member.ineligibleUntil)
            result.push_back(member.info);
    }
    return result;
}

std::vector<HostId> Membership::aheadOf(Revision revision) const
{
    std::vector<HostId> result;
    for (const auto &[id, member] : this->members) {
        if (member.info.revision > revision && serves(member.info.state))
            result.push_back(id);
    }
    std::sort(result.begin(), result.end());
    return result;
}

std::size_t Membership::stateBytes() const
{
    std::size_t bytes = sizeof(*this) + this->pingOrder.capacity() * sizeof(HostId)
                        + (this->updateQueue.size() + this->urgentUpdates.size()) * sizeof(HostId);
    for (const auto &[id, member] : this->members) {
        bytes += sizeof(id) + sizeof(member) + 2 * sizeof(void *);
        bytes += member.info.name.capacity() + member.info.zone.capacity()
                 + member.info.address.capacity();
    }
    return bytes;
}

} // namespace quetzal
