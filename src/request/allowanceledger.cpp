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

// Part of the rate, and requests a second at least, whose use makes a keeper find out which hosts
// are within reach. Two keepers that do not hear each other stay within the rate by it.
static constexpr double probedRatePart = 0.5;
static constexpr double minProbedRate = 2;
// Time in which the hosts that use an account report to a keeper that has taken it over.
static constexpr Millis openingTime = Millis(500);

static double decayedCount(double count, Millis age)
{
    return count * std::exp2(-(age / rateHalfLife));
}

// Returns the requests a second that a decayed count of them stands for.
static double rateOf(double count)
{
    return count * std::log(2) / rateHalfLife.count() * millisPerSecond;
}

void AllowanceLedger::refill(Account &account, Millis now) const
{
    const double added
            = account.rate * this->share * (now - account.updatedAt).count() / millisPerSecond;
    account.updatedAt = now;
    if (now < account.creditUntil) {
        account.credit += added;
        return;
    }
    account.level = std::min(std::max(1.0, account.burst * this->share),
                             account.level + added + account.credit);
    account.credit = 0;
}

void AllowanceLedger::open(Account &account, Millis now, bool isTakeover) const
{
    const Millis span = std::min(now - this->startedAt, recentUsageTime);
    account.credit = account.rate * this->share * span.count() / millisPerSecond;
    account.creditUntil = isTakeover ? now + openingTime : now;
    account.updatedAt = now;
}

void AllowanceLedger::setShare(double newShare, Millis now)
{
    if (newShare == this->share)
        return;
    for (auto &[name, account] : this->accounts) {
        this->refill(account, now);
        account.level += account.burst * (newShare - this->share);
    }
    this->share = newShare;
}

void AllowanceLedger::keepOnly(const std::function<bool(const std::string &workspace)> &isKeeper)
{
    std::erase_if(this->accounts, [&](const auto &item) { return !isKeeper(item.first); });
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
            result.othersRate += rateOf(decayedCount(use.recentCount, now - use.reportedAt));
    }
    // What this host may not give out is as good as used by others.
    result.othersRate += account.rate * (1 - this->share);
    return result;
}

AllowanceLevel AllowanceLedger::onReport(HostId host, std::uint64_t incarnation,
                                         const UsageReport &report, const Allowance &allowance,
                                         Millis now, bool isTakeover)
{
    const auto [found, isNew] = this->accounts.try_emplace(report.workspace);
    Account &account = found->second;
    account.rate = allowance.rate;
    account.burst = allowance.burst;
    if (isNew)
        this->open(account, now, isTakeover);
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
    const double paid = std::min(account.credit, static_cast<double>(added));
    account.credit -= paid;
    account.level = std::max(lowest, account.level + paid - static_cast<double>(added));
    AllowanceLevel result = this->levelFor(report.workspace, account, host, now);
    const double usedRate = result.othersRate + rateOf(use.recentCount);
    const bool isLow = account.level < std::max(1.0, account.burst * noticeLevel);
    const bool isBusy = usedRate > std::max(minProbedRate, account.rate * probedRatePart);
    account.noticeDue = account.noticeDue || (isLow && added > 0);
    account.probeDue = account.probeDue || (isBusy && added > 0);
    return result;
}

Millis AllowanceLedger::noticesDueAt(const Account &account, std::size_t hosts)
{
    if (!account.noticeDue && !account.probeDue)
        return Millis::never();
    // A used up allowance is told at once, as all hosts would go on admitting until then.
    if (account.isToldAvailable && account.level < 1)
        return account.noticedAt;
    const double periods = std::max(1.0, static_cast<double>(hosts) / hostsPerNoticePeriod);
    return account.noticedAt + (account.noticeDue ? noticePeriod : probePeriod) * periods;
}

Millis AllowanceLedger::nextNotices(std::size_t hosts) const
{
    Millis next = Millis::never();
    for (const auto &[name, account] : this->accounts)
        next = std::min(next, noticesDueAt(account, hosts));
    return next;
}

std::vector<AllowanceLedger::Notice> AllowanceLedger::takeNotices(const std::vector<HostId> &hosts,
                                                                  Millis now)
{
    std::vector<Notice> notices;
    for (auto &[name, account] : this->accounts) {
        if (noticesDueAt(account, hosts.size()) > now
            || !this->canConfirm({ account.rate, account.burst }))
            continue;
        account.noticeDue = false;
        account.probeDue = false;
        account.noticedAt = now;
        this->refill(account, now);
        account.isToldAvailable = account.level >= 1;
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
