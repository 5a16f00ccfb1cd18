#include "version/routingtables.h"

#include <algorithm>

namespace quetzal {

// Returns true if a request matches the route. An empty host or method list matches all.
static bool accepts(const Route &route, std::string_view method, std::string_view path,
                    std::string_view host)
{
    if (!path.starts_with(route.pathPrefix))
        return false;
    // "/shop" must not match "/shopping".
    const std::size_t end = route.pathPrefix.size();
    const bool wholeSegment
            = path.size() == end || route.pathPrefix.ends_with('/') || path[end] == '/';
    if (!wholeSegment)
        return false;
    if (!route.host.empty() && route.host != host)
        return false;
    if (route.methods.empty())
        return true;
    return std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

const Route *RoutingTables::match(std::string_view method, std::string_view path,
                                  std::string_view host) const
{
    const Route *best = nullptr;
    for (const Route &route : this->routes) {
        if (!accepts(route, method, path, host))
            continue;
        if (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size()
            || (route.pathPrefix.size() == best->pathPrefix.size()
                && route.host.size() > best->host.size()))
            best = &route;
    }
    return best;
}

const Pool *RoutingTables::pool(std::string_view name) const
{
    for (const Pool &pool : this->pools) {
        if (pool.name == name)
            return &pool;
    }
    return nullptr;
}

} // namespace quetzal
