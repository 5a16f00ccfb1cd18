// Membership of the gateways, and exchange of their views (routing tables and searcher
// registrations) when the store is unavailable or lags.
#pragma once

#include "connection/httpserver.h"
#include "connection/peerlink.h"
#include "process/distrustedclaims.h"
#include "process/eventloop.h"
#include "process/gatewaysettings.h"
#include "process/httpcall.h"
#include "process/loglimiter.h"
#include "process/membership.h"
#include "quetzal/steadyclock.h"
#include "version/servingview.h"
#include "version/viewfeed.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace quetzal {

// Callbacks of a view exchange to its process.
struct ViewExchangeHooks
{
    // Returns true while the store responds to this host.
    std::function<bool()> isStoreHealthy;
    // Returns the state of this host's feed, for the log.
    std::function<FeedStatus()> feedStatus;
    // The feed has not delivered a revision that another host has had for some time, or nothing has
    // shown for some time that the view is complete.
    std::function<void()> onFeedDoubted;
    // The longest time changed for which the store may hold a call open.
    std::function<void(Millis)> onMaxCallWaitChanged;
    // The capacity of the hosts that share budgets changed, relative to the capacity of this host.
    std::function<void(double)> onFleetCapacityChanged;
    // This host began or stopped to be on standby, in which other hosts of its zone follow the
    // store.
    std::function<void(bool)> onStandbyChanged;
    // The set of other hosts that have been alive for some time changed.
    std::function<void(const std::vector<MemberInfo> &)> onPeersChanged;
    // The set of other hosts that are alive changed, those included that have just started.
    std::function<void(const std::vector<MemberInfo> &)> onMembersChanged;
    // A message from another host arrived; called once for each message.
    std::function<void(HostId, const std::string &)> onMessage;
    // Another host restarted or does not acknowledge messages.
    std::function<void(HostId)> onPeerLost;
    // A datagram of another host arrived.
    std::function<void(HostId)> onHeard;
};

// Exchanges heartbeats that contain the revision of each host's view, serves this host's view to
// other hosts, and fetches the view of a host that is ahead. Used on one loop.
class ViewExchange
{
public:
    // Throws Poco::Net::NetException if an address cannot be bound.
    ViewExchange(EventLoop &loop, const GatewaySettings &settings, ServingView &view,
                 ViewExchangeHooks hooks);
    ~ViewExchange();
    ViewExchange(const ViewExchange &) = delete;
    ViewExchange &operator=(const ViewExchange &) = delete;

    void start();

    // Makes connections of the view address share a budget.
    void setMemoryBudget(std::shared_ptr<MemoryBudget> budget)
    {
        this->server->setMemoryBudget(std::move(budget));
    }

    // Adds and pings hosts that may exist, given by their view addresses.
    void addSeeds(const std::vector<std::string> &seeds);

    // Announces that this host is leaving.
    void leave();

    // Sends a message to another host; it is dropped if it is not acknowledged in time.
    void sendMessage(HostId host, std::string payload);

    // Returns the measured round-trip time to a host.
    Millis roundTripTo(HostId host) { return this->link->oneWayDelay(host) * 2; }

    // Returns for how long the oldest pending message to a host has not been acknowledged.
    Millis unacknowledgedFor(HostId host)
    {
        return this->link->unacknowledgedFor(host, SteadyClock::now());
    }

    // Returns true if for longer than a change may take neither the store nor another host has
    // shown that the view is complete. A host on standby is told by others.
    bool isUnconfirmed(Millis now) const;

    // The process did not run for a while.
    void onPaused();

private:
    // Time between two lines about views that are not used.
    static constexpr Millis refusedLogPeriod = Millis(10'000);

    void onHeartbeat(const Heartbeat &heartbeat);
    // Passes addresses and incarnations to the link, and reports a change of the alive hosts.
    void updateLinkPeers();
    void sendHeartbeats(std::vector<OutgoingHeartbeat> &out);
    void tick();
    // Requests the view of a host that is ahead if the store does not deliver it soon.
    void requestViewIfBehind(Millis now);
    // Asks some hosts for newer tables after a restore of the store, which may have lost them, or
    // after a start of this host since.
    void requestLostTables(Millis now);
    // Returns the hosts that claim a higher revision and are not distrusted.
    std::vector<HostId> hostsAhead(Millis now) const;
    void requestView(HostId host, Millis now);
    // Logs that a host's view is not used, and asks other hosts for some time.
    void refuseView(HostId host, const std::string &from, const std::string &reason, Millis now);
    void onViewResponse(HostId host, Revision claim, const std::string &from,
                        const HttpCallResult &result);
    void serveView(HttpExchange &exchange);
    // Logs changes of the hosts, and reports the capacity of the fleet.
    void updateFleetCapacity(Millis now);
    void logPeers(std::uint32_t count);
    void updateReaders(Millis now);
    void announceRevision();
    // Takes a confirmation of another host that is not ahead of this one.
    void onConfirmation(const Heartbeat &heartbeat, Millis now);
    // Asks the feed to read again if nothing confirms the view, or confirms it to other hosts.
    void updateFreshness(Millis now);
    // Returns the log fields that state how complete the view is.
    std::string confirmationFields(Millis now) const;
    // Logs when the view begins or ceases to be unconfirmed for longer than a change may take.
    void logConfirmation(Millis now);
    std::string viewAddressOf(const std::string &heartbeatAddress) const;
    std::string heartbeatAddressOf(const std::string &viewAddress) const;

    EventLoop &loop;
    GatewaySettings settings;
    ServingView &view;
    ViewExchangeHooks hooks;
    Membership membership;
    std::unique_ptr<PeerLink> link;
    // Incarnation that the link uses. Changes if another host knows a larger one of this host.
    Incarnation linkIncarnation;
    std::minstd_rand random;
    std::vector<HostId> reportedPeers;
    std::vector<HostId> reportedMembers;
    // Incarnation of each other host, and since when it has been alive.
    std::map<HostId, std::pair<Incarnation, Millis>> aliveSince;
    std::shared_ptr<HttpServer> server;
    TimerId timer = 0;
    // Since when some host has been ahead, and the highest revision at that time.
    Millis behindSince = Millis::never();
    std::uint64_t catchUpRevision = 0;
    // When the feed may next be doubted because other hosts are ahead.
    Millis nextDoubtAt;
    Millis doubtInterval;
    DistrustedClaims distrusted;
    LogLimiter refusedLog = LogLimiter(refusedLogPeriod);
    bool requestPending = false;
    // The store's era for which other hosts have been asked for newer tables, and how many are
    // still to be asked.
    std::uint64_t tablesEra = 0;
    int tableRequestsLeft = 0;
    bool standby = false;
    // The other hosts that follow the store, by id.
    std::vector<HostId> otherReaders;
    Millis maxCallWait;
    // True while the view is logged as unconfirmed.
    bool loggedUnconfirmed = false;
    std::uint64_t announcedRevision = 0;
    // Number of eligible hosts at the last updateFleetCapacity.
    std::uint32_t hostCount = 0;
    // States of other hosts as logged last.
    std::map<HostId, MemberState> loggedStates;
    // Highest recent capacity of the fleet relative to this host, and when it was seen.
    double peakFleetCapacity = 0;
    Millis peakFleetCapacityAt;
    Millis startedAt;
    // False once this object is destroyed; shared with the callbacks of calls in flight.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace quetzal
