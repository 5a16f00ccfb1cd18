#include "request/allowanceexchange.h"

#include "connection/relaymessages.h"
#include "process/eventlog.h"
#include "quetzal/steadyclock.h"

#include <algorithm>
#include <sstream>
#include <variant>

namespace quetzal {

AllowanceExchange::AllowanceExchange(EventLoop &loop, Metrics &metrics, const ServingView &view,
                                     RelayPeer self, bool hasSeeds,
                                     const AllowanceTolerance &tolerance, std::uint64_t seed)
    : loop(loop)
    , metrics(metrics)
    , view(view)
    , tolerance(tolerance)
    , allowances(
              std::move(self), hasSeeds, seed,
              [this](const std::string &workspace) { return this->find(workspace); },
              SteadyClock::now())
{}

AllowanceExchange::~AllowanceExchange()
{
    this->loop.cancel(this->timer);
}

void AllowanceExchange::setPeers(const std::vector<RelayPeer> &newPeers)
{
    this->allowances.setPeers(newPeers, SteadyClock::now());
}

void AllowanceExchange::onHeard(HostId host)
{
    this->allowances.onHeard(host, SteadyClock::now());
}

std::optional<Allowance> AllowanceExchange::find(const std::string &workspace) const
{
    if (!this->view.tables())
        return std::nullopt;
    const std::vector<Workspace> &workspaces = this->view.tables()->workspaces;
    const auto found = std::find_if(workspaces.begin(), workspaces.end(),
                                    [&](const Workspace &item) { return item.name == workspace; });
    if (found == workspaces.end())
        return std::nullopt;
    return allowanceOf(*found, this->tolerance);
}

std::optional<Millis> AllowanceExchange::refusal(const Workspace &workspace,
                                                 const std::string &requestId)
{
    const AllowanceDecision decision = this->allowances.decide(
            workspace.name, allowanceOf(workspace, this->tolerance), SteadyClock::now());
    this->scheduleFlush();
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
                       << " age_ms=" << static_cast<int>(decision.age.count())
                       << " hosts=" << this->hostCount() << " reachable=" << this->reachableHosts();
                  logEvent(isMember ? begin : end, line.str());
              };
    logChange(this->exhausted, !decision.admitted, LogEvent::AllowanceExhausted,
              LogEvent::AllowanceAvailable);
    logChange(this->unconfirmed, !decision.isConfirmed, LogEvent::AllowanceUnconfirmed,
              LogEvent::AllowanceConfirmed);
}

void AllowanceExchange::scheduleFlush()
{
    const Millis next = this->allowances.nextMessages(SteadyClock::now());
    if (next >= this->timerAt)
        return;
    this->loop.cancel(this->timer);
    this->timerAt = next;
    this->timer = this->loop.schedule(next, [this] { this->flush(); });
}

void AllowanceExchange::flush()
{
    this->timerAt = Millis::never();
    for (const AllowanceMessage &message : this->allowances.takeMessages(SteadyClock::now())) {
        if (!this->send)
            continue;
        const auto *reports = std::get_if<UsageReports>(&message.content);
        this->send(message.to,
                   reports ? encodeRelayMessage(RelayMessageKind::UsageReports, *reports)
                           : encodeRelayMessage(RelayMessageKind::AllowanceLevels,
                                                std::get<AllowanceLevels>(message.content)));
    }
    this->scheduleFlush();
}

void AllowanceExchange::onMessage(HostId from, const std::string &payload)
{
    if (payload.empty())
        return;
    const std::string body = payload.substr(1);
    const Millis now = SteadyClock::now();
    switch (static_cast<RelayMessageKind>(payload.front())) {
    case RelayMessageKind::UsageReports:
        if (const auto reports = decode<UsageReports>(body); reports && this->send) {
            if (const auto answer = this->allowances.onReports(from, *reports, now))
                this->send(from, encodeRelayMessage(RelayMessageKind::AllowanceLevels,
                                                    std::get<AllowanceLevels>(answer->content)));
            this->scheduleFlush();
        }
        break;
    case RelayMessageKind::AllowanceLevels:
        if (const auto levels = decode<AllowanceLevels>(body))
            this->allowances.onLevels(from, *levels, now);
        break;
    default:
        break;
    }
}

} // namespace quetzal
