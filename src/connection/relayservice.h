// The relay role of one loop: the searchers that fall to it.
#pragma once

#include "connection/messages.h"
#include "connection/searcherdriver.h"
#include "process/rcuvalue.h"
#include "version/routingsnapshot.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace quetzal {

// Takes sub-requests for searchers and returns their ends. Used on one loop's thread only.
class RelayService
{
public:
    RelayService(const RelayContext &context, const RcuValue<RoutingSnapshot> &snapshot,
                 std::size_t index, std::size_t relayCount);

    // Takes the items of a batch whose searchers fall to this loop. The transit is the time the
    // batch was on its way. stale: it may have waited in a socket while the process was paused.
    void onSubRequests(HostId entry, const std::shared_ptr<const SubRequests> &batch,
                       Millis transit, bool stale);
    void onCancels(HostId entry, const Cancels &cancels);

    // A new world was published.
    void onSnapshot();
    void onPaused();

    // Returns the reports of all searchers that this loop owns.
    std::vector<SearcherReport> reports() const;

    // Returns true if nothing waits or runs.
    bool idle() const;

    // Returns the loop among count that a searcher falls to.
    static std::size_t loopIndexFor(SearcherId searcher, std::size_t count);

private:
    SearcherDriver *driver(SearcherId searcher, const RoutingSnapshot &current);
    void refuse(HostId entry, const SubRequests &batch, const SubRequestItem &item, Fault fault);

    RelayContext context;
    const RcuValue<RoutingSnapshot> &snapshot;
    std::size_t loopIndex;
    std::size_t relayCount;
    std::unordered_map<SearcherId, std::unique_ptr<SearcherDriver>> drivers;
};

} // namespace quetzal
