#include "version/tablesyaml.h"

#include <algorithm>
#include <map>
#include <set>

#include <Poco/Net/SocketAddress.h>

namespace quetzal {

// Upper and lower bounds of the fields.
static constexpr double maxDeadlineMs = 600'000;
static constexpr std::uint32_t maxShards = 100'000;
static constexpr std::uint32_t maxSlots = 10'000;
static constexpr std::uint32_t maxConnections = 1'000'000;
static constexpr double maxConnectCostMs = 60'000;
static constexpr std::uint32_t maxRouteAttempts = 100;
static constexpr std::uint32_t maxResultSize = 100'000;
static constexpr std::uint32_t maxRank = 1'000;
static constexpr double minWeight = 1e-6;
static constexpr double maxWeight = 1e9;

// Returns true for an IP number and a port from 1 to 65535.
static bool isIpAndPort(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == address.size())
        return false;
    const std::string port = address.substr(colon + 1);
    const bool digits = port.size() <= 5 && std::all_of(port.begin(), port.end(), [](char c) {
                            return c >= '0' && c <= '9';
                        });
    if (!digits || std::stoi(port) == 0 || std::stoi(port) > 65'535)
        return false;
    // Host names are refused, so that requests do not depend on name resolution.
    Poco::Net::IPAddress ip;
    return Poco::Net::IPAddress::tryParse(address.substr(0, colon), ip);
}

namespace {

// Parses one pair of files, with the names seen so far for checks across entries.
class TablesParser
{
public:
    TablesParser(const std::string &routesFile, const std::string &poolsFile)
        : routesReader(routesFile)
        , poolsReader(poolsFile)
    {}

    Parsed<TableContents> run(const std::string &routesText, const std::string &poolsText)
    {
        this->readPools(this->poolsReader.load(poolsText));
        this->readRoutes(this->routesReader.load(routesText));
        Parsed<TableContents> result;
        result.value = std::move(this->contents);
        result.errors = this->routesReader.errors();
        const std::vector<std::string> &poolErrors = this->poolsReader.errors();
        result.errors.insert(result.errors.end(), poolErrors.begin(), poolErrors.end());
        return result;
    }

private:
    // Returns true if the root is a map with a list of that name, else records an error.
    static bool isTable(YamlReader &reader, const YAML::Node &root, const char *name)
    {
        if (!root.IsDefined())
            return false;
        if (root.IsMap() && root[name].IsDefined() && root[name].IsSequence())
            return true;
        reader.addError(root, std::string("a list \"") + name + "\" is expected");
        return false;
    }

    void readPools(const YAML::Node &root)
    {
        if (!isTable(this->poolsReader, root, "pools"))
            return;
        this->poolsReader.allowOnly(root, "pools", { "zones", "pools" });
        this->contents.zones = this->poolsReader.texts(root, "zones", "pools");
        for (const YAML::Node &node : root["pools"])
            this->readPool(node);
    }

    void readPool(const YAML::Node &node)
    {
        YamlReader &reader = this->poolsReader;
        if (!node.IsMap()) {
            reader.addError(node, "a pool must be a map");
            return;
        }
        Pool pool;
        pool.name = reader.text(node, "name", "pool", true);
        const std::string where = "pool \"" + pool.name + "\"";
        reader.allowOnly(node, where,
                         { "name", "shards", "slots", "connection_cap", "connect_cost_ms",
                           "searchers", "registered" });
        pool.shards = reader.count(node, "shards", where, 1, maxShards, false, 1);
        if (!this->poolNames.insert(pool.name).second)
            reader.addError(node, where + " is defined twice");
        if (reader.flag(node, "registered", where, false)) {
            this->readRegisteredPool(node, where, std::move(pool));
            return;
        }
        const YAML::Node searchers = node["searchers"];
        if (!searchers.IsDefined() || !searchers.IsSequence()) {
            reader.addError(node, where + ": a list \"searchers\" is expected");
            return;
        }
        for (const YAML::Node &entry : searchers)
            this->readSearcher(entry, node, where, pool);
        this->checkShards(node, where, pool);
        this->contents.pools.push_back(std::move(pool));
    }

