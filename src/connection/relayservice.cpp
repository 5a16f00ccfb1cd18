#include "connection/relayservice.h"

#include "quetzal/steadyclock.h"

#include <algorithm>

namespace quetzal {

RelayService::RelayService(const RelayContext &context, const RcuValue<RoutingSnapshot> &snapshot,
                           std::size_t index, std::size_t relayCount)
    : context(context)
    , snapshot(snapshot)
    , loopIndex(index)
    , relayCount(relayCount)
{}

std::size_t RelayService::loopIndexFor(SearcherId searcher, std::size_t count)
{
    return stableHash(searcher.value, 0) % count;
}

static SearcherLimits limitsOf(const Searcher &searcher)
{
    return { searcher.slots, searcher.connectionCap, searcher.connectCost };
}

SearcherDriver *RelayService::driver(SearcherId searcher, const RoutingSnapshot &current)
{
    const auto found = this->drivers.find(searcher);
    if (found != this->drivers.end())
        return found->second.get();
    const auto location = current.searchers.find(searcher);
    if (location == current.searchers.end())
        return nullptr;
    const Searcher &entry = *location->second.searcher;
    auto newDriver
            = std::make_unique<SearcherDriver>(this->context, entry.address, limitsOf(entry));
    if (current.leaving.contains(searcher))
        newDriver->setLeaving(true);
    return this->drivers.emplace(searcher, std::move(newDriver)).first->second.get();
}

void RelayService::refuse(HostId entry, const SubRequests &batch, const SubRequestItem &item,
                          Fault fault)
{
    AttemptResult result;
    result.id = { batch.query, item.ordinal };
    result.outcome = { Verdict::NotRun, fault, Hop::Relay };
    this->context.metrics.add(Counter::RelayNotRun);
    this->context.reply(entry, std::move(result));
}

void RelayService::onSubRequests(HostId entry, const std::shared_ptr<const SubRequests> &batch,
                                 Millis oneWayDelay, bool stale)
{
    const std::shared_ptr<const RoutingSnapshot> current = this->snapshot.read();
    const Millis now = SteadyClock::now();
    for (const SubRequestItem &item : batch->items) {
        if (loopIndexFor(item.searcher, this->relayCount) != this->loopIndex)
            continue;
        if (stale) {
            this->refuse(entry, *batch, item, Fault::ProcessPaused);
            continue;
        }
        SearcherDriver *target = current ? this->driver(item.searcher, *current) : nullptr;
        if (target == nullptr) {
            this->refuse(entry, *batch, item, Fault::PoolEmpty);
            continue;
        }
        RelayWork work;
        work.batch = batch;
        work.item = item;
        work.item.budgetMs -= 2 * oneWayDelay.count();
        work.entry = entry;
        work.arrivedAt = now;
        target->submit(work, now + Millis(work.item.budgetMs));
    }
}

void RelayService::onCancels(HostId entry, const Cancels &cancels)
{
    for (const CancelItem &item : cancels.items) {
        const auto found = this->drivers.find(item.searcher);
        if (found == this->drivers.end())
            continue;
        this->context.metrics.add(Counter::Cancels);
        found->second->cancel(entry, item.attempt);
    }
}

static void updateDriver(SearcherDriver &driver, SearcherId id, const RoutingSnapshot &current)
{
    const auto location = current.searchers.find(id);
    const bool listed = location != current.searchers.end();
    driver.setOwned(listed && location->second.owner == current.self);
    if (listed)
        driver.setLimits(limitsOf(*location->second.searcher));
    // A searcher that was removed from the tables is drained too.
    driver.setLeaving(!listed || current.leaving.contains(id));
}

void RelayService::onSnapshot()
{
    const std::shared_ptr<const RoutingSnapshot> current = this->snapshot.read();
    if (!current)
        return;
    for (const auto &[id, location] : current->searchers) {
        const bool ownedHere = location.owner == current->self
                               && loopIndexFor(id, this->relayCount) == this->loopIndex;
        if (ownedHere)
            this->driver(id, *current);
    }
    std::vector<SearcherId> removed;
    for (const auto &entry : this->drivers) {
        const SearcherId id = entry.first;
        SearcherDriver &driver = *entry.second;
        const bool listed = current->searchers.contains(id);
        // The other searchers must not depend on this one.
        this->context.loop.runContained("view", [&] { updateDriver(driver, id, *current); });
        if (!listed && driver.idle())
            removed.push_back(id);
    }
    for (const SearcherId id : removed)
        this->drivers.erase(id);
}

void RelayService::onPaused()
{
    for (const auto &[id, driver] : this->drivers)
        driver->onPaused();
}

std::vector<SearcherReport> RelayService::reports() const
{
    std::vector<SearcherReport> result;
    for (const auto &[id, driver] : this->drivers) {
        const bool hasState
                = !driver->lastReport().holdings.empty() || driver->lastReport().draining;
        if (hasState)
            result.push_back(driver->lastReport());
    }
    return result;
}

bool RelayService::idle() const
{
    return std::all_of(this->drivers.begin(), this->drivers.end(),
                       [](const auto &entry) { return entry.second->idle(); });
}

} // namespace quetzal
