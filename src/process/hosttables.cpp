// How a host agent gets its tables, and what it takes from the platform's list of hosts.
#include "process/hostagent.h"

#include "process/eventlog.h"
#include "quetzal/steadyclock.h"
#include "version/store.h"

#include <algorithm>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/NumberParser.h>

namespace quetzal {

static constexpr Millis hostListPeriod = Millis(1000);
static constexpr Millis hostListPatience = Millis(1000);
static constexpr Millis controlLifetime = Millis(2000);
static constexpr Millis chunkPatience = Millis(2000);
static constexpr int statusOk = 200;
static constexpr int statusNotFound = 404;

void HostAgent::onTableAsk(HostId from, const TableAsk &ask)
{
    TableTell tell;
    if (ask.manifest)
        tell.manifest = this->sync.manifestBytes();
    for (const std::string &hash : ask.chunks) {
        if (auto bytes = this->sync.chunk(hash))
            tell.chunks.push_back({ hash, std::move(*bytes) });
    }
    if (!tell.manifest.empty() || !tell.chunks.empty())
        this->sendMessage(from, MessageKind::TableTell, tell, controlLifetime);
}

void HostAgent::onTableTell(HostId from, const TableTell &tell)
{
    const Millis now = SteadyClock::now();
    SyncActions actions;
    if (!tell.manifest.empty())
        this->sync.onManifest(from, tell.manifest, now, actions);
    for (const NamedChunk &chunk : tell.chunks)
        this->sync.onChunk(chunk.hash, chunk.bytes, now, actions);
    this->performSync(actions);
    this->runTables();
}

void HostAgent::runTables()
{
    SyncActions actions;
    this->sync.onTimer(SteadyClock::now(), actions);
    this->performSync(actions);
    this->loop.cancel(this->tablesTimer);
    this->tablesTimer = this->loop.schedule(this->sync.nextTimer(), [this] { this->runTables(); });
}

void HostAgent::performSync(const SyncActions &actions)
{
    for (const SyncAction &action : actions) {
        switch (action.kind) {
        case SyncActionKind::AskPeerManifest:
            this->sendMessage(action.peer, MessageKind::TableAsk, TableAsk{ true, {} },
                              controlLifetime);
            break;
        case SyncActionKind::AskPeerChunks:
            this->sendMessage(action.peer, MessageKind::TableAsk, TableAsk{ false, action.chunks },
                              controlLifetime);
            break;
        case SyncActionKind::ReadManifest:
        case SyncActionKind::WatchManifest:
            this->callStore(action);
            break;
        case SyncActionKind::ReadChunk:
            this->readChunk(action.chunks.front());
            break;
        case SyncActionKind::Publish:
            this->publishTables(action.tables);
            break;
        }
    }
}

void HostAgent::callStore(const SyncAction &action)
{
    std::string target = std::string("/kv/") + manifestKey;
    const SyncTimes times;
    Millis patience = times.patience;
    if (action.kind == SyncActionKind::WatchManifest) {
        target += "?wait=" + std::to_string(action.storeVersion)
                  + "&timeout_ms=" + std::to_string(static_cast<long>(times.watch.count()));
        patience = times.watch + times.patience;
    }
    this->store.get(target, patience, [this](const HttpCallResult &result) {
        const bool reached = result.status == statusOk || result.status == statusNotFound;
        if (reached != this->storeReachable)
            logEvent(reached ? LogEvent::StoreBack : LogEvent::StoreLost,
                     "store=" + this->settings.storeAddress);
        this->storeReachable = reached;
        Poco::UInt64 version = 0;
        Poco::NumberParser::tryParseUnsigned64(result.version, version);
        SyncActions actions;
        this->sync.onStoreManifest(reached, version,
                                   result.status == statusOk ? result.body : std::string(),
                                   SteadyClock::now(), actions);
        this->performSync(actions);
        this->runTables();
    });
}

void HostAgent::readChunk(const std::string &hash)
{
    this->store.get("/kv/" + std::string(chunkPrefix) + hash, chunkPatience,
                    [this, hash](const HttpCallResult &result) {
                        if (result.status != statusOk)
                            return;
                        SyncActions actions;
                        this->sync.onChunk(hash, result.body, SteadyClock::now(), actions);
                        this->performSync(actions);
                        this->runTables();
                    });
}

void HostAgent::publishTables(const std::shared_ptr<const Tables> &next)
{
    this->tables = next;
    logEvent(LogEvent::TablesInForce, "revision=" + std::to_string(next->revision.value));
    this->membership.setRevision(next->revision);
    this->publishWorld();
    // A few peers hear of the revision at once; from there heartbeats spread it.
    std::vector<MemberInfo> others = this->membership.others();
    std::shuffle(others.begin(), others.end(), this->random);
    static constexpr std::size_t toldAtOnce = 3;
    if (others.size() > toldAtOnce)
        others.resize(toldAtOnce);
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
    this->hosts.get("/hosts?zone=" + this->settings.zone, hostListPatience,
                    [this](const HttpCallResult &result) {
                        if (result.status == statusOk)
                            this->onHostList(result.body);
                    });
}

void HostAgent::onHostList(const std::string &body)
{
    std::vector<MemberInfo> seeds;
    std::unordered_set<SearcherId> nowLeaving;
    try {
        Poco::JSON::Parser parser;
        const auto json = parser.parse(body).extract<Poco::JSON::Object::Ptr>();
        const auto list = json->getArray("hosts");
        for (unsigned i = 0; list && i < list->size(); ++i) {
            const auto entry = list->getObject(i);
            MemberInfo seed;
            seed.name = entry->getValue<std::string>("name");
            seed.id = { stableHash(seed.name) };
            seed.zone = entry->getValue<std::string>("zone");
            seed.address = entry->getValue<std::string>("address");
            seeds.push_back(std::move(seed));
        }
        const auto gone = json->getArray("leaving_searchers");
        for (unsigned i = 0; gone && i < gone->size(); ++i)
            nowLeaving.insert({ stableHash(gone->getElement<std::string>(i)) });
    } catch (const Poco::Exception &) {
        // The list is a hint; the next one may be whole.
        return;
    }
    this->membership.addSeeds(seeds, SteadyClock::now());
    for (const MemberInfo &seed : seeds)
        this->link->setAddress(seed.id, seed.address);
    const bool changed = nowLeaving != this->leaving;
    this->leaving = std::move(nowLeaving);
    this->afterMembership();
    if (changed)
        this->publishWorld();
}

} // namespace quetzal
