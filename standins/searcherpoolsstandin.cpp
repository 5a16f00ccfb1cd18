#include "standins/searcherpoolsstandin.h"

#include "quetzal/steadyclock.h"

#include <algorithm>
#include <sstream>

#include <Poco/JSON/Object.h>

namespace quetzal {

static constexpr int statusOk = 200;
static constexpr int statusNotFound = 404;

SearcherPoolsStandin::SearcherPoolsStandin(EventLoop &loop, const std::string &address,
                                           const std::vector<Pool> &pools, std::uint64_t documents,
                                           const SearcherBehaviour &behaviour, std::uint64_t seed)
    : loop(loop)
    , index(documents)
    , random(seed)
    , pools(pools)
{
    for (const Pool &pool : pools) {
        for (const Searcher &config : pool.searchers) {
            this->searchers.push_back(std::make_unique<SearcherStandin>(loop, config, this->index,
                                                                        behaviour, this->random()));
            this->searchers.back()->start();
        }
        this->startRollout({ pool.name, { 1 }, pool.shards, Millis(0), 2 });
    }
    this->server = HttpServer::listen(
            loop, Poco::Net::SocketAddress(address), HttpServerOptions(),
            [this](const std::shared_ptr<HttpExchange> &exchange) { this->onRequest(exchange); });
}

// Adds shards of a version to a searcher and removes all but its newest rollout.keptVersions
// versions.
static void installVersion(SearcherStandin &searcher, const VersionRollout &rollout,
                           const std::vector<std::uint32_t> &shards, const SyntheticIndex &index)
{
    std::vector<Holding> holdings = searcher.currentHoldings();
    for (const std::uint32_t shard : shards)
        holdings.push_back({ rollout.version, rollout.partitions, shard,
                             index.documentsInShard(rollout.partitions, shard) });
    std::vector<VersionId> versions;
    versions.reserve(holdings.size());
    for (const Holding &holding : holdings)
        versions.push_back(holding.version);
    std::sort(versions.rbegin(), versions.rend());
    versions.erase(std::unique(versions.begin(), versions.end()), versions.end());
    if (versions.size() > rollout.keptVersions) {
        const VersionId oldestKept = versions[rollout.keptVersions - 1];
        std::erase_if(holdings, [oldestKept](const Holding &h) { return h.version < oldestKept; });
    }
    searcher.setHoldings(holdings);
}

void SearcherPoolsStandin::startRollout(const VersionRollout &rollout)
{
    std::vector<SearcherStandin *> members;
    for (const auto &searcher : this->searchers) {
        if (searcher->config().pool == rollout.pool)
            members.push_back(searcher.get());
    }
    if (members.empty())
        return;
    // Each shard is placed on two searchers, whatever the numbers of shards and searchers are.
    std::sort(members.begin(), members.end(),
              [](const SearcherStandin *a, const SearcherStandin *b) {
                  return std::tuple(a->config().shard, a->config().address)
                         < std::tuple(b->config().shard, b->config().address);
              });
    std::vector<std::vector<std::uint32_t>> shards(members.size());
    for (std::uint32_t i = 0; i < rollout.partitions * 2; ++i)
        shards[i % members.size()].push_back(i / 2 % rollout.partitions);
    for (std::size_t i = 0; i < members.size(); ++i) {
        std::sort(shards[i].begin(), shards[i].end());
        shards[i].erase(std::unique(shards[i].begin(), shards[i].end()), shards[i].end());
        const double fraction = static_cast<double>(this->random() % 1000) / 1000;
        if (rollout.duration <= Millis(0)) {
            installVersion(*members[i], rollout, shards[i], this->index);
            continue;
        }
        this->loop.schedule(SteadyClock::now() + rollout.duration * fraction,
                            [this, member = members[i], rollout, assigned = shards[i]] {
                                installVersion(*member, rollout, assigned, this->index);
                            });
    }
}

std::vector<SearcherStandin *> SearcherPoolsStandin::selectSearchers(const RequestTarget &query)
{
    std::vector<SearcherStandin *> selected;
    std::mt19937_64 sampler(static_cast<std::uint64_t>(query.number("seed", 1)));
    const double share = query.number("share", 1);
    // The tables list the two replicas of a shard next to each other, so that they alternate.
    int replica = 1;
    for (const auto &searcher : this->searchers) {
        const Searcher &config = searcher->config();
        replica = 1 - replica;
        const bool isSampled = static_cast<double>(sampler() % 1'000'000) < share * 1e6;
        const bool matchesAddress
                = !query.has("searcher") || query.text("searcher") == config.address;
        const bool matchesPool = !query.has("pool") || query.text("pool") == config.pool;
        const bool matchesReplica = !query.has("replica") || query.number("replica", 0) == replica;
        if (isSampled && matchesAddress && matchesPool && matchesReplica)
            selected.push_back(searcher.get());
    }
    return selected;
}

void SearcherPoolsStandin::applyBehaviour(const RequestTarget &query)
{
    for (SearcherStandin *searcher : this->selectSearchers(query)) {
        SearcherBehaviour behaviour = searcher->currentBehaviour();
        behaviour.medianServiceTime
                = Millis(query.number("service_ms", behaviour.medianServiceTime.count()));
        behaviour.slowness = query.number("slowness", behaviour.slowness);
        behaviour.stragglerFraction
                = query.number("straggler_fraction", behaviour.stragglerFraction);
        behaviour.stragglerFactor = query.number("straggler_factor", behaviour.stragglerFactor);
        behaviour.coldPeriod = Millis(query.number("cold_ms", behaviour.coldPeriod.count()));
        behaviour.shedAll = query.number("shed", behaviour.shedAll ? 1 : 0) != 0;
        behaviour.draining = query.number("draining", behaviour.draining ? 1 : 0) != 0;
        searcher->setBehaviour(behaviour);
    }
}

void SearcherPoolsStandin::onRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    const RequestTarget query(exchange->request().head.getURI());
    const std::string path = query.path();
    if (path == "/ledger") {
        exchange->respond(statusOk, {}, this->ledgerText(), "text/tab-separated-values");
        return;
    }
    if (path == "/counts") {
        exchange->respond(statusOk, {}, this->countsText());
        return;
    }
    if (path == "/version")
        this->startRollout({ query.text("pool"),
                             { static_cast<std::uint64_t>(query.number("version", 1)) },
                             static_cast<std::uint32_t>(query.number("partitions", 1)),
                             Millis(query.number("spread_ms", 0)),
                             static_cast<std::size_t>(query.number("kept", 2)) });
    else if (path == "/behave")
        this->applyBehaviour(query);
    else if (path == "/silence") {
        for (SearcherStandin *searcher : this->selectSearchers(query))
            searcher->silenceConnections();
    } else if (path == "/stop") {
        for (SearcherStandin *searcher : this->selectSearchers(query))
            searcher->stop();
    } else if (path == "/start") {
        for (SearcherStandin *searcher : this->selectSearchers(query))
            searcher->start();
    } else {
        exchange->respond(statusNotFound, {}, "{\"error\":\"no such control\"}");
        return;
    }
    exchange->respond(statusOk, {}, "{}");
}

