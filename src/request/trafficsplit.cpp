#include "request/trafficsplit.h"

namespace quetzal {

const std::string &TrafficSplit::nextPool(const Route &route)
{
    State &state = this->states[route.name];
    if (state.shares != route.trafficSplit) {
        state.shares = route.trafficSplit;
        state.credit.assign(route.trafficSplit.size(), 0);
    }
    double total = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < state.shares.size(); ++i) {
        state.credit[i] += state.shares[i].weight;
        total += state.shares[i].weight;
        if (state.credit[i] > state.credit[best])
            best = i;
    }
    state.credit[best] -= total;
    return route.trafficSplit[best].pool;
}

} // namespace quetzal
