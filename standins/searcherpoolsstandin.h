// Stand-in for all searchers of several pools, with a common control interface.
#pragma once

#include "standins/requesttarget.h"
#include "standins/searcherstandin.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace quetzal {

// The rollout of an index version to the searchers of a pool.
struct VersionRollout
{
    std::string pool;
    VersionId version;
    // Number of shards of the version.
    std::uint32_t partitions = 0;
    // Each searcher switches to the version at a random time within this period.
    Millis duration;
    // Number of versions that a searcher keeps.
    std::size_t keptVersions = 2;
};

// Runs the searchers and serves control requests:
//   POST /version?pool=P&version=V&partitions=N&spread_ms=S&kept=K
//                                starts the rollout of a version, see VersionRollout
//   POST /behave?searcher=A|pool=P|share=F&service_ms=..&slowness=..&shed=0|1&draining=0|1
//        &cold_ms=..&straggler_fraction=..&straggler_factor=..
//                                changes fields of SearcherBehaviour
//   POST /silence?searcher=..    stops traffic on all open connections without closing them
//   POST /stop?..  POST /start?..
//   GET /ledger                  one tab-separated line per run
//   GET /counts                  totals as JSON
// A control request applies to the searchers that match searcher, pool and replica (0 or 1);
// without them, to all. share=F applies it to a random fraction of them, which depends only on
// seed=S.
class SearcherPoolsStandin
{
public:
    // Starts all searchers with version 1 of their pool's index. Listens for control requests on
    // the address.
    SearcherPoolsStandin(EventLoop &loop, const std::string &address,
                         const std::vector<Pool> &pools, std::uint64_t documents,
                         const SearcherBehaviour &behaviour, std::uint64_t seed);

    // Rolls a version out to a pool; does nothing if the pool has no searchers.
    void startRollout(const VersionRollout &rollout);

private:
    void onRequest(const std::shared_ptr<HttpExchange> &exchange);
    // Returns the searchers that a control request applies to.
    std::vector<SearcherStandin *> selectSearchers(const RequestTarget &query);
    // Changes the behaviour of the selected searchers.
    void applyBehaviour(const RequestTarget &query);
    std::string ledgerText() const;
    std::string countsText() const;

    EventLoop &loop;
    SyntheticIndex index;
    std::mt19937_64 random;
    std::vector<Pool> pools;
    std::vector<std::unique_ptr<SearcherStandin>> searchers;
    std::shared_ptr<HttpServer> server;
};

} // namespace quetzal
