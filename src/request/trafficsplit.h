// Distributes the requests of a route among pools by weight.
#pragma once

#include "version/routingtables.h"

#include <map>
#include <string>
#include <vector>

namespace quetzal {

// Smooth weighted round robin: the shares also hold within short runs of requests. The state of a
// route is reset when its shares change.
class TrafficSplit
{
public:
    // Returns the pool for the next request of the route. The route must have at least one share.
    const std::string &nextPool(const Route &route);

private:
    struct State
    {
        std::vector<PoolShare> shares;
        // Accumulated weight of each pool; the pool with the most gets the next request.
        std::vector<double> credit;
    };

    std::map<std::string, State, std::less<>> states;
};

} // namespace quetzal
