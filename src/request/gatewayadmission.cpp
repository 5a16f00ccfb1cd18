// How Gateway decides on the arrival of a request whether it is handled or refused.
#include "quetzal/fault.h"
#include "quetzal/steadyclock.h"
#include "request/gateway.h"
#include "request/servability.h"

#include <algorithm>

namespace quetzal {

static constexpr int statusNotFound = 404;
static constexpr int statusUnavailable = 503;
// A pool without searchers gets new ones after seconds rather than milliseconds.
static constexpr Millis emptyPoolRetryAfter = Millis(1000);
// Longest time over which the return of callers is spread.
static constexpr Millis maxRetrySpread = Millis(500);

void Gateway::onRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    const Millis now = SteadyClock::now();
    this->metrics.add(Counter::Requests);
    const CallerFields fields = this->codec.parseCallerRequest(exchange->request());
    const auto &tables = this->view.tables();
    if (!tables) {
        this->refuse(*exchange, statusUnavailable, Fault::NoVersion, fields);
        return;
    }
    const std::string &target = exchange->request().head.getURI();
    const std::string_view path = std::string_view(target).substr(0, target.find('?'));
    const Route *route = tables->match(exchange->request().head.getMethod(), path, fields.host);
    if (route == nullptr) {
        this->refuse(*exchange, statusNotFound, Fault::NoRoute, fields);
        return;
    }
    if (!this->isServable(*route, now)) {
        this->refuse(*exchange, statusUnavailable, Fault::PoolEmpty, fields,
                     this->retryAfterEmptyPool(*route, fields.requestId, now));
        return;
    }
    const Millis latestEnd
            = now + std::min(fields.timeout.value_or(route->deadline), route->deadline);
    if (!route->repeatable && latestEnd > this->shutdownDeadline) {
        this->refuse(*exchange, statusUnavailable, Fault::Stopping, fields);
        return;
    }
    this->begin(exchange, *route, fields, now);
}

std::vector<std::shared_ptr<ShardPool>> Gateway::poolsOf(const Route &route) const
{
    std::vector<std::shared_ptr<ShardPool>> pools;
    for (const std::string &name : route.shardPools)
        pools.push_back(this->scatterExecutor.pool(name));
    if (pools.empty() && !route.pool.empty())
        pools.push_back(this->scatterExecutor.pool(route.pool));
    return pools;
}

bool Gateway::isServable(const Route &route, Millis now) const
{
    const std::vector<std::shared_ptr<ShardPool>> pools = this->poolsOf(route);
    if (pools.empty())
        return true;
    const std::size_t maxMissing = pools.size() - requiredParts(route);
    if (quetzal::isServable(pools, maxMissing, now))
        return true;
    // Searchers ask each host for a pause of its own, so another host may still gather the parts.
    const bool isRelayed = !route.shardPools.empty() && this->partRelay.hasPeers();
    return isRelayed && servableAt(pools, maxMissing, now) != Millis::never();
}

Millis Gateway::retryAfterEmptyPool(const Route &route, const std::string &requestId,
                                    Millis now) const
{
    static constexpr std::uint64_t spreadSteps = 1000;
    const std::vector<std::shared_ptr<ShardPool>> pools = this->poolsOf(route);
    if (pools.empty())
        return defaultRetryAfter;
    const Millis wait = servableAt(pools, pools.size() - requiredParts(route), now) - now;
    if (wait == Millis::never() || wait <= Millis())
        return route.shardPools.empty() ? defaultRetryAfter : emptyPoolRetryAfter;
    const double spread = static_cast<double>(stableHash(requestId) % spreadSteps) / spreadSteps;
    return wait + std::min(wait, maxRetrySpread) * spread;
}

} // namespace quetzal
