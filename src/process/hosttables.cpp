// The parts of HostAgent that synchronize the routing tables and poll the platform's list of hosts.
#include "process/hostagent.h"

#include "process/eventlog.h"
#include "process/heartbeatcheck.h"
#include "quetzal/steadyclock.h"
#include "version/store.h"
#include "version/viewcheck.h"

#include <algorithm>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/NumberParser.h>

namespace quetzal {

static constexpr Millis hostListPeriod = Millis(1000);
static constexpr Millis hostListTimeout = Millis(1000);
// Time for which a message is retransmitted if it is not acknowledged.
static constexpr Millis controlMessageLifetime = Millis(2000);
static constexpr Millis chunkTimeout = Millis(2000);
// Time after which the timer of the tables runs again if it failed.
static constexpr Millis syncFallback = Millis(500);
static constexpr int statusOk = 200;
static constexpr int statusNotFound = 404;

void HostAgent::onTableRequest(HostId from, const TableRequest &request)
{
    TableResponse response;
    if (request.manifest)
        response.manifest = this->sync.manifestBytes();
    for (const std::string &hash : request.chunks) {
        if (auto bytes = this->sync.chunk(hash))
            response.chunks.push_back({ hash, std::move(*bytes) });
    }
    if (!response.manifest.empty() || !response.chunks.empty())
        this->sendMessage(from, MessageKind::TableResponse, response, controlMessageLifetime);
}

void HostAgent::onTableResponse(HostId from, const TableResponse &response)
{
    const Millis now = SteadyClock::now();
    SyncActions actions;
    if (!response.manifest.empty())
        this->sync.onManifest(from, response.manifest, now, actions);
    for (const NamedChunk &chunk : response.chunks)
        this->sync.onChunk(chunk.hash, chunk.bytes, now, actions);
    this->performSync(actions);
    this->runTableSync();
}

void HostAgent::runTableSync()
{
    const Millis now = SteadyClock::now();
    this->scheduleTableSync(now + syncFallback);
    SyncActions actions;
    this->sync.onTimer(now, actions);
    this->performSync(actions);
    // An action before the one that publishes them may have failed.
    if (this->sync.tables() != this->syncedTables)
        this->publishTables(this->sync.tables());
    this->scheduleTableSync(this->sync.nextTimer());
}

void HostAgent::scheduleTableSync(Millis at)
{
    this->loop.cancel(this->tablesTimer);
    this->tablesTimer = this->loop.schedule(at, [this] { this->runTableSync(); });
}

void HostAgent::performSync(const SyncActions &actions)
{
    for (const SyncAction &action : actions) {
        switch (action.kind) {
        case SyncActionKind::RequestPeerManifest:
            this->sendMessage(action.peer, MessageKind::TableRequest, TableRequest{ true, {} },
                              controlMessageLifetime);
            break;
        case SyncActionKind::RequestPeerChunks:
            this->sendMessage(action.peer, MessageKind::TableRequest,
                              TableRequest{ false, action.chunks }, controlMessageLifetime);
            break;
        case SyncActionKind::ReadManifest:
        case SyncActionKind::WatchManifest:
            this->requestManifest(action);
            break;
        case SyncActionKind::ReadChunk:
            this->requestChunk(action.chunks.front());
            break;
        case SyncActionKind::Publish:
            this->publishTables(action.tables);
            break;
        }
    }
}

void HostAgent::requestManifest(const SyncAction &action)
{
    std::string target = std::string("/kv/") + manifestKey;
    const SyncTimings times;
    Millis timeout = times.responseTimeout;
    if (action.kind == SyncActionKind::WatchManifest) {
        target += "?wait=" + std::to_string(action.storeVersion)
                  + "&timeout_ms=" + std::to_string(static_cast<long>(times.maxWatchWait.count()));
        timeout = times.maxWatchWait + times.responseTimeout;
    }
    this->store.get(target, timeout, [this](const HttpCallResult &result) {
        const bool reached = result.status == statusOk || result.status == statusNotFound;
        if (reached != this->storeReachable)
            logEvent(reached ? LogEvent::StoreBack : LogEvent::StoreLost,
                     "store=" + this->settings.storeAddress);
        this->storeReachable = reached;
        Poco::UInt64 version = 0;
        Poco::NumberParser::tryParseUnsigned64(result.storeVersion, version);
        SyncActions actions;
        this->sync.onStoreManifest(reached, version,
                                   result.status == statusOk ? result.body : std::string(),
                                   SteadyClock::now(), actions);
        this->performSync(actions);
        this->runTableSync();
    });
}

void HostAgent::requestChunk(const std::string &hash)
{
    this->store.get("/kv/" + std::string(chunkPrefix) + hash, chunkTimeout,
                    [this, hash](const HttpCallResult &result) {
                        if (result.status != statusOk)
                            return;
                        SyncActions actions;
                        this->sync.onChunk(hash, result.body, SteadyClock::now(), actions);
                        this->performSync(actions);
                        this->runTableSync();
                    });
}

// Returns the tables without the entries that cannot be used, which are logged.
static std::shared_ptr<const RoutingTables>
withoutInvalid(const std::shared_ptr<const RoutingTables> &tables)
{
    if (tablesProblem(*tables).empty())
        return tables;
    auto valid = std::make_shared<RoutingTables>(*tables);
    for (const auto &[entry, reason] : removeInvalid(*valid))
        logEvent(LogEvent::TableEntryDropped,
                 "entry=\"" + quotable(entry) + "\" reason=\"" + reason + "\"");
    return valid;
}

void HostAgent::publishTables(const std::shared_ptr<const RoutingTables> &next)
{
    this->tables = withoutInvalid(next);
    this->syncedTables = next;
    logEvent(LogEvent::TablesInForce, "revision=" + std::to_string(next->revision.value));
    this->membership.setRevision(next->revision);
    this->publishSnapshot();
    // Pings a few hosts at once so that they learn of the revision; gossip spreads it from there.
    std::vector<MemberInfo> others = this->membership.others();
    std::shuffle(others.begin(), others.end(), this->random);
    static constexpr std::size_t revisionPings = 3;
    if (others.size() > revisionPings)
        others.resize(revisionPings);
    std::vector<OutgoingHeartbeat> out;
    for (const MemberInfo &member : others)
        this->membership.pingNow(member.id, SteadyClock::now(), out);
    this->sendHeartbeats(out);
}

void HostAgent::pollHosts()
{
    const double jitter = 0.8 + 0.4 * static_cast<double>(this->random() % 1000) / 1000;
    this->loop.schedule(SteadyClock::now() + hostListPeriod * jitter,
                        [this] { this->pollHosts(); });
    this->hostList.get("/hosts?zone=" + this->settings.zone, hostListTimeout,
                       [this](const HttpCallResult &result) {
                           if (result.status == statusOk)
                               this->onHostList(result.body);
                       });
}

void HostAgent::dropHostEntry(const std::string &entry, const std::string &reason)
{
    if (const auto suppressed = this->droppedEntryLog.admit(SteadyClock::now()))
        logEvent(LogEvent::HostEntryDropped,
                 "entry=\"" + quotable(entry) + "\" reason=\"" + reason
                         + "\" suppressed=" + std::to_string(*suppressed));
}

std::vector<MemberInfo> HostAgent::readHosts(const Poco::JSON::Object &list)
{
    std::vector<MemberInfo> seeds;
    const auto entries = list.getArray("hosts");
    for (unsigned i = 0; entries && i < entries->size(); ++i) {
        try {
            const auto entry = entries->get(i).extract<Poco::JSON::Object::Ptr>();
            MemberInfo seed;
            seed.name = entry->getValue<std::string>("name");
            seed.id = { stableHash(seed.name) };
            seed.zone = entry->getValue<std::string>("zone");
            seed.address = entry->getValue<std::string>("address");
            const std::string problem = memberProblem(seed);
            if (problem.empty())
                seeds.push_back(std::move(seed));
            else
                this->dropHostEntry(seed.name, problem);
        } catch (const std::exception &failure) {
            this->dropHostEntry("hosts[" + std::to_string(i) + "]", describe(failure));
        }
    }
    return seeds;
}

std::unordered_set<SearcherId> HostAgent::readLeaving(const Poco::JSON::Object &list)
{
    std::unordered_set<SearcherId> result;
    const auto entries = list.getArray("leaving_searchers");
    for (unsigned i = 0; entries && i < entries->size(); ++i) {
        try {
            result.insert({ stableHash(entries->get(i).extract<std::string>()) });
        } catch (const std::exception &failure) {
            this->dropHostEntry("leaving_searchers[" + std::to_string(i) + "]", describe(failure));
        }
    }
    return result;
}

void HostAgent::onHostList(const std::string &body)
{
    std::vector<MemberInfo> seeds;
    std::unordered_set<SearcherId> nowLeaving;
    try {
        Poco::JSON::Parser parser;
        const auto list = parser.parse(body).extract<Poco::JSON::Object::Ptr>();
        seeds = this->readHosts(*list);
        nowLeaving = this->readLeaving(*list);
    } catch (const std::exception &failure) {
        // The list is polled again soon.
        this->dropHostEntry("list", describe(failure));
        return;
    }
    this->membership.addSeeds(seeds, SteadyClock::now());
    for (const MemberInfo &seed : seeds)
        this->link->setAddress(seed.id, seed.address);
    const bool changed = nowLeaving != this->leaving;
    this->leaving = std::move(nowLeaving);
    this->applyMembershipChanges();
    if (changed)
        this->publishSnapshot();
}

} // namespace quetzal