    // Reads a pool whose searchers register themselves. It has a single shard, which each of them
    // holds.
    void readRegisteredPool(const YAML::Node &node, const std::string &where, Pool pool)
    {
        YamlReader &reader = this->poolsReader;
        reader.allowOnly(node, where + ", whose searchers register",
                         { "name", "registered", "connection_cap" });
        pool.connectionCap
                = reader.count(node, "connection_cap", where, 1, maxConnections, true, 1);
        this->contents.pools.push_back(std::move(pool));
    }

    // Reads a searcher; slots, connection_cap and connect_cost_ms default to the pool's.
    void readSearcher(const YAML::Node &node, const YAML::Node &poolNode,
                      const std::string &poolWhere, Pool &pool)
    {
        YamlReader &reader = this->poolsReader;
        if (!node.IsMap()) {
            reader.addError(node, poolWhere + ": a searcher must be a map");
            return;
        }
        Searcher searcher;
        searcher.pool = pool.name;
        searcher.address = reader.text(node, "address", poolWhere + ": searcher", true);
        const std::string where = poolWhere + ": searcher " + searcher.address;
        reader.allowOnly(
                node, where,
                { "address", "zone", "shard", "slots", "connection_cap", "connect_cost_ms" });
        if (!searcher.address.empty() && !isIpAndPort(searcher.address))
            reader.addError(node["address"], where + ": address must be an IP number and a port");
        if (!this->addresses.insert(searcher.address).second)
            reader.addError(node, where + ": address is used twice");
        searcher.zone = reader.text(node, "zone", where, true);
        const auto &zones = this->contents.zones;
        if (std::find(zones.begin(), zones.end(), searcher.zone) == zones.end())
            reader.addError(node["zone"],
                            where + ": zone \"" + searcher.zone + "\" does not exist");
        searcher.shard = reader.count(node, "shard", where, 0, maxShards - 1, false, 0);
        if (searcher.shard >= pool.shards)
            reader.addError(node["shard"], where + ": shard " + std::to_string(searcher.shard)
                                                   + " is not below the pool's "
                                                   + std::to_string(pool.shards) + " shards");
        const auto nodeWithField
                = [&](const char *field) { return node[field].IsDefined() ? node : poolNode; };
        searcher.slots = reader.count(nodeWithField("slots"), "slots", where, 1, maxSlots, true, 1);
        searcher.connectionCap = reader.count(nodeWithField("connection_cap"), "connection_cap",
                                              where, 1, maxConnections, true, 1);
        searcher.connectCost
                = Millis(reader.number(nodeWithField("connect_cost_ms"), "connect_cost_ms", where,
                                       0, maxConnectCostMs, false, 1));
        pool.searchers.push_back(std::move(searcher));
    }

    // Records an error for each shard that no searcher holds.
    void checkShards(const YAML::Node &node, const std::string &where, const Pool &pool)
    {
        std::set<std::uint32_t> served;
        for (const Searcher &searcher : pool.searchers)
            served.insert(searcher.shard);
        for (std::uint32_t shard = 0; shard < pool.shards; ++shard) {
            if (!served.contains(shard))
                this->poolsReader.addError(node, where + ": shard " + std::to_string(shard)
                                                         + " has no searcher");
        }
    }

    void readRoutes(const YAML::Node &root)
    {
        if (!isTable(this->routesReader, root, "routes"))
            return;
        this->routesReader.allowOnly(root, "routes", { "routes" });
        for (const YAML::Node &node : root["routes"])
            this->readRoute(node);
    }

