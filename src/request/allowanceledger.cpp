#include "request/allowanceledger.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

static constexpr double millisPerSecond = 1000;
// Half-life of the weight of a request in a host's rate.
static constexpr Millis rateHalfLife = Millis(1000);
// Time after its last report from which on a host's use of a workspace is forgotten.
static constexpr Millis userLifetime = Millis(60'000);
// Number of hosts that are told at most in each noticePeriod.
static constexpr std::size_t hostsPerNoticePeriod = 64;
// Seconds of the rate, besides the burst, by which a bucket may be overdrawn at most, so that a
// workspace is not refused for longer than that after a fault.
static constexpr double maxOverdraftSeconds = 5;
// Part of the burst below which hosts are told of each change.
static constexpr double noticeLevel = 0.5;

static double decayedCount(double count, Millis age)
{
    return count * std::exp2(-(age / rateHalfLife));
}

void AllowanceLedger::refill(Account &account, Millis now) const
{
    const double added = account.rate * (now - account.updatedAt).count() / millisPerSecond;
    account.level = std::min(account.burst, account.level + added);
    account.updatedAt = now;
}

AllowanceLevel AllowanceLedger::levelFor(const std::string &name, const Account &account,
                                         HostId host, Millis now) const
{
    AllowanceLevel result;
    result.workspace = name;
    result.level = account.level;
    for (const auto &[user, use] : account.users) {
        if (user == host) {
            result.acknowledged = use.admitted;
            result.isCounted = true;
        } else
            result.othersRate += decayedCount(use.recentCount, now - use.reportedAt) * std::log(2)
                                 / rateHalfLife.count() * millisPerSecond;
    }
    return result;
}

AllowanceLevel AllowanceLedger::onReport(HostId host, std::uint64_t incarnation,
                                         const UsageReport &report, const Allowance &allowance,
                                         Millis now)
{
    const auto [found, isNew] = this->accounts.try_emplace(report.workspace);
    Account &account = found->second;
    account.rate = allowance.rate;
    account.burst = allowance.burst;
    if (isNew)
        account.updatedAt = this->startedAt;
    this->refill(account, now);
    std::erase_if(account.users,
                  [now](const auto &item) { return now - item.second.reportedAt > userLifetime; });
    const auto [user, isNewUser] = account.users.try_emplace(host);
    HostUse &use = user->second;
    const bool isKnown = !isNewUser && use.incarnation == incarnation;
    if (isKnown && report.admitted < use.admitted)
        return this->levelFor(report.workspace, account, host, now);
    const std::uint64_t added = isKnown ? report.admitted - use.admitted
                                        : std::min<std::uint64_t>(report.admitted, report.recent);
    use.recentCount
            = decayedCount(use.recentCount, now - use.reportedAt) + static_cast<double>(added);
    use.incarnation = incarnation;
    use.admitted = report.admitted;
    use.reportedAt = now;
    const double lowest = -(account.burst + account.rate * maxOverdraftSeconds);
    account.level = std::max(lowest, account.level - static_cast<double>(added));
    const bool isLow = account.level < std::max(1.0, account.burst * noticeLevel);
    account.noticeDue = account.noticeDue || (isLow && added > 0);
    return this->levelFor(report.workspace, account, host, now);
}

bool AllowanceLedger::hasNotices() const
{
    return std::any_of(this->accounts.begin(), this->accounts.end(),
                       [](const auto &item) { return item.second.noticeDue; });
}

std::vector<AllowanceLedger::Notice> AllowanceLedger::takeNotices(const std::vector<HostId> &hosts,
                                                                  Millis now)
{
    std::vector<Notice> notices;
    for (auto &[name, account] : this->accounts) {
        const double periods
                = std::max(1.0, static_cast<double>(hosts.size()) / hostsPerNoticePeriod);
        if (!account.noticeDue || now - account.noticedAt < noticePeriod * periods)
            continue;
        account.noticeDue = false;
        account.noticedAt = now;
        this->refill(account, now);
        for (const HostId host : hosts) {
            const auto use = account.users.find(host);
            const std::uint64_t incarnation
                    = use != account.users.end() ? use->second.incarnation : 0;
            notices.push_back({ host, incarnation, this->levelFor(name, account, host, now) });
        }
    }
    return notices;
}

} // namespace quetzal
