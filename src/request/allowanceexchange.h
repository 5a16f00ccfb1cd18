// Counts the requests of workspaces together with the other hosts.
#pragma once

#include "process/eventloop.h"
#include "process/metrics.h"
#include "request/allowancegate.h"
#include "request/allowanceledger.h"
#include "request/relayplanner.h"
#include "version/servingview.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzal {

// Carries the reports and answers of an AllowanceGate and an AllowanceLedger between hosts, and
// logs the changes of what this host believes. Used on its loop's thread only.
class AllowanceExchange
{
public:
    // self: this host. seed: differs between incarnations of this host.
    AllowanceExchange(EventLoop &loop, Metrics &metrics, const ServingView &view, RelayPeer self,
                      const AllowanceTolerance &tolerance, std::uint64_t seed);
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

    // Counts a request of a workspace. Returns nothing if it is within the allowance, and otherwise
    // the time after which its caller is to come back.
    std::optional<Millis> refusal(const Workspace &workspace, const std::string &requestId);

    // Handles a message of another host. Malformed messages, and those of other types, are dropped.
    void onMessage(HostId from, const std::string &payload);

    // Returns the number of workspaces whose last request was refused, and of those whose allowance
    // no keeper confirmed then.
    std::size_t exhaustedCount() const { return this->exhausted.size(); }
    std::size_t unconfirmedCount() const { return this->unconfirmed.size(); }

    // Number of hosts that keep the account of a workspace.
    static constexpr std::size_t keepersPerWorkspace = 2;

private:
    // Returns the hosts that keep a workspace's account, the preferred one first: those with most
    // capacity, in an order that differs between workspaces.
    const std::vector<HostId> &keepersOf(const std::string &workspace);
    void scheduleFlush(Millis delay);
    // Sends the reports and notices that are due.
    void flush();
    // Counts reports and returns the answer to them.
    AllowanceLevels handleReports(HostId from, const UsageReports &reports, Millis now);
    // Logs the changes between decisions on a workspace.
    void logDecision(const Workspace &workspace, const AllowanceDecision &decision);

    EventLoop &loop;
    Metrics &metrics;
    const ServingView &view;
    RelayPeer self;
    AllowanceTolerance tolerance;
    AllowanceGate gate;
    AllowanceLedger ledger;
    std::function<void(HostId, std::string)> send;
    std::vector<RelayPeer> peers;
    // This host and its peers.
    std::vector<HostId> hosts;
    // The largest number of hosts known recently, and when. Hosts that are lost may only be cut
    // off.
    std::size_t peakHosts = 1;
    Millis peakHostsAt;
    std::map<std::string, std::vector<HostId>> keepers;
    std::set<std::string> exhausted;
    std::set<std::string> unconfirmed;
    TimerId timer = 0;
};

} // namespace quetzal
