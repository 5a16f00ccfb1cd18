// How Gateway decides on the arrival of a request whether it is handled or refused.
#include "quetzal/fault.h"
#include "quetzal/steadyclock.h"
#include "request/gateway.h"
#include "request/servability.h"

#include <algorithm>

namespace quetzal {

static constexpr int statusUnauthorized = 401;
static constexpr int statusNotFound = 404;
static constexpr int statusTooManyRequests = 429;
static constexpr int statusUnavailable = 503;
// A pool without searchers gets new ones after seconds rather than milliseconds.
static constexpr Millis emptyPoolRetryAfter = Millis(1000);
// Time after which a host that has lost the store may have another view.
static constexpr Millis unconfirmedRetryAfter = Millis(500);
// Longest time over which the return of callers is spread.
static constexpr Millis maxRetrySpread = Millis(500);

void Gateway::onRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    const Millis now = SteadyClock::now();
    this->metrics.add(Counter::Requests);
    CallerFields fields = this->codec.parseCallerRequest(exchange->request());
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
    const Workspace *workspace = nullptr;
    if (!this->authenticate(*exchange, *route, fields, workspace))
        return;
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
    // Comes last: requests that are refused for other reasons do not use up the allowance.
    const std::optional<Millis> allowedIn
            = workspace != nullptr && this->countAllowance
                      ? this->countAllowance(*workspace, fields.requestId)
                      : std::nullopt;
    if (allowedIn) {
        this->refuse(*exchange, statusTooManyRequests, Fault::AllowanceExhausted, fields,
                     *allowedIn);
        return;
    }
    this->begin(exchange, *route, fields, workspace, now);
}

bool Gateway::authenticate(HttpExchange &exchange, const Route &route, CallerFields &fields,
                           const Workspace *&workspace)
{
    const auto &tables = this->view.tables();
    if (!tables->requiresKeys) {
        fields.forwardedFields += fields.identityFields;
        return true;
    }
    if (!this->authenticator || this->authenticator->tables() != tables)
        this->authenticator = std::make_unique<CallerAuthenticator>(tables);
    workspace = this->authenticator->identify(fields.authorization);
    if (workspace != nullptr)
        fields.forwardedFields += this->codec.workspaceField(workspace->name);
    if (workspace != nullptr || route.anonymous)
        return true;
    this->metrics.add(Counter::KeyRefusals);
    // A key that is not known here may have been added since the tables were last confirmed.
    const bool isTrusted = !this->isViewTrusted || this->isViewTrusted();
    if (isTrusted)
        this->refuse(exchange, statusUnauthorized, Fault::UnknownKey, fields);
    else
        this->refuse(exchange, statusUnavailable, Fault::ViewUnconfirmed, fields,
                     unconfirmedRetryAfter);
    return false;
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
