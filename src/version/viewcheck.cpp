#include "version/viewcheck.h"

#include "version/registrationcheck.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

template <typename Enumerator, std::size_t count>
static bool isKnown(Enumerator value, const std::array<std::string_view, count> &)
{
    return static_cast<std::size_t>(value) < count;
}

// Returns true for a finite time that is not negative.
static bool isSpan(Millis span)
{
    return std::isfinite(span.count()) && span >= Millis();
}

static bool isValid(const Route &route)
{
    return isKnown(route.kind, routeKindNames) && isKnown(route.priority, priorityNames)
           && isKnown(route.belowMinimum, belowMinimumNames) && isSpan(route.targetLatency)
           && isSpan(route.deadline) && std::isfinite(route.minCoverage)
           && std::all_of(
                   route.trafficSplit.begin(), route.trafficSplit.end(),
                   [](const PoolShare &s) { return std::isfinite(s.weight) && s.weight > 0; });
}

static bool isValid(const Searcher &searcher)
{
    return parseNumericAddress(searcher.address).has_value() && isSpan(searcher.connectCost);
}

static bool isValid(const Pool &pool)
{
    return std::isfinite(pool.warmupRate) && pool.warmupRate >= 0
           && std::all_of(pool.searchers.begin(), pool.searchers.end(),
                          [](const Searcher &searcher) { return isValid(searcher); });
}

std::string tablesProblem(const RoutingTables &tables)
{
    if (!isSpan(tables.limits.headerTimeout) || !isSpan(tables.limits.idleTimeout))
        return "the limits of callers are invalid";
    for (const Route &route : tables.routes) {
        if (!isValid(route))
            return "route \"" + route.name + "\" is invalid";
    }
    for (const Pool &pool : tables.pools) {
        if (!isValid(pool))
            return "pool \"" + pool.name + "\" is invalid";
    }
    return {};
}

std::vector<std::pair<std::string, std::string>> removeInvalid(RoutingTables &tables)
{
    std::vector<std::pair<std::string, std::string>> removed;
    std::erase_if(tables.routes, [&](const Route &route) {
        if (isValid(route))
            return false;
        removed.emplace_back(route.name, "a field of the route has no valid value");
        return true;
    });
    for (Pool &pool : tables.pools) {
        std::erase_if(pool.searchers, [&](const Searcher &searcher) {
            if (isValid(searcher))
                return false;
            removed.emplace_back(searcher.address, "the address is not an IP number and a port, or "
                                                   "the time to connect is not valid");
            return true;
        });
    }
    return removed;
}

std::string dropInvalid(SearcherRegistration &registration)
{
    std::string problem = registrationProblem(registration);
    if (!problem.empty())
        registration.state = SearcherState::Gone;
    return problem;
}

} // namespace quetzal
