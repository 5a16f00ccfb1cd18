#include "request/oncedirectory.h"

namespace quetzal {

OnceDecision OnceDirectory::begin(const std::string &key, std::uint64_t claim,
                                  const std::vector<HostId> &ask, Millis now)
{
    if (this->entries.contains(key))
        return OnceDecision::Known;
    Entry &entry = this->entries[key];
    entry.record.key = key;
    entry.record.claim = claim;
    entry.at = now;
    entry.awaited = { ask.begin(), ask.end() };
    return this->decide(entry, now);
}

std::optional<OnceRecord> OnceDirectory::claim(const std::string &key, std::uint64_t claim,
                                               Millis now)
{
    const auto found = this->entries.find(key);
    if (found != this->entries.end())
        return found->second.record;
    Entry &entry = this->entries[key];
    entry.record.key = key;
    entry.record.claim = claim;
    entry.at = now;
    return std::nullopt;
}

OnceDecision OnceDirectory::decide(Entry &entry, Millis now) const
{
    if (entry.running || !entry.awaited.empty())
        return OnceDecision::Wait;
    // Without any host whose memory is complete nobody can say that the request is new.
    if (!entry.vouched && !this->settled(now))
        return OnceDecision::Unvouched;
    entry.running = true;
    return OnceDecision::Run;
}

OnceDecision OnceDirectory::onClaimed(const std::string &key, HostId host,
                                      const std::optional<OnceRecord> &record, bool settled,
                                      Millis now)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end())
        return OnceDecision::Wait;
    Entry &entry = found->second;
    if (entry.running || entry.awaited.erase(host) == 0)
        return OnceDecision::Wait;
    if (record) {
        entry.record = *record;
        entry.awaited.clear();
        entry.running = true;
        return OnceDecision::Known;
    }
    entry.vouched = entry.vouched || settled;
    return this->decide(entry, now);
}

OnceDecision OnceDirectory::onClaimTimeout(const std::string &key, Millis now)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end() || found->second.running)
        return OnceDecision::Wait;
    Entry &entry = found->second;
    // Without a second host that remembers, a loss of this one would forget the run.
    if (!entry.awaited.empty() && !entry.vouched)
        return OnceDecision::Unvouched;
    entry.awaited.clear();
    return this->decide(entry, now);
}

void OnceDirectory::finish(const std::string &key, const OnceAnswer &answer, bool notRun)
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

void OnceDirectory::release(const std::string &key, std::uint64_t claim)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end() || found->second.running)
        return;
    const OnceRecord &record = found->second.record;
    if (record.state == OnceState::Claimed && record.claim == claim)
        this->entries.erase(found);
}

void OnceDirectory::learn(const OnceRecord &record, Millis now)
{
    const auto [found, isNew] = this->entries.try_emplace(record.key);
    Entry &entry = found->second;
    if (isNew)
        entry.at = now;
    if (isNew || record.state == OnceState::Done)
        entry.record = record;
}

std::optional<OnceRecord> OnceDirectory::find(const std::string &key) const
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end())
        return std::nullopt;
    return found->second.record;
}

std::vector<OnceRecord> OnceDirectory::records() const
{
    std::vector<OnceRecord> result;
    result.reserve(this->entries.size());
    for (const auto &[key, entry] : this->entries)
        result.push_back(entry.record);
    return result;
}

void OnceDirectory::sweep(Millis now)
{
    std::erase_if(this->entries,
                  [now](const auto &entry) { return now >= entry.second.at + window; });
}

} // namespace quetzal
