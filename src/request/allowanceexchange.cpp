#include "request/allowanceexchange.h"

#include "connection/relaymessages.h"
#include "process/eventlog.h"
#include "quetzal/steadyclock.h"

#include <algorithm>
#include <sstream>
#include <tuple>

namespace quetzal {

// Time for which lost hosts count, as they may be alive and cut off.
static constexpr Millis lostHostRetention = Millis(20'000);

AllowanceExchange::AllowanceExchange(EventLoop &loop, Metrics &metrics, const ServingView &view,
                                     RelayPeer self, const AllowanceTolerance &tolerance,
                                     std::uint64_t seed)
    : loop(loop)
    , metrics(metrics)
    , view(view)
    , self(std::move(self))
    , tolerance(tolerance)
    , gate(seed, seed, SteadyClock::now())
    , ledger(SteadyClock::now())
{}

AllowanceExchange::~AllowanceExchange()
{
    this->loop.cancel(this->timer);
}

void AllowanceExchange::setPeers(const std::vector<RelayPeer> &newPeers)
{
    this->peers = newPeers;
    this->keepers.clear();
    this->hosts = { this->self.id };
    for (const RelayPeer &peer : this->peers)
        this->hosts.push_back(peer.id);
    const Millis now = SteadyClock::now();
    if (this->peers.size() + 1 >= this->peakHosts || now - this->peakHostsAt > lostHostRetention) {
        this->peakHosts = this->peers.size() + 1;
        this->peakHostsAt = now;
    }
}

const std::vector<HostId> &AllowanceExchange::keepersOf(const std::string &workspace)
{
    std::vector<HostId> &result = this->keepers[workspace];
    if (!result.empty())
        return result;
    std::vector<RelayPeer> ranked = this->peers;
    ranked.push_back(this->self);
    const auto rank = [&](const RelayPeer &peer) {
        return std::tuple(-peer.capacity, stableHash(workspace, peer.id.value), peer.id);
    };
    const std::size_t count = std::min(keepersPerWorkspace, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(),
                      [&](const RelayPeer &a, const RelayPeer &b) { return rank(a) < rank(b); });
    for (std::size_t i = 0; i < count; ++i)
        result.push_back(ranked[i].id);
    return result;
}

std::optional<Millis> AllowanceExchange::refusal(const Workspace &workspace,
                                                 const std::string &requestId)
{
    const AllowanceDecision decision = this->gate.decide(
            workspace.name, allowanceOf(workspace, this->tolerance),
            this->keepersOf(workspace.name), this->peakHosts, SteadyClock::now());
    if (this->gate.hasReports())
        this->scheduleFlush(AllowanceGate::reportDelay);
    this->logDecision(workspace, decision);
    if (decision.admitted)
        return std::nullopt;
    this->metrics.add(Counter::AllowanceRefusals);
    // Spread, so that callers do not come back all at once.
    static constexpr std::uint64_t spreadSteps = 1000;
    const double spread = static_cast<double>(stableHash(requestId) % spreadSteps) / spreadSteps;
    return decision.retryAfter * (1 + spread);
}

void AllowanceExchange::logDecision(const Workspace &workspace, const AllowanceDecision &decision)
{
    const auto logChange
            = [&](std::set<std::string> &names, bool isMember, LogEvent begin, LogEvent end) {
                  if (isMember == names.contains(workspace.name))
                      return;
                  if (isMember)
                      names.insert(workspace.name);
                  else
                      names.erase(workspace.name);
                  std::ostringstream line;
                  line << "workspace=" << workspace.name << " level=" << decision.level
                       << " rate=" << workspace.allowedRate
                       << " age_ms=" << static_cast<int>(decision.age.count());
                  logEvent(isMember ? begin : end, line.str());
              };
    logChange(this->exhausted, !decision.admitted, LogEvent::AllowanceExhausted,
              LogEvent::AllowanceAvailable);
    logChange(this->unconfirmed, !decision.isConfirmed, LogEvent::AllowanceUnconfirmed,
              LogEvent::AllowanceConfirmed);
}

void AllowanceExchange::scheduleFlush(Millis delay)
{
    if (this->timer == 0)
        this->timer = this->loop.schedule(SteadyClock::now() + delay, [this] { this->flush(); });
}

void AllowanceExchange::flush()
{
    this->timer = 0;
    const Millis now = SteadyClock::now();
    for (const auto &[keeper, reports] : this->gate.takeReports(now)) {
        if (keeper == this->self.id)
            this->gate.onLevels(keeper, this->handleReports(keeper, reports, now), now);
        else if (this->send)
            this->send(keeper, encodeRelayMessage(RelayMessageKind::UsageReports, reports));
    }
    std::map<HostId, AllowanceLevels> notices;
    for (const AllowanceLedger::Notice &notice : this->ledger.takeNotices(this->hosts, now)) {
        AllowanceLevels &levels = notices[notice.host];
        levels.incarnation = std::max(levels.incarnation, notice.incarnation);
        levels.levels.push_back(notice.level);
    }
    for (const auto &[host, levels] : notices) {
        if (host == this->self.id)
            this->gate.onLevels(host, levels, now);
        else if (this->send)
            this->send(host, encodeRelayMessage(RelayMessageKind::AllowanceLevels, levels));
    }
    if (this->ledger.hasNotices())
        this->scheduleFlush(AllowanceLedger::noticePeriod);
}

AllowanceLevels AllowanceExchange::handleReports(HostId from, const UsageReports &reports,
                                                 Millis now)
{
    AllowanceLevels answer;
    answer.incarnation = reports.incarnation;
    if (!this->view.tables())
        return answer;
    const std::vector<Workspace> &workspaces = this->view.tables()->workspaces;
    for (const UsageReport &report : reports.reports) {
        const auto found = std::find_if(
                workspaces.begin(), workspaces.end(),
                [&](const Workspace &workspace) { return workspace.name == report.workspace; });
        if (found != workspaces.end())
            answer.levels.push_back(this->ledger.onReport(
                    from, reports.incarnation, report, allowanceOf(*found, this->tolerance), now));
    }
    if (this->ledger.hasNotices())
        this->scheduleFlush(AllowanceGate::reportDelay);
    return answer;
}

void AllowanceExchange::onMessage(HostId from, const std::string &payload)
{
    if (payload.empty())
        return;
    const std::string body = payload.substr(1);
    const Millis now = SteadyClock::now();
    switch (static_cast<RelayMessageKind>(payload.front())) {
    case RelayMessageKind::UsageReports:
        if (const auto reports = decode<UsageReports>(body); reports && this->send)
            this->send(from, encodeRelayMessage(RelayMessageKind::AllowanceLevels,
                                                this->handleReports(from, *reports, now)));
        break;
    case RelayMessageKind::AllowanceLevels:
        if (const auto levels = decode<AllowanceLevels>(body))
            this->gate.onLevels(from, *levels, now);
        break;
    default:
        break;
    }
}

} // namespace quetzal
