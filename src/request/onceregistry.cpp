#include "request/onceregistry.h"

namespace quetzal {

OnceDecision OnceRegistry::begin(const std::string &key, std::uint64_t claimId,
                                 const std::vector<HostId> &claimHosts, Millis now)
{
    if (this->entries.contains(key))
        return OnceDecision::AlreadyRecorded;
    Entry &entry = this->entries[key];
    entry.record.key = key;
    entry.record.claimId = claimId;
    entry.createdAt = now;
    entry.pendingHosts = { claimHosts.begin(), claimHosts.end() };
    return this->decide(entry, now);
}

std::optional<OnceRecord> OnceRegistry::onClaim(const std::string &key, std::uint64_t claimId,
                                                Millis now)
{
    const auto found = this->entries.find(key);
    if (found != this->entries.end())
        return found->second.record;
    Entry &entry = this->entries[key];
    entry.record.key = key;
    entry.record.claimId = claimId;
    entry.createdAt = now;
    return std::nullopt;
}

OnceDecision OnceRegistry::decide(Entry &entry, Millis now) const
{
    if (entry.decided || !entry.pendingHosts.empty())
        return OnceDecision::Wait;
    // Only a host with complete records can confirm that the request is new.
    if (!entry.confirmed && !this->isSynced(now))
        return OnceDecision::Unconfirmed;
    entry.decided = true;
    return OnceDecision::Run;
}

OnceDecision OnceRegistry::onClaimReply(const std::string &key, HostId host,
                                        const std::optional<OnceRecord> &record, bool synced,
                                        Millis now)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end())
        return OnceDecision::Wait;
    Entry &entry = found->second;
    if (entry.decided || entry.pendingHosts.erase(host) == 0)
        return OnceDecision::Wait;
    if (record) {
        entry.record = *record;
        entry.pendingHosts.clear();
        entry.decided = true;
        return OnceDecision::AlreadyRecorded;
    }
    entry.confirmed = entry.confirmed || synced;
    return this->decide(entry, now);
}

OnceDecision OnceRegistry::onClaimTimeout(const std::string &key, Millis now)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end() || found->second.decided)
        return OnceDecision::Wait;
    Entry &entry = found->second;
    // With no record on a second host, losing this host would lose the record of the run.
    if (!entry.pendingHosts.empty() && !entry.confirmed)
        return OnceDecision::Unconfirmed;
    entry.pendingHosts.clear();
    return this->decide(entry, now);
}

void OnceRegistry::finish(const std::string &key, const OnceAnswer &answer, bool notRun)
{
    if (notRun) {
        this->entries.erase(key);
        return;
    }
    const auto found = this->entries.find(key);
    if (found == this->entries.end())
        return;
    found->second.record.state = OnceState::Done;
    found->second.record.answer = answer;
}

void OnceRegistry::releaseClaim(const std::string &key, std::uint64_t claimId)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end() || found->second.decided)
        return;
    const OnceRecord &record = found->second.record;
    if (record.state == OnceState::Claimed && record.claimId == claimId)
        this->entries.erase(found);
}

void OnceRegistry::addRecord(const OnceRecord &record, Millis now)
{
    const auto [found, isNew] = this->entries.try_emplace(record.key);
    Entry &entry = found->second;
    if (isNew)
        entry.createdAt = now;
    if (isNew || record.state == OnceState::Done)
        entry.record = record;
}

std::optional<OnceRecord> OnceRegistry::find(const std::string &key) const
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end())
        return std::nullopt;
    return found->second.record;
}

std::vector<OnceRecord> OnceRegistry::records() const
{
    std::vector<OnceRecord> result;
    result.reserve(this->entries.size());
    for (const auto &[key, entry] : this->entries)
        result.push_back(entry.record);
    return result;
}

void OnceRegistry::removeExpired(Millis now)
{
    std::erase_if(this->entries, [now](const auto &entry) {
        return now >= entry.second.createdAt + retentionPeriod;
    });
}

} // namespace quetzal