    void readRoute(const YAML::Node &node)
    {
        YamlReader &reader = this->routesReader;
        if (!node.IsMap()) {
            reader.addError(node, "a route must be a map");
            return;
        }
        Route route;
        route.name = reader.text(node, "name", "route", true);
        const std::string where = "route \"" + route.name + "\"";
        reader.allowOnly(node, where,
                         { "name", "match", "pool", "kind", "repeatable", "target_ms",
                           "deadline_ms", "min_coverage", "below_minimum", "priority",
                           "shard_pools", "split", "max_attempts", "result_size", "rank" });
        if (!this->routeNames.insert(route.name).second)
            reader.addError(node, where + " is defined twice");
        this->readMatch(node, where, route);
        this->readDestination(node, where, route);
        route.kind = reader.choice(node, "kind", where, routeKindNames,
                                   route.trafficSplit.empty() ? RouteKind::AllShards
                                                              : RouteKind::OneSearcher);
        route.maxAttempts = reader.count(node, "max_attempts", where, 1, maxRouteAttempts, false,
                                         route.maxAttempts);
        route.resultSize = reader.count(node, "result_size", where, 1, maxResultSize, false,
                                        route.resultSize);
        route.rank = reader.count(node, "rank", where, 0, maxRank, false, route.rank);
        route.repeatable = reader.flag(node, "repeatable", where, true);
        if (route.kind == RouteKind::AllShards && !route.repeatable)
            reader.addError(node, where + ": a route to all shards must be repeatable");
        route.deadline
                = Millis(reader.number(node, "deadline_ms", where, 1, maxDeadlineMs, true, 1000));
        route.targetLatency = Millis(reader.number(node, "target_ms", where, 1, maxDeadlineMs,
                                                   false, route.deadline.count()));
        if (route.targetLatency > route.deadline)
            reader.addError(node["target_ms"], where + ": target_ms is above deadline_ms");
        route.minCoverage = reader.number(node, "min_coverage", where, 0, 1, false, 1);
        route.belowMinimum = reader.choice(node, "below_minimum", where, belowMinimumNames,
                                           BelowMinimum::Partial);
        route.priority = reader.choice(node, "priority", where, priorityNames, Priority::Normal);
        this->contents.routes.push_back(std::move(route));
    }

    void checkPool(const YAML::Node &at, const std::string &where, const std::string &pool)
    {
        if (!this->poolNames.contains(pool))
            this->routesReader.addError(at, where + ": pool \"" + pool + "\" does not exist");
    }

    // Reads the route's destination: one pool, a pool for each shard, or pools with weights.
    void readDestination(const YAML::Node &node, const std::string &where, Route &route)
    {
        YamlReader &reader = this->routesReader;
        const int destinationCount = static_cast<int>(node["pool"].IsDefined())
                                     + static_cast<int>(node["shard_pools"].IsDefined())
                                     + static_cast<int>(node["split"].IsDefined());
        if (destinationCount != 1) {
            reader.addError(node, where + ": one of pool, shard_pools and split is expected");
            return;
        }
        if (node["pool"].IsDefined()) {
            route.pool = reader.text(node, "pool", where, true);
            this->checkPool(node["pool"], where, route.pool);
        }
        route.shardPools = reader.texts(node, "shard_pools", where);
        for (const std::string &pool : route.shardPools)
            this->checkPool(node["shard_pools"], where, pool);
        const YAML::Node split = node["split"];
        if (!split.IsDefined())
            return;
        if (!split.IsSequence() || split.size() == 0) {
            reader.addError(split, where + ": split must be a list of pools with weights");
            return;
        }
        for (const YAML::Node &part : split) {
            const std::string at = where + ": split";
            reader.allowOnly(part, at, { "pool", "weight" });
            PoolShare share;
            share.pool = reader.text(part, "pool", at, true);
            share.weight = reader.number(part, "weight", at, minWeight, maxWeight, true, 1);
            this->checkPool(part, at, share.pool);
            route.trafficSplit.push_back(std::move(share));
        }
    }

    void readMatch(const YAML::Node &node, const std::string &where, Route &route)
    {
        YamlReader &reader = this->routesReader;
        const YAML::Node match = node["match"];
        if (!match.IsDefined() || !match.IsMap()) {
            reader.addError(node, where + ": a map \"match\" is expected");
            return;
        }
        reader.allowOnly(match, where + ": match", { "methods", "path", "host" });
        route.methods = reader.texts(match, "methods", where);
        route.pathPrefix = reader.text(match, "path", where + ": match", true);
        if (!route.pathPrefix.starts_with('/'))
            reader.addError(match["path"], where + ": path must begin with \"/\"");
        route.host = reader.text(match, "host", where + ": match", false);
    }

