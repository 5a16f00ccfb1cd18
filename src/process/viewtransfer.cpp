// The parts of ViewExchange that request the views of other hosts and serve this host's view.
#include "process/eventlog.h"
#include "process/viewexchange.h"
#include "quetzal/steadyclock.h"
#include "version/codec.h"
#include "version/registrationcheck.h"
#include "version/viewcheck.h"

#include <algorithm>
#include <charconv>

#include <Poco/Exception.h>
#include <Poco/URI.h>

namespace quetzal {

static constexpr int statusOk = 200;
static constexpr int statusBadRequest = 400;
// Time that the store's feed is given to catch up before the view is requested from another host.
static constexpr Millis feedCatchUpTime = Millis(900);
// Longest time between two doubts of the feed while other hosts stay ahead.
static constexpr Millis maxDoubtInterval = Millis(15'000);
static constexpr Millis viewRequestTimeout = Millis(600);
// Number of hosts that are asked for tables that a restored store may have lost.
static constexpr int lostTableRequests = 3;
// Time for which a host is not asked again that does not have what it claims, or whose view cannot
// be used.
static constexpr Millis distrustPeriod = Millis(30'000);

std::vector<HostId> ViewExchange::hostsAhead(Millis now) const
{
    std::vector<HostId> ahead = this->membership.aheadOf({ this->view.revision() });
    std::erase_if(ahead, [&](HostId host) {
        return this->distrusted.contains(host, this->membership.find(host)->revision, now);
    });
    return ahead;
}

void ViewExchange::requestViewIfBehind(Millis now)
{
    this->distrusted.removeExpired(now);
    const std::vector<HostId> ahead = this->hostsAhead(now);
    if (ahead.empty()) {
        this->behindSince = Millis::never();
        this->requestLostTables(now);
        return;
    }
    const bool isNewLag = this->behindSince == Millis::never()
                          || this->view.revision() >= this->catchUpRevision;
    if (isNewLag) {
        this->behindSince = now;
        this->nextDoubtAt = now + feedCatchUpTime;
        this->doubtInterval = feedCatchUpTime;
        this->catchUpRevision = 0;
        for (const HostId host : ahead)
            this->catchUpRevision
                    = std::max(this->catchUpRevision, this->membership.find(host)->revision.value);
    }
    const bool usesFeed = this->hooks.isStoreHealthy() && !this->standby;
    if ((usesFeed && now - this->behindSince < feedCatchUpTime) || this->requestPending)
        return;
    // Each doubt gives up the feed's call, and the store may need longer than other hosts need to
    // fail, so the doubts become rarer.
    if (usesFeed && now >= this->nextDoubtAt) {
        this->doubtInterval = std::min(maxDoubtInterval, this->doubtInterval * 2);
        this->nextDoubtAt = now + this->doubtInterval;
        this->hooks.onFeedDoubted();
    }
    // Chosen at random, so that not all hosts that are behind request the view of the same host.
    this->requestView(ahead[this->random() % ahead.size()], now);
}

void ViewExchange::requestLostTables(Millis now)
{
    const std::uint64_t era = this->view.position().era;
    if (era != this->tablesEra) {
        this->tablesEra = era;
        this->tableRequestsLeft = lostTableRequests;
    }
    if (this->tableRequestsLeft == 0 || this->requestPending || this->reportedMembers.empty())
        return;
    this->tableRequestsLeft -= 1;
    this->requestView(this->reportedMembers[this->random() % this->reportedMembers.size()], now);
}

void ViewExchange::requestView(HostId host, Millis now)
{
    const MemberInfo *member = this->membership.find(host);
    if (member == nullptr)
        return;
    const std::string address = this->viewAddressOf(member->address);
    // Addresses come from other hosts.
    if (!parseNumericAddress(address)) {
        this->refuseView(host, address, "the address is not an IP number and a port", now);
        return;
    }
    const auto httpCaller = std::make_shared<HttpCaller>(this->loop, address);
    const std::string target = "/view?after=" + std::to_string(this->view.revision())
                               + "&tables=" + std::to_string(this->view.tablesRevision().value);
    httpCaller->get(target, viewRequestTimeout,
                    [this, httpCaller, host, claim = member->revision, address,
                     isAlive = this->alive](const HttpCallResult &result) {
                        if (*isAlive)
                            this->onViewResponse(host, claim, address, result);
                    });
    // Comes last, because a call that could not be made is not pending.
    this->requestPending = true;
}

void ViewExchange::refuseView(HostId host, const std::string &from, const std::string &reason,
                              Millis now)
{
    this->distrusted.add(host, std::nullopt, now + distrustPeriod);
    if (const auto suppressed = this->refusedLog.admit(now))
        logEvent(LogEvent::PeerMessageDropped,
                 "peer=" + quotable(from) + " kind=view reason=\"" + quotable(reason)
                         + "\" suppressed=" + std::to_string(*suppressed));
}

void ViewExchange::onViewResponse(HostId host, Revision claim, const std::string &from,
                                  const HttpCallResult &result)
{
    this->requestPending = false;
    if (result.status != statusOk)
        return;
    const Millis now = SteadyClock::now();
    auto delta = decode<ViewDelta>(result.body);
    const std::string problem = !delta          ? "it cannot be decoded"
                                : delta->tables ? tablesProblem(*delta->tables)
                                                : std::string();
    if (!problem.empty()) {
        this->refuseView(host, from, problem, now);
        return;
    }
    for (SearcherRegistration &registration : delta->registrations) {
        const std::string invalid = dropInvalid(registration);
        if (!invalid.empty())
            logEvent(LogEvent::RegistrationDropped,
                     "key=" + quotable(registration.id) + " reason=\"" + invalid + "\"");
    }
    const std::size_t entries = delta->registrations.size();
    const std::uint64_t completeRevision = delta->completeRevision;
    bool isUsable = false;
    const bool applied = this->loop.runContained(
            "view", [&] { isUsable = this->view.applyDelta(std::move(*delta), now); });
    if (!applied || !isUsable || completeRevision < claim.value)
        this->distrusted.add(host, claim, now + distrustPeriod);
    logEvent(LogEvent::PeerViewTaken,
             "peer=" + from + " entries=" + std::to_string(entries)
                     + " tables=" + std::to_string(this->view.tablesRevision().value)
                     + " revision=" + StorePosition::unpacked(completeRevision).toString());
}

void ViewExchange::serveView(HttpExchange &exchange)
{
    std::uint64_t after = 0;
    Revision tables;
    bool valid = false;
    try {
        const Poco::URI uri(exchange.request().head.getURI());
        for (const auto &[name, value] : uri.getQueryParameters()) {
            std::uint64_t number = 0;
            const auto parsed = std::from_chars(value.data(), value.data() + value.size(), number);
            valid = parsed.ec == std::errc() && parsed.ptr == value.data() + value.size();
            if (name == "after")
                after = number;
            else if (name == "tables")
                tables.value = number;
        }
    } catch (const Poco::Exception &) {
        valid = false;
    }
    if (!valid) {
        exchange.respond(statusBadRequest, {}, "{\"error\":\"after and tables are expected\"}");
        return;
    }
    exchange.respond(statusOk, {}, encode(this->view.delta(after, tables)),
                     "application/octet-stream");
}

} // namespace quetzal
