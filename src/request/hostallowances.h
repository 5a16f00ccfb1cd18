// One host's part in counting the requests of workspaces together with the other hosts.
#pragma once

#include "quetzal/ids.h"
#include "quetzal/millis.h"
#include "request/allowance.h"
#include "request/allowancegate.h"
#include "request/allowanceledger.h"
#include "request/allowancemessages.h"
#include "request/fleetreach.h"
#include "request/relayplanner.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace quetzal {

// A message about allowances to another host.
struct AllowanceMessage
{
    HostId to;
    std::variant<UsageReports, AllowanceLevels> content;
};

// Decides on requests by an AllowanceGate, and keeps the accounts of some workspaces in an
// AllowanceLedger.
//
// Answers a flood that meets hosts which start, are lost or are cut off from each other: the
// accounts of a workspace are kept by hosts that know the whole fleet, and a keeper gives out the
// part of the allowance that belongs to the hosts within its reach. Has neither clock nor sockets.
class HostAllowances
{
public:
    // Returns the allowance of a workspace, or nothing if there is no such workspace.
    using Lookup = std::function<std::optional<Allowance>(const std::string &workspace)>;

    // self: this host. hasSeeds: whether the settings name other hosts. seed: differs between
    // incarnations of this host.
    HostAllowances(RelayPeer self, bool hasSeeds, std::uint64_t seed, Lookup lookup, Millis now);

    // Sets the other hosts that are currently alive.
    void setPeers(const std::vector<RelayPeer> &newPeers, Millis now);

    void setHasSeeds(bool hasOtherHosts) { this->reach.setHasSeeds(hasOtherHosts); }

    // A datagram of another host arrived.
    void onHeard(HostId host, Millis now) { this->reach.onHeard(host, now); }

    // Decides on a request.
    AllowanceDecision decide(const std::string &workspace, const Allowance &allowance, Millis now);

    // Returns the reports and notices that are due.
    std::vector<AllowanceMessage> takeMessages(Millis now);

    // Returns when takeMessages is to be called; never if nothing is to be sent.
    Millis nextMessages(Millis now) const;

    // Handles a message of another host. Reports return the answer, unless this host does not keep
    // the accounts.
    std::optional<AllowanceMessage> onReports(HostId from, const UsageReports &reports, Millis now);
    void onLevels(HostId from, const AllowanceLevels &levels, Millis now);

    // Returns the number of hosts that may be admitting requests, 0 while it is unknown, and how
    // many of them were within reach lately.
    std::size_t hostCount() const { return this->fleet.hosts; }
    std::size_t reachableHosts() const { return this->reachableCount; }

    // Number of hosts that keep the account of a workspace.
    static constexpr std::size_t keepersPerWorkspace = 2;

private:
    // Returns the hosts that keep a workspace's account, the preferred one first: those with most
    // capacity, in an order that differs between workspaces.
    const std::vector<HostId> &keepersOf(const std::string &workspace);
    bool isKeeperOf(const std::string &workspace);
    // Returns true if a host that kept the account before this one was lost a short time ago.
    bool hasTakenOver(const std::string &workspace, Millis now) const;
    // Returns true if this host may confirm requests of a workspace, its own included.
    bool canConfirm(const std::string &workspace, const Allowance &allowance, Millis now);
    // Counts the hosts, and passes the part of them that is within reach to the ledger.
    void updateFleet(Millis now);

    RelayPeer self;
    Lookup lookup;
    FleetReach reach;
    AllowanceGate gate;
    AllowanceLedger ledger;
    std::vector<RelayPeer> peers;
    // Hosts that were lost in the last seconds, and when.
    std::vector<std::pair<RelayPeer, Millis>> lostPeers;
    // This host and its peers.
    std::vector<HostId> hosts;
    std::map<std::string, std::vector<HostId>> keepers;
    // When reports may be sent, as they are gathered for a time.
    Millis reportsDueAt = Millis::never();
    AllowanceFleet fleet;
    std::size_t reachableCount = 1;
    Millis fleetUpdatedAt = Millis(-1e9);
};

} // namespace quetzal
