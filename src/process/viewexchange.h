// How hosts hear of each other and take from each other what the store does not tell them.
#pragma once

#include "connection/httpserver.h"
#include "connection/peerlink.h"
#include "process/eventloop.h"
#include "process/gatewaysettings.h"
#include "process/httpcall.h"
#include "process/membership.h"
#include "quetzal/steadyclock.h"
#include "version/servingview.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace quetzal {

// What an exchange needs of the process.
struct ViewExchangeHooks
{
    // True while the store answers this host.
    std::function<bool()> isStoreHealthy;
    // Another host knows of something newer that the store's feed has not told for a while.
    std::function<void()> onFeedBehind;
    // The number of hosts that share budgets changed.
    std::function<void(double)> onHostCountChanged;
    // Whether this host leaves the store to others of its zone changed.
    std::function<void(bool)> onStandbyChanged;
    // The other hosts that are alive, and have been for a while, changed.
    std::function<void(const std::vector<MemberInfo> &)> onPeersChanged;
    // A message of another host's gateway arrived, once.
    std::function<void(HostId, const std::string &)> onMessage;
    // Another host restarted or does not acknowledge messages.
    std::function<void(HostId)> onPeerLost;
};

// Sends and takes heartbeats that carry the revision of each host's view, answers other hosts'
// questions about this one's view, and asks a host that is ahead. Used on one loop.
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

    // Takes the view addresses of hosts that may exist.
    void addSeeds(const std::vector<std::string> &seeds);

    // Tells the others that this host stops.
    void leave();

    // Sends a message to another host's gateway.
    void sendMessage(HostId host, std::string payload);

    // Returns the measured time of the way to a host and back.
    Millis roundTripTo(HostId host) { return this->link->oneWayDelay(host) * 2; }

    // Returns for how long a message to a host has not been acknowledged.
    Millis unacknowledgedFor(HostId host)
    {
        return this->link->unacknowledgedFor(host, SteadyClock::now());
    }

    // The process did not run for a while.
    void onPaused() { this->link->onPaused(SteadyClock::now()); }

private:
    void onHeartbeat(const Heartbeat &heartbeat);
    void updateLinkPeers();
    void sendHeartbeats(std::vector<OutgoingHeartbeat> &out);
    void tick();
    void requestViewIfBehind(Millis now);
    void requestView(HostId host);
    void onViewResponse(const std::string &from, const HttpCallResult &result);
    void serveView(HttpExchange &exchange);
    void updateHostCount(Millis now);
    void logPeers(std::uint32_t count);
    void updateStandby(Millis now);
    void announceRevision();
    std::string viewAddressOf(const std::string &heartbeatAddress) const;
    std::string heartbeatAddressOf(const std::string &viewAddress) const;

    EventLoop &loop;
    GatewaySettings settings;
    ServingView &view;
    ViewExchangeHooks hooks;
    Membership membership;
    std::unique_ptr<PeerLink> link;
    Incarnation linkIncarnation;
    std::minstd_rand random;
    std::vector<HostId> reportedPeers;
    // The life of each other host and since when it has been heard.
    std::map<HostId, std::pair<Incarnation, Millis>> aliveSince;
    std::shared_ptr<HttpServer> server;
    TimerId timer = 0;
    // Since when some host has been ahead, and by how much it was then.
    Millis behindSince = Millis::never();
    std::uint64_t catchUpRevision = 0;
    bool requestPending = false;
    bool standby = false;
    std::uint64_t announcedRevision = 0;
    std::uint32_t hostCount = 0;
    // States of other hosts as the log told them last.
    std::map<HostId, MemberState> loggedStates;
    double peakFleetCapacity = 0;
    Millis peakEquivalentHostsAt;
    Millis startedAt;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace quetzal
