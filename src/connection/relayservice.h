// The relay role of one event loop: runs sub-requests on the searchers that are assigned to it.
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

// Sends sub-requests to searchers and reports their results. Used on one loop's thread only.
class RelayService
{
public:
    // index is this loop's index among the relayCount relay loops of the process.
    RelayService(const RelayContext &context, const RcuValue<RoutingSnapshot> &snapshot,
                 std::size_t index, std::size_t relayCount);

    // Accepts the items of a batch whose searchers are assigned to this loop. The one-way delay of
    // the batch is deducted twice from their budgets, once for the answer. A stale batch, which may
    // have waited in a socket while the process was paused, is refused.
    void onSubRequests(HostId entry, const std::shared_ptr<const SubRequests> &batch,
                       Millis oneWayDelay, bool stale);

    // Cancels sub-requests of an entry host.
    void onCancels(HostId entry, const Cancels &cancels);

    // Applies a newly published routing snapshot.
    void onSnapshot();

    // Refuses the waiting work after a pause of the process.
    void onPaused();

    // Returns the reports of all searchers that this loop has received a status from.
    std::vector<SearcherReport> reports() const;

    // Returns true if no work is waiting or running.
    bool idle() const;

    // Returns the index of the loop, among count, that a searcher is assigned to.
    static std::size_t loopIndexFor(SearcherId searcher, std::size_t count);

private:
    // Returns the searcher's driver, which is created on first use, or null if the searcher is not
    // in the snapshot.
    SearcherDriver *driver(SearcherId searcher, const RoutingSnapshot &current);
    // Reports that an item was not run.
    void refuse(HostId entry, const SubRequests &batch, const SubRequestItem &item, Fault fault);

    RelayContext context;
    const RcuValue<RoutingSnapshot> &snapshot;
    std::size_t loopIndex;
    std::size_t relayCount;
    std::unordered_map<SearcherId, std::unique_ptr<SearcherDriver>> drivers;
};

} // namespace quetzal
