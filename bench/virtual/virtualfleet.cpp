#include "bench/virtual/virtualfleet.h"

#include "connection/frame.h"
#include "connection/messages.h"

#include <algorithm>

namespace quetzal {

// Extra delay of a reliable message whose first transmission is lost.
static constexpr Millis retransmitDelay = Millis(40);
// Bytes that the signed frame and the channel header add to a message.
static constexpr std::size_t channelOverheadBytes = KeyRing::overheadBytes + 65;

struct VirtualFleet::Host
{
    Host(const MemberInfo &info, std::uint64_t seed)
        : membership(info, MembershipTimes(), seed)
        , sync(SyncTimings(), seed + 1)
    {}

    Membership membership;
    TableSync sync;
    Revision activeRevision;
    Millis tableSyncTimer = Millis::never();
};

VirtualFleet::VirtualFleet(const FleetSetup &setup)
    : setup(setup)
    , random(setup.seed)
{
    this->isolatedZones.assign(setup.zones, false);
    this->incarnations.assign(setup.hosts, 0);
    for (std::uint32_t i = 0; i < setup.hosts; ++i) {
        MemberInfo info;
        info.name = "host-" + std::to_string(i);
        info.id = { stableHash(info.name) };
        info.zone = "zone-" + std::to_string(this->zoneOf(i));
        info.address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":8082";
        this->hostNumbers[info.id] = i;
        this->infos.push_back(info);
    }
    this->hosts.resize(setup.hosts);
    this->editTables();
    for (std::uint32_t i = 0; i < setup.hosts; ++i)
        this->startHost(i);
}

VirtualFleet::~VirtualFleet() = default;

double VirtualFleet::randomFraction()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

void VirtualFleet::startHost(std::uint32_t number)
{
    MemberInfo info = this->infos[number];
    const std::uint64_t incarnation = ++this->incarnations[number];
    info.incarnation = { incarnation };
    this->hosts[number] = std::make_unique<Host>(info, this->random());
    Host &host = *this->hosts[number];
    host.membership.addSeeds(this->infos, this->clock.now());
    host.sync.setWatcher(number / this->setup.zones < this->setup.watchersPerZone);
    // Spreads the starts of the hosts over a second, as in a real fleet.
    const Millis start = this->clock.now() + Millis(this->randomFraction() * 1000);
    this->clock.at(start, [this, number, incarnation] {
        this->runMembershipTimer(number, incarnation);
        this->runTableSync(number, incarnation);
    });
}

void VirtualFleet::killHost(std::uint32_t number)
{
    // Invalidates the pending events of the host.
    this->incarnations[number] += 1;
    this->hosts[number].reset();
}

bool VirtualFleet::isPartitioned(std::uint32_t a, std::uint32_t b) const
{
    return this->zoneOf(a) != this->zoneOf(b)
           && (this->isolatedZones[this->zoneOf(a)] || this->isolatedZones[this->zoneOf(b)]);
}

void VirtualFleet::deliver(std::uint32_t from, std::uint32_t to, std::size_t size, bool reliable,
                           VirtualTime::Event event)
{
    this->bytes += static_cast<double>(size);
    if (this->isPartitioned(from, to))
        return;
    const bool lost = this->randomFraction() < this->setup.loss;
    if (lost && !reliable)
        return;
    const bool near = this->zoneOf(from) == this->zoneOf(to);
    Millis delay = near ? this->setup.intraZoneDelay : this->setup.interZoneDelay;
    if (lost)
        delay += retransmitDelay;
    const std::uint64_t incarnation = this->incarnations[to];
    this->clock.after(delay, [this, to, incarnation, event = std::move(event)] {
        if (this->incarnations[to] == incarnation && this->hosts[to])
            event();
    });
}

void VirtualFleet::send(std::uint32_t from, std::vector<OutgoingHeartbeat> &out)
{
    for (OutgoingHeartbeat &outgoing : out) {
        const std::uint32_t to = this->hostNumbers.at(outgoing.to);
        const std::size_t size = encode(outgoing.heartbeat).size() + KeyRing::overheadBytes;
        this->deliver(from, to, size, false, [this, to, heartbeat = std::move(outgoing.heartbeat)] {
            Host &host = *this->hosts[to];
            std::vector<OutgoingHeartbeat> answers;
            host.membership.onHeartbeat(heartbeat, this->clock.now(), answers);
            this->send(to, answers);
            SyncActions actions;
            host.sync.onPeerRevision(heartbeat.sender.id, heartbeat.sender.revision,
                                     this->clock.now(), actions);
            this->applyActions(to, actions);
        });
    }
    out.clear();
}

void VirtualFleet::runMembershipTimer(std::uint32_t number, std::uint64_t incarnation)
{
    if (this->incarnations[number] != incarnation || !this->hosts[number])
        return;
    Host &host = *this->hosts[number];
    std::vector<OutgoingHeartbeat> out;
    host.membership.onTimer(this->clock.now(), out);
    this->send(number, out);
    this->clock.at(host.membership.nextTimer(),
                   [this, number, incarnation] { this->runMembershipTimer(number, incarnation); });
}

void VirtualFleet::runTableSync(std::uint32_t number, std::uint64_t incarnation)
{
    if (this->incarnations[number] != incarnation || !this->hosts[number])
        return;
    Host &host = *this->hosts[number];
    host.tableSyncTimer = Millis::never();
    SyncActions actions;
    host.sync.onTimer(this->clock.now(), actions);
    this->applyActions(number, actions);
}

void VirtualFleet::armTableSyncTimer(std::uint32_t number)
{
    Host &host = *this->hosts[number];
    const Millis next = host.sync.nextTimer();
    if (next == host.tableSyncTimer)
        return;
    host.tableSyncTimer = next;
    const std::uint64_t incarnation = this->incarnations[number];
    this->clock.at(next, [this, number, incarnation, next] {
        const bool current = this->incarnations[number] == incarnation && this->hosts[number]
                             && this->hosts[number]->tableSyncTimer == next;
        if (current)
            this->runTableSync(number, incarnation);
    });
}

void VirtualFleet::applyActions(std::uint32_t number, const SyncActions &actions)
{
    for (const SyncAction &action : actions) {
        Host &host = *this->hosts[number];
        switch (action.kind) {
        case SyncActionKind::RequestPeerManifest:
        case SyncActionKind::RequestPeerChunks: {
            const std::uint32_t peer = this->hostNumbers.at(action.peer);
            const bool manifest = action.kind == SyncActionKind::RequestPeerManifest;
            // Estimated size of the request: a fixed part and the hash of each chunk.
            const std::size_t size = channelOverheadBytes + 16 + action.chunks.size() * 40;
            this->deliver(number, peer, size, true,
                          [this, number, peer, manifest, chunks = action.chunks] {
                              const TableSync &source = this->hosts[peer]->sync;
                              TableResponse response;
                              if (manifest)
                                  response.manifest = source.manifestBytes();
                              for (const std::string &hash : chunks) {
                                  if (auto bytes = source.chunk(hash))
                                      response.chunks.push_back({ hash, std::move(*bytes) });
                              }
                              this->deliver(
                                      peer, number, channelOverheadBytes + encode(response).size(),
                                      true, [this, number, peer, response] {
                                          SyncActions next;
                                          TableSync &sync = this->hosts[number]->sync;
                                          const Millis now = this->clock.now();
                                          if (!response.manifest.empty())
                                              sync.onManifest(this->infos[peer].id,
                                                              response.manifest, now, next);
                                          for (const NamedChunk &chunk : response.chunks)
                                              sync.onChunk(chunk.hash, chunk.bytes, now, next);
                                          this->applyActions(number, next);
                                      });
                          });
            break;
        }
        case SyncActionKind::ReadManifest:
        case SyncActionKind::WatchManifest:
            this->callStore(number, action);
            break;
        case SyncActionKind::ReadChunk: {
            this->calls += 1;
            const std::string hash = action.chunks.front();
            const std::uint64_t incarnation = this->incarnations[number];
            const bool reached = this->storeUp && !this->isolatedZones[this->zoneOf(number)];
            if (!reached || !this->storeChunks.contains(hash))
                break;
            this->clock.after(this->setup.interZoneDelay, [this, number, incarnation, hash] {
                if (this->incarnations[number] != incarnation || !this->hosts[number])
                    return;
                SyncActions next;
                this->hosts[number]->sync.onChunk(hash, this->storeChunks[hash], this->clock.now(),
                                                  next);
                this->applyActions(number, next);
            });
            break;
        }
        case SyncActionKind::Publish: {
            if (action.tables->revision < host.activeRevision)
                this->regressionCount += 1;
            host.activeRevision = action.tables->revision;
            host.membership.setRevision(host.activeRevision);
            std::vector<MemberInfo> others = host.membership.others();
            std::vector<OutgoingHeartbeat> out;
            // Pings a few random peers at once, so that they learn of the new revision early.
            static constexpr std::size_t maxNotifiedPeers = 3;
            for (std::size_t i = 0; i < maxNotifiedPeers && !others.empty(); ++i)
                host.membership.pingNow(others[this->random() % others.size()].id,
                                        this->clock.now(), out);
            this->send(number, out);
            break;
        }
        }
    }
    this->armTableSyncTimer(number);
}

void VirtualFleet::callStore(std::uint32_t number, const SyncAction &action)
{
    this->calls += 1;
    const std::uint64_t incarnation = this->incarnations[number];
    const bool reached = this->storeUp && !this->isolatedZones[this->zoneOf(number)];
    if (!reached) {
        this->clock.after(SyncTimings().responseTimeout, [this, number, incarnation] {
            this->deliverStoreReply(number, incarnation, false);
        });
        return;
    }
    const bool waits = action.kind == SyncActionKind::WatchManifest
                       && action.storeVersion == this->storeVersion;
    if (!waits) {
        this->clock.after(this->setup.interZoneDelay, [this, number, incarnation] {
            this->deliverStoreReply(number, incarnation, true);
        });
        return;
    }
    const std::uint64_t id = ++this->lastWatchId;
    this->watches.push_back({ id, number, incarnation });
    this->clock.after(SyncTimings().maxWatchWait, [this, id, number, incarnation] {
        const auto open = std::find_if(this->watches.begin(), this->watches.end(),
                                       [id](const Watch &watch) { return watch.id == id; });
        if (open == this->watches.end())
            return;
        this->watches.erase(open);
        this->deliverStoreReply(number, incarnation, this->storeUp);
    });
}

void VirtualFleet::deliverStoreReply(std::uint32_t number, std::uint64_t incarnation, bool reached)
{
    if (this->incarnations[number] != incarnation || !this->hosts[number])
        return;
    const bool reaches = reached && !this->isolatedZones[this->zoneOf(number)];
    SyncActions actions;
    this->hosts[number]->sync.onStoreManifest(reaches, this->storeVersion,
                                              reaches ? this->manifestBytes : std::string(),
                                              this->clock.now(), actions);
    this->applyActions(number, actions);
}

void VirtualFleet::completeWatches()
{
    const std::vector<Watch> woken = std::move(this->watches);
    this->watches.clear();
    for (const Watch &watch : woken) {
        this->clock.after(this->setup.interZoneDelay, [this, watch] {
            this->deliverStoreReply(watch.host, watch.incarnation, this->storeUp);
        });
    }
}

void VirtualFleet::editTables()
{
    this->revision.value += 1;
    this->storeVersion += 1;
    TableContents contents;
    contents.zones.push_back("zone-0");
    Pool pool;
    pool.name = "catalogue";
    for (std::uint32_t i = 0; i < this->setup.searchers; ++i) {
        Searcher searcher;
        searcher.pool = pool.name;
        searcher.address
                = "10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":9000";
        searcher.zone = "zone-0";
        // The edit changes one entry.
        searcher.slots = i == 0 ? static_cast<std::uint32_t>(this->revision.value) : 2;
        pool.searchers.push_back(searcher);
    }
    contents.pools.push_back(pool);
    Manifest manifest;
    manifest.revision = this->revision;
    manifest.changeId = this->random() | 1;
    manifest.zones = contents.zones;
    const ChunkMap split = splitTables(contents);
    for (const auto &[hash, chunk] : split) {
        manifest.chunks.push_back(hash);
        this->storeChunks[hash] = chunk;
    }
    this->manifestBytes = encode(manifest);
    this->completeWatches();
}

void VirtualFleet::setStoreUp(bool up)
{
    this->storeUp = up;
    if (!up)
        this->completeWatches();
}

void VirtualFleet::setZoneIsolated(std::uint32_t zone, bool isolated)
{
    this->isolatedZones[zone] = isolated;
}

std::uint32_t VirtualFleet::upToDateHostCount() const
{
    std::uint32_t count = 0;
    for (const auto &host : this->hosts)
        count += host && host->activeRevision == this->revision ? 1 : 0;
    return count;
}

std::uint32_t VirtualFleet::runningHostCount() const
{
    return static_cast<std::uint32_t>(
            std::count_if(this->hosts.begin(), this->hosts.end(),
                          [](const auto &host) { return host != nullptr; }));
}

std::size_t VirtualFleet::stateBytes(std::uint32_t host) const
{
    return this->hosts[host]->membership.stateBytes();
}

std::uint32_t VirtualFleet::hostsSeeingDead(std::uint32_t dead) const
{
    std::uint32_t count = 0;
    for (const auto &host : this->hosts) {
        if (!host)
            continue;
        const MemberInfo *seen = host->membership.find(this->infos[dead].id);
        count += seen == nullptr || seen->state == MemberState::Dead ? 1 : 0;
    }
    return count;
}

std::uint32_t VirtualFleet::aliveSeenBy(std::uint32_t host) const
{
    std::uint32_t count = 0;
    for (const MemberInfo &member : this->hosts[host]->membership.others())
        count += member.state == MemberState::Alive ? 1 : 0;
    return count;
}

} // namespace quetzal
