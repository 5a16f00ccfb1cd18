// In-memory stand-in for the platform's key-value service, with lost replies and outages.
#pragma once

#include "version/store.h"

#include <functional>
#include <map>
#include <random>
#include <string>

namespace quetzal {

// A store whose calls can be interleaved with those of another editor, and whose replies can be
// lost.
class FakeStore
{
public:
    explicit FakeStore(std::uint64_t seed)
        : random(seed)
    {}

    // Fraction of writes and removals whose reply is lost, whether they took effect or not.
    double lostReplyFraction = 0;
    // While set, every call but list fails without effect.
    bool down = false;
    // Runs before each call, for example a whole edit of another editor.
    std::function<void()> beforeCall;
    // Number of calls so far.
    std::uint64_t calls = 0;

    StoreReply read(const std::string &key)
    {
        this->beginCall();
        const auto found = this->entries.find(key);
        if (this->down)
            return {};
        if (found == this->entries.end())
            return { StoreStatus::NotFound, {}, 0 };
        return { StoreStatus::Ok, found->second.value, found->second.version };
    }

    StoreReply write(const std::string &key, const std::string &value,
                     std::optional<std::uint64_t> ifVersion)
    {
        this->beginCall();
        if (this->down)
            return {};
        if (ifVersion && *ifVersion != this->versionOf(key))
            return this->replyOrLose({ StoreStatus::Conflict, {}, 0 });
        this->entries[key] = { value, ++this->lastVersion };
        return this->replyOrLose({ StoreStatus::Ok, {}, this->lastVersion });
    }

    StoreReply remove(const std::string &key, std::optional<std::uint64_t> ifVersion)
    {
        this->beginCall();
        if (this->down)
            return {};
        if (ifVersion && *ifVersion != this->versionOf(key))
            return this->replyOrLose({ StoreStatus::Conflict, {}, 0 });
        this->entries.erase(key);
        return this->replyOrLose({ StoreStatus::Ok, {}, 0 });
    }

    std::vector<std::string> list(const std::string &prefix)
    {
        this->beginCall();
        std::vector<std::string> keys;
        for (const auto &[key, entry] : this->entries) {
            if (key.starts_with(prefix))
                keys.push_back(key);
        }
        return keys;
    }

private:
    struct Entry
    {
        std::string value;
        std::uint64_t version = 0;
    };

    // Counts the call and runs beforeCall.
    void beginCall()
    {
        this->calls += 1;
        if (!this->beforeCall)
            return;
        // Unset during the callback, which calls the store itself.
        const auto other = std::move(this->beforeCall);
        this->beforeCall = nullptr;
        other();
        this->beforeCall = other;
    }

    // Returns the reply, or a failure if the reply is lost.
    StoreReply replyOrLose(const StoreReply &reply)
    {
        static constexpr double steps = 1'000'000;
        const bool isLost
                = static_cast<double>(this->random() % 1'000'000) < this->lostReplyFraction * steps;
        return isLost ? StoreReply() : reply;
    }

    std::uint64_t versionOf(const std::string &key) const
    {
        const auto found = this->entries.find(key);
        return found == this->entries.end() ? 0 : found->second.version;
    }

    std::mt19937_64 random;
    std::map<std::string, Entry> entries;
    std::uint64_t lastVersion = 0;
};

static_assert(Store<FakeStore>);

} // namespace quetzal
