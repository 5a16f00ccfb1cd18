#include "connection/memorybudget.h"

#include <algorithm>
#include <utility>

namespace quetzal {

MemoryBudget::AccountId MemoryBudget::open(std::function<void()> close)
{
    const AccountId id = ++this->lastId;
    this->accounts[id].close = std::move(close);
    return id;
}

void MemoryBudget::end(AccountId id)
{
    const auto found = this->accounts.find(id);
    if (found == this->accounts.end())
        return;
    this->held -= found->second.bytes;
    this->accounts.erase(found);
}

void MemoryBudget::set(AccountId id, std::size_t bytes, Millis now)
{
    const auto found = this->accounts.find(id);
    if (found == this->accounts.end())
        return;
    Account &account = found->second;
    if (bytes < account.bytes || account.bytes == 0)
        account.progressedAt = now;
    this->held = this->held - account.bytes + bytes;
    account.bytes = bytes;
    if (!this->isExceeded() || this->reported)
        return;
    this->reported = true;
    if (this->exceededHandler)
        this->exceededHandler();
}

std::vector<MemoryBudget::AccountId> MemoryBudget::chooseExcess(Millis now) const
{
    // Added to the time since the last progress, so that bytes count for connections that have just
    // made progress, too.
    static constexpr Millis baseTime = Millis(1000);
    std::vector<AccountId> chosen;
    if (!this->isExceeded())
        return chosen;
    std::vector<std::pair<double, AccountId>> ranking;
    for (const auto &[id, account] : this->accounts) {
        const Millis age = now - account.progressedAt + baseTime;
        if (account.bytes > 0)
            ranking.emplace_back(static_cast<double>(account.bytes) * age.count(), id);
    }
    std::sort(ranking.begin(), ranking.end(), std::greater<>());
    const auto target = static_cast<std::size_t>(static_cast<double>(this->limit) * reliefFraction);
    std::size_t remaining = this->held;
    for (const auto &[score, id] : ranking) {
        if (remaining <= target)
            break;
        remaining -= this->accounts.at(id).bytes;
        chosen.push_back(id);
    }
    return chosen;
}

void MemoryBudget::enforce(Millis now)
{
    this->reported = false;
    const std::vector<AccountId> chosen = this->chooseExcess(now);
    if (!chosen.empty() && this->enforcedHandler)
        this->enforcedHandler(chosen.size());
    for (const AccountId id : chosen) {
        const auto found = this->accounts.find(id);
        // Closing one connection may have ended another.
        if (found == this->accounts.end())
            continue;
        const std::function<void()> close = found->second.close;
        this->end(id);
        close();
    }
}

} // namespace quetzal