std::string SearcherPoolsStandin::ledgerText() const
{
    std::ostringstream out;
    for (const auto &searcher : this->searchers) {
        for (const LedgerEntry &entry : searcher->ledger()) {
            out << entry.requestId << '\t' << entry.attempt << '\t' << entry.searcher << '\t'
                << entry.version.value << '\t' << entry.shard << '\t' << entry.startedAt.count()
                << '\t' << entry.endedAt.count() << '\t' << entry.cancelled << '\t' << entry.expired
                << '\t' << entry.afterDrain << '\n';
        }
    }
    return out.str();
}

std::string SearcherPoolsStandin::countsText() const
{
    std::uint64_t runs = 0;
    std::uint64_t shed = 0;
    std::uint64_t refusedConnections = 0;
    std::uint64_t queued = 0;
    for (const auto &searcher : this->searchers) {
        runs += searcher->ledger().size();
        shed += searcher->counts().shed;
        refusedConnections += searcher->counts().refusedConnections;
        queued += searcher->counts().queuedRequests;
    }
    Poco::JSON::Object json;
    json.set("runs", runs);
    json.set("shed", shed);
    json.set("refused_connections", refusedConnections);
    json.set("waited_for_slots", queued);
    std::ostringstream text;
    json.stringify(text);
    return text.str();
}

} // namespace quetzal
