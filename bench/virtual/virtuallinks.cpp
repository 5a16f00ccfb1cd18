// Relays, their connections to searchers, and the channels between hosts of a simulated tier.
#include "bench/virtual/virtualhost.h"

#include <algorithm>

namespace quetzal {

// One-way delay within a zone.
static constexpr Millis intraZoneDelay = Millis(0.2);
// A message between hosts is retransmitted for at most this long.
static constexpr Millis messageLifetime = Millis(2000);
// Connections of each host to each searcher in TierMode::Direct.
static constexpr std::uint32_t directConnections = 3;
static constexpr Millis tcpRetransmission = Millis(200);
// A query id holds the number of its entry host from this bit on.
static constexpr int queryShift = 40;

VirtualTier::Relay &VirtualTier::relayFor(Host &host, SearcherId searcher)
{
    std::unique_ptr<Relay> &entry = host.relays[searcher];
    if (!entry) {
        const bool direct = this->setup.mode == TierMode::Direct;
        const std::uint32_t slots = direct ? directConnections : this->setup.slots;
        const std::uint32_t cap = direct ? directConnections : this->setup.connectionCap;
        entry = std::make_unique<Relay>(
                searcher, SearcherLimits{ slots, cap, this->setup.connectCost }, this->setup.relay);
    }
    return *entry;
}

void VirtualTier::deliverAttempt(Host &relayHost, std::uint32_t entry, const Attempt &attempt,
                                 Millis budget)
{
    // The budget counts from the arrival, so it is unknown how much of it has passed in the pause:
    // work that another host sent meanwhile is refused.
    if (relayHost.runningDeferredEvents && entry != relayHost.number) {
        AttemptResult result;
        result.id = attempt.id;
        result.outcome = { Verdict::NotRun, Fault::ProcessPaused, Hop::Relay };
        this->sendResult(relayHost, entry, result);
        return;
    }
    Relay &target = this->relayFor(relayHost, attempt.searcher);
    const WorkKey key = { hostId(entry), attempt.id };
    const Millis now = this->clock.now();
    target.pendingWork[key] = attempt;
    target.deadlines[key] = now + budget;
    RelayActions actions;
    target.queue.submit({ key, now + budget, attempt.repeatable }, now, actions);
    this->applyRelayActions(relayHost, target, actions);
}

void VirtualTier::applyRelayActions(Host &host, Relay &relay, const RelayActions &actions)
{
    for (const RelayAction &action : actions) {
        switch (action.kind) {
        case RelayActionKind::Open:
            this->openConnection(host, relay, action.connection);
            break;
        case RelayActionKind::Send:
            this->sendToSearcher(host, relay, action.connection, action.work);
            break;
        case RelayActionKind::Probe: {
            const std::uint64_t remote = relay.connections.at(action.connection).remote;
            const ConnectionNumber number = action.connection;
            this->clock.after(intraZoneDelay, [this, &host, &relay, remote, number] {
                this->searcherById(relay.id).probe(remote, [this, &host, &relay, number] {
                    this->clock.after(intraZoneDelay, [this, &host, &relay, number] {
                        this->runOnHost(host.number, [this, &host, &relay, number] {
                            RelayActions next;
                            relay.queue.onProbeReply(number, this->clock.now(), next);
                            this->applyRelayActions(host, relay, next);
                        });
                    });
                });
            });
            break;
        }
        case RelayActionKind::Close:
            if (const auto found = relay.connections.find(action.connection);
                found != relay.connections.end()) {
                const std::uint64_t remote = found->second.remote;
                relay.connections.erase(found);
                this->clock.after(intraZoneDelay, [this, id = relay.id, remote] {
                    this->searcherById(id).disconnect(remote);
                });
            }
            break;
        case RelayActionKind::Report: {
            if (relay.pendingWork.erase(action.work) == 0)
                break;
            relay.deadlines.erase(action.work);
            AttemptResult result;
            result.id = action.work.attempt;
            result.outcome = action.outcome;
            for (std::uint32_t entry = 0; entry < this->setup.hosts; ++entry) {
                if (hostId(entry) == action.work.entry)
                    this->sendResult(host, entry, result);
            }
            break;
        }
        }
    }
    this->armRelay(host, relay);
}

void VirtualTier::armRelay(Host &host, Relay &relay)
{
    const Millis next = relay.queue.nextTimer();
    if (next == relay.timerAt || next == Millis::never())
        return;
    relay.timerAt = next;
    this->clock.at(next, [this, &host, &relay, next] {
        this->runOnHost(host.number, [this, &host, &relay, next] {
            if (relay.timerAt != next)
                return;
            relay.timerAt = Millis::never();
            RelayActions actions;
            relay.queue.onTimer(this->clock.now(), actions);
            this->applyRelayActions(host, relay, actions);
        });
    });
}

Millis VirtualTier::searcherDelay(const Host &host, SearcherId searcher)
{
    if (this->zones.at(searcher) == this->zoneOfHost(host.number))
        return intraZoneDelay;
    // Between zones a lost TCP segment is delayed by the retransmission timeout of the kernel.
    const bool lost = this->randomFraction() < this->setup.loss;
    return this->setup.zoneOneWayDelay + this->setup.zoneJitter * this->randomFraction()
           + (lost ? tcpRetransmission : Millis(0));
}

void VirtualTier::openConnection(Host &host, Relay &relay, ConnectionNumber number)
{
    relay.connections[number] = {};
    const Millis oneWayDelay = this->searcherDelay(host, relay.id);
    this->clock.after(this->setup.connectCost + oneWayDelay * 2, [this, &host, &relay, number] {
        const std::uint64_t remote = this->searcherById(relay.id).connect();
        this->runOnHost(host.number, [this, &host, &relay, number, remote] {
            const auto found = relay.connections.find(number);
            if (found == relay.connections.end()) {
                if (remote != 0)
                    this->searcherById(relay.id).disconnect(remote);
                return;
            }
            RelayActions actions;
            if (remote == 0) {
                relay.connections.erase(found);
                relay.queue.onConnectFailed(number, this->clock.now(), actions);
            } else {
                found->second.remote = remote;
                relay.queue.onConnected(number, this->clock.now(), actions);
            }
            this->applyRelayActions(host, relay, actions);
        });
    });
}

void VirtualTier::sendToSearcher(Host &host, Relay &relay, ConnectionNumber number,
                                 const WorkKey &key)
{
    const Attempt &attempt = relay.pendingWork.at(key);
    FakeRequest request;
    const std::uint32_t entryNumber
            = static_cast<std::uint32_t>(key.attempt.query.value >> queryShift);
    const Host &entry = *this->hosts[entryNumber];
    const auto known = entry.requests.find(key.attempt.query);
    request.requestId = known == entry.requests.end() ? 0 : known->second;
    request.version = attempt.version;
    request.shard = attempt.shard;
    request.repeatable = attempt.repeatable;
    request.deadline = relay.deadlines.at(key);
    const std::uint64_t remote = relay.connections.at(number).remote;
    const Millis sentAt = this->clock.now();
    const Millis oneWayDelay = this->searcherDelay(host, relay.id);
    this->clock.after(oneWayDelay, [this, &host, &relay, remote, request, number, key, sentAt] {
        const auto answer = [this, &host, &relay, number, key, sentAt](const FakeReply &reply) {
            const Millis replyDelay = this->searcherDelay(host, relay.id);
            this->clock.after(replyDelay, [this, &host, &relay, number, key, reply, sentAt] {
                this->runOnHost(host.number, [this, &host, &relay, number, key, reply, sentAt] {
                    const auto work = relay.pendingWork.find(key);
                    if (work == relay.pendingWork.end() || !relay.connections.contains(number))
                        return;
                    AttemptResult result;
                    result.id = key.attempt;
                    result.outcome = reply.outcome;
                    result.answer.version = work->second.version;
                    result.answer.shard = work->second.shard;
                    result.answer.documents = reply.documents;
                    result.serviceTime = this->clock.now() - sentAt;
                    if (reply.outcome.code == Fault::VersionMissing)
                        result.holdings = this->searcherById(relay.id).holdings;
                    relay.pendingWork.erase(work);
                    relay.deadlines.erase(key);
                    RelayActions actions;
                    relay.queue.onReply(number, this->clock.now(), actions);
                    const auto to
                            = static_cast<std::uint32_t>(key.attempt.query.value >> queryShift);
                    this->sendResult(host, to, result);
                    if (reply.draining && !relay.knowsDraining) {
                        relay.knowsDraining = true;
                        relay.queue.setDraining(true, this->clock.now(), actions);
                        this->broadcast(relay.id, this->searcherById(relay.id).holdings, true);
                    }
                    this->applyRelayActions(host, relay, actions);
                });
            });
        };
        this->searcherById(relay.id).submit(remote, request, answer);
    });
}

void VirtualTier::sendResult(Host &relayHost, std::uint32_t entry, const AttemptResult &result)
{
    this->sendMessage(relayHost.number, entry,
                      [this, entry, result] { this->deliverResult(*this->hosts[entry], result); });
}

void VirtualTier::deliverResult(Host &host, const AttemptResult &result)
{
    const auto found = host.queries.find(result.id.query);
    if (found == host.queries.end())
        return;
    QueryActions actions;
    found->second->onResult(this->clock.now(), result, actions);
    this->applyActions(host, result.id.query, actions);
}

void VirtualTier::sendMessage(std::uint32_t from, std::uint32_t to, VirtualTime::Event event)
{
    if (from == to) {
        this->clock.after(Millis(0), [this, to, event = std::move(event)]() mutable {
            this->runOnHost(to, std::move(event));
        });
        return;
    }
    const std::uint64_t number = ++this->lastMessage;
    this->inFlight[number] = std::move(event);
    Channel &channel = *this->hosts[from]->channels[to];
    const Millis now = this->clock.now();
    this->transmit(from, to, channel.send(std::to_string(number), now, now + messageLifetime));
    this->armChannel(from, to);
}

void VirtualTier::transmit(std::uint32_t from, std::uint32_t to, const ChannelDatagram &datagram)
{
    const bool sameZone = this->zoneOfHost(from) == this->zoneOfHost(to);
    if (!sameZone && this->randomFraction() < this->setup.loss)
        return;
    const Millis delay = sameZone ? intraZoneDelay
                                  : this->setup.zoneOneWayDelay
                                            + this->setup.zoneJitter * this->randomFraction();
    this->clock.after(delay, [this, from, to, datagram] {
        this->runOnHost(to, [this, from, to, datagram] { this->receive(from, to, datagram); });
    });
}

void VirtualTier::receive(std::uint32_t from, std::uint32_t to, const ChannelDatagram &datagram)
{
    Channel &channel = *this->hosts[to]->channels[from];
    const Channel::ReceiveResult result = channel.onReceive(datagram.header, this->clock.now());
    if (result == Channel::ReceiveResult::Deliver) {
        const std::uint64_t number = std::stoull(datagram.payload);
        const auto found = this->inFlight.find(number);
        if (found != this->inFlight.end()) {
            const VirtualTime::Event event = std::move(found->second);
            this->inFlight.erase(found);
            event();
        }
    }
    if (channel.ackDue())
        this->transmit(to, from, channel.makeAck());
    this->checkChannel(to, from);
}

void VirtualTier::armChannel(std::uint32_t from, std::uint32_t to)
{
    Host &host = *this->hosts[from];
    const Millis next = host.channels[to]->nextTimer();
    if (next == host.channelTimers[to] || next == Millis::never())
        return;
    host.channelTimers[to] = next;
    this->clock.at(next, [this, from, to, next] {
        this->runOnHost(from, [this, from, to, next] {
            Host &sender = *this->hosts[from];
            if (sender.channelTimers[to] != next)
                return;
            sender.channelTimers[to] = Millis::never();
            for (const ChannelDatagram &again : sender.channels[to]->onTimer(this->clock.now()))
                this->transmit(from, to, again);
            this->checkChannel(from, to);
            this->armChannel(from, to);
        });
    });
}

void VirtualTier::checkChannel(std::uint32_t from, std::uint32_t to)
{
    Host &host = *this->hosts[from];
    const bool unresponsive = host.channels[to]->isUnresponsive(this->clock.now());
    if (unresponsive == host.unresponsiveHosts.contains(to))
        return;
    if (!unresponsive) {
        host.unresponsiveHosts.erase(to);
        this->rebuildOwnership(host);
        return;
    }
    host.unresponsiveHosts.insert(to);
    this->rebuildOwnership(host);
    std::vector<AttemptId> lost;
    for (const auto &[attempt, owner] : host.attemptOwners) {
        if (owner == to)
            lost.push_back(attempt);
    }
    for (const AttemptId &attempt : lost) {
        AttemptResult result;
        result.id = attempt;
        result.outcome = { Verdict::MayHaveRun, Fault::RelayLost, Hop::Entry };
        this->deliverResult(host, result);
    }
}

void VirtualTier::broadcast(const SearcherId &id, const std::vector<Holding> &holdings,
                            bool draining)
{
    this->clock.after(this->setup.zoneOneWayDelay, [this, id, holdings, draining] {
        for (const auto &host : this->hosts) {
            this->runOnHost(host->number, [&host, id, holdings, draining] {
                host->searchPool->versions.report(id, holdings);
                host->searchPool->versions.setDraining(id, draining);
                host->orderPool->versions.setDraining(id, draining);
            });
        }
    });
}

void VirtualTier::reportHoldings(std::size_t index, Millis delay)
{
    // The owner learns of the change from its next status request.
    this->clock.after(delay, [this, index] {
        FakeSearcher &searcher = *this->searchers[index];
        if (!searcher.isUp())
            return;
        const SearcherId id = this->searcherIds[index];
        this->broadcast(id, searcher.holdings, searcher.isDraining());
        for (const auto &host : this->hosts) {
            const auto relay = host->relays.find(id);
            if (relay == host->relays.end())
                continue;
            if (relay->second->knowsDraining == searcher.isDraining())
                continue;
            relay->second->knowsDraining = searcher.isDraining();
            RelayActions actions;
            relay->second->queue.setDraining(searcher.isDraining(), this->clock.now(), actions);
            this->applyRelayActions(*host, *relay->second, actions);
        }
    });
}

} // namespace quetzal
