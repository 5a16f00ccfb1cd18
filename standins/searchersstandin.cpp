#include "standins/searchersstandin.h"

#include "quetzal/steadyclock.h"

#include <algorithm>
#include <sstream>

#include <Poco/JSON/Object.h>

namespace quetzal {

static constexpr int statusOk = 200;
static constexpr int statusNotFound = 404;

SearchersStandin::SearchersStandin(EventLoop &loop, const std::string &address,
                                   const std::vector<Pool> &pools, std::uint64_t documents,
                                   const SearcherBehaviour &behaviour, std::uint64_t seed)
    : loop(loop)
    , index(documents)
    , random(seed)
    , pools(pools)
{
    for (const Pool &pool : pools) {
        for (const Searcher &place : pool.searchers) {
            this->searchers.push_back(std::make_unique<SearcherStandin>(loop, place, this->index,
                                                                        behaviour, this->random()));
            this->searchers.back()->start();
        }
        this->applyVersion({ pool.name, { 1 }, pool.shards, Millis(0), 2 });
    }
    this->server = HttpServer::listen(
            loop, Poco::Net::SocketAddress(address), HttpServerOptions(),
            [this](const std::shared_ptr<HttpExchange> &exchange) { this->onRequest(exchange); });
}

static void takeVersion(SearcherStandin &searcher, const VersionChange &change,
                        const std::vector<std::uint32_t> &shards, const SyntheticIndex &index)
{
    std::vector<Holding> holdings = searcher.currentHoldings();
    for (const std::uint32_t shard : shards)
        holdings.push_back({ change.version, change.partitions, shard,
                             index.documentsOf(change.partitions, shard) });
    std::vector<VersionId> versions;
    versions.reserve(holdings.size());
    for (const Holding &holding : holdings)
        versions.push_back(holding.version);
    std::sort(versions.rbegin(), versions.rend());
    versions.erase(std::unique(versions.begin(), versions.end()), versions.end());
    if (versions.size() > change.kept) {
        const VersionId oldest = versions[change.kept - 1];
        std::erase_if(holdings, [oldest](const Holding &h) { return h.version < oldest; });
    }
    searcher.setHoldings(holdings);
}

void SearchersStandin::applyVersion(const VersionChange &change)
{
    std::vector<SearcherStandin *> members;
    for (const auto &searcher : this->searchers) {
        if (searcher->where().pool == change.pool)
            members.push_back(searcher.get());
    }
    if (members.empty())
        return;
    // Two holders for each shard, whatever the numbers of shards and searchers are.
    std::sort(members.begin(), members.end(),
              [](const SearcherStandin *a, const SearcherStandin *b) {
                  return std::tuple(a->where().shard, a->where().address)
                         < std::tuple(b->where().shard, b->where().address);
              });
    std::vector<std::vector<std::uint32_t>> shards(members.size());
    for (std::uint32_t i = 0; i < change.partitions * 2; ++i)
        shards[i % members.size()].push_back(i / 2 % change.partitions);
    for (std::size_t i = 0; i < members.size(); ++i) {
        std::sort(shards[i].begin(), shards[i].end());
        shards[i].erase(std::unique(shards[i].begin(), shards[i].end()), shards[i].end());
        const double part = static_cast<double>(this->random() % 1000) / 1000;
        if (change.spread <= Millis(0)) {
            takeVersion(*members[i], change, shards[i], this->index);
            continue;
        }
        this->loop.schedule(SteadyClock::now() + change.spread * part,
                            [this, member = members[i], change, held = shards[i]] {
                                takeVersion(*member, change, held, this->index);
                            });
    }
}

std::vector<SearcherStandin *> SearchersStandin::select(const AdminQuery &query)
{
    std::vector<SearcherStandin *> selected;
    std::mt19937_64 picker(static_cast<std::uint64_t>(query.number("seed", 1)));
    const double share = query.number("share", 1);
    // The tables list the replicas of a shard one after the other.
    int replica = 1;
    for (const auto &searcher : this->searchers) {
        const Searcher &place = searcher->where();
        replica = 1 - replica;
        const bool drawn = static_cast<double>(picker() % 1'000'000) < share * 1e6;
        const bool byAddress = !query.has("searcher") || query.text("searcher") == place.address;
        const bool byPool = !query.has("pool") || query.text("pool") == place.pool;
        const bool byReplica = !query.has("replica") || query.number("replica", 0) == replica;
        if (drawn && byAddress && byPool && byReplica)
            selected.push_back(searcher.get());
    }
    return selected;
}

void SearchersStandin::behave(const AdminQuery &query)
{
    for (SearcherStandin *searcher : this->select(query)) {
        SearcherBehaviour next = searcher->currentBehaviour();
        next.service = Millis(query.number("service_ms", next.service.count()));
        next.slowness = query.number("slowness", next.slowness);
        next.stragglerFraction = query.number("straggler_fraction", next.stragglerFraction);
        next.stragglerFactor = query.number("straggler_factor", next.stragglerFactor);
        next.coldTime = Millis(query.number("cold_ms", next.coldTime.count()));
        next.shedAll = query.number("shed", next.shedAll ? 1 : 0) != 0;
        next.draining = query.number("draining", next.draining ? 1 : 0) != 0;
        searcher->setBehaviour(next);
    }
}

void SearchersStandin::onRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    const AdminQuery query(exchange->request().head.getURI());
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
        this->applyVersion({ query.text("pool"),
                             { static_cast<std::uint64_t>(query.number("version", 1)) },
                             static_cast<std::uint32_t>(query.number("partitions", 1)),
                             Millis(query.number("spread_ms", 0)),
                             static_cast<std::size_t>(query.number("kept", 2)) });
    else if (path == "/behave")
        this->behave(query);
    else if (path == "/silence") {
        for (SearcherStandin *searcher : this->select(query))
            searcher->silenceConnections();
    } else if (path == "/stop") {
        for (SearcherStandin *searcher : this->select(query))
            searcher->stop();
    } else if (path == "/start") {
        for (SearcherStandin *searcher : this->select(query))
            searcher->start();
    } else {
        exchange->respond(statusNotFound, {}, "{\"error\":\"no such control\"}");
        return;
    }
    exchange->respond(statusOk, {}, "{}");
}

std::string SearchersStandin::ledgerText() const
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

std::string SearchersStandin::countsText() const
{
    std::uint64_t runs = 0;
    std::uint64_t shed = 0;
    std::uint64_t overCap = 0;
    std::uint64_t waited = 0;
    for (const auto &searcher : this->searchers) {
        runs += searcher->ledger().size();
        shed += searcher->counts().shed;
        overCap += searcher->counts().refusedConnections;
        waited += searcher->counts().waited;
    }
    Poco::JSON::Object json;
    json.set("runs", runs);
    json.set("shed", shed);
    json.set("refused_connections", overCap);
    json.set("waited_for_slots", waited);
    std::ostringstream text;
    json.stringify(text);
    return text.str();
}

} // namespace quetzal
