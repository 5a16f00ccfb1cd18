// Counts the requests of workspaces together with the other hosts.
#pragma once

#include "process/eventloop.h"
#include "process/metrics.h"
#include "request/hostallowances.h"
#include "version/servingview.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzal {

// Carries the messages of HostAllowances between hosts, and logs the changes of what this host
// believes. Used on its loop's thread only.
class AllowanceExchange
{
public:
    // self: this host. hasSeeds: whether the settings name other hosts. seed: differs between
    // incarnations of this host.
    AllowanceExchange(EventLoop &loop, Metrics &metrics, const ServingView &view, RelayPeer self,
                      bool hasSeeds, const AllowanceTolerance &tolerance, std::uint64_t seed);
    ~AllowanceExchange();
    AllowanceExchange(const AllowanceExchange &) = delete;
    AllowanceExchange &operator=(const AllowanceExchange &) = delete;

    // Sets a function that sends a message to another host.
    void setTransport(std::function<void(HostId, std::string)> sender)
    {
        this->send = std::move(sender);
    }

    // Sets the other hosts that are currently alive.
    void setPeers(const std::vector<RelayPeer> &newPeers);

    // Sets whether the settings name other hosts.
    void setHasSeeds(bool hasSeeds) { this->allowances.setHasSeeds(hasSeeds); }

    // A datagram of another host arrived.
    void onHeard(HostId host);

    // Counts a request of a workspace. Returns nothing if it is within the allowance, and otherwise
    // the time after which its caller is to come back.
    std::optional<Millis> refusal(const Workspace &workspace, const std::string &requestId);

    // Handles a message of another host. Malformed messages, and those of other types, are dropped.
    void onMessage(HostId from, const std::string &payload);

    // Returns the number of workspaces whose last request was refused, and of those whose allowance
    // no keeper confirmed then.
    std::size_t exhaustedCount() const { return this->exhausted.size(); }
    std::size_t unconfirmedCount() const { return this->unconfirmed.size(); }

    // Returns the number of hosts that may be admitting requests, 0 while it is unknown, and how
    // many of them were within reach lately.
    std::size_t hostCount() const { return this->allowances.hostCount(); }
    std::size_t reachableHosts() const { return this->allowances.reachableHosts(); }

private:
    // Returns the allowance of a workspace of the tables in force.
    std::optional<Allowance> find(const std::string &workspace) const;
    // Schedules flush for when messages are due.
    void scheduleFlush();
    // Sends the reports and notices that are due.
    void flush();
    // Logs the changes between decisions on a workspace.
    void logDecision(const Workspace &workspace, const AllowanceDecision &decision);

    EventLoop &loop;
    Metrics &metrics;
    const ServingView &view;
    AllowanceTolerance tolerance;
    HostAllowances allowances;
    std::function<void(HostId, std::string)> send;
    std::set<std::string> exhausted;
    std::set<std::string> unconfirmed;
    TimerId timer = 0;
    Millis timerAt = Millis::never();
};

} // namespace quetzal