    YamlReader routesReader;
    YamlReader poolsReader;
    TableContents contents;
    std::set<std::string> poolNames;
    std::set<std::string> routeNames;
    std::set<std::string> addresses;
};

} // namespace

Parsed<TableContents> parseTables(const std::string &routesFile, const std::string &routesText,
                                  const std::string &poolsFile, const std::string &poolsText)
{
    return TablesParser(routesFile, poolsFile).run(routesText, poolsText);
}

// Writes the route's destination, the counterpart of readDestination.
static void formatDestination(YAML::Emitter &out, const Route &route)
{
    if (!route.shardPools.empty()) {
        out << YAML::Key << "shard_pools" << YAML::Value << YAML::Flow << route.shardPools;
        return;
    }
    if (route.trafficSplit.empty()) {
        out << YAML::Key << "pool" << YAML::Value << route.pool;
        return;
    }
    out << YAML::Key << "split" << YAML::Value << YAML::BeginSeq;
    for (const PoolShare &share : route.trafficSplit)
        out << YAML::Flow << YAML::BeginMap << YAML::Key << "pool" << YAML::Value << share.pool
            << YAML::Key << "weight" << YAML::Value << share.weight << YAML::EndMap;
    out << YAML::EndSeq;
}

std::string formatRoutes(const std::vector<Route> &routes)
{
    YAML::Emitter out;
    out << YAML::BeginMap << YAML::Key << "routes" << YAML::Value << YAML::BeginSeq;
    for (const Route &route : routes) {
        out << YAML::BeginMap;
        out << YAML::Key << "name" << YAML::Value << route.name;
        out << YAML::Key << "match" << YAML::Value << YAML::Flow << YAML::BeginMap;
        if (!route.methods.empty())
            out << YAML::Key << "methods" << YAML::Value << YAML::Flow << route.methods;
        out << YAML::Key << "path" << YAML::Value << route.pathPrefix;
        if (!route.host.empty())
            out << YAML::Key << "host" << YAML::Value << route.host;
        out << YAML::EndMap;
        formatDestination(out, route);
        out << YAML::Key << "kind" << YAML::Value
            << std::string(routeKindNames[static_cast<std::size_t>(route.kind)]);
        out << YAML::Key << "repeatable" << YAML::Value << route.repeatable;
        out << YAML::Key << "target_ms" << YAML::Value << route.targetLatency.count();
        out << YAML::Key << "deadline_ms" << YAML::Value << route.deadline.count();
        out << YAML::Key << "min_coverage" << YAML::Value << route.minCoverage;
        out << YAML::Key << "below_minimum" << YAML::Value
            << std::string(belowMinimumNames[static_cast<std::size_t>(route.belowMinimum)]);
        out << YAML::Key << "priority" << YAML::Value
            << std::string(priorityNames[static_cast<std::size_t>(route.priority)]);
        out << YAML::Key << "max_attempts" << YAML::Value << route.maxAttempts;
        out << YAML::Key << "result_size" << YAML::Value << route.resultSize;
        out << YAML::Key << "rank" << YAML::Value << route.rank;
        out << YAML::EndMap;
    }
    out << YAML::EndSeq << YAML::EndMap;
    return std::string(out.c_str()) + "\n";
}

std::string formatPools(const std::vector<std::string> &zones, const std::vector<Pool> &pools)
{
    YAML::Emitter out;
    out << YAML::BeginMap << YAML::Key << "zones" << YAML::Value << YAML::Flow << zones;
    out << YAML::Key << "pools" << YAML::Value << YAML::BeginSeq;
    for (const Pool &pool : pools) {
        out << YAML::BeginMap;
        out << YAML::Key << "name" << YAML::Value << pool.name;
        if (pool.searchers.empty()) {
            out << YAML::Key << "registered" << YAML::Value << true;
            out << YAML::Key << "connection_cap" << YAML::Value << pool.connectionCap;
            out << YAML::EndMap;
            continue;
        }
        out << YAML::Key << "shards" << YAML::Value << pool.shards;
        out << YAML::Key << "searchers" << YAML::Value << YAML::BeginSeq;
        for (const Searcher &searcher : pool.searchers) {
            out << YAML::Flow << YAML::BeginMap;
            out << YAML::Key << "address" << YAML::Value << searcher.address;
            out << YAML::Key << "zone" << YAML::Value << searcher.zone;
            out << YAML::Key << "shard" << YAML::Value << searcher.shard;
            out << YAML::Key << "slots" << YAML::Value << searcher.slots;
            out << YAML::Key << "connection_cap" << YAML::Value << searcher.connectionCap;
            out << YAML::Key << "connect_cost_ms" << YAML::Value << searcher.connectCost.count();
            out << YAML::EndMap;
        }
        out << YAML::EndSeq << YAML::EndMap;
    }
    out << YAML::EndSeq << YAML::EndMap;
    return std::string(out.c_str()) + "\n";
}

} // namespace quetzal
