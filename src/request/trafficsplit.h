// Shares the requests of a route among pools by weight.
#pragma once

#include "version/routingtables.h"

#include <map>
#include <string>
#include <vector>

namespace quetzal {

// Smooth weighted round robin: every run of requests keeps the shares. The state of a route begins
// anew when its shares change.
class TrafficSplit
{
public:
    // Returns the pool of the route's next request. The route must have shares.
    const std::string &nextPool(const Route &route);

private:
    struct State
    {
        std::vector<PoolShare> shares;
        std::vector<double> credit;
    };

    std::map<std::string, State, std::less<>> states;
};

} // namespace quetzal
