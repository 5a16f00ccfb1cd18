// Decides which connections are closed when all of them together hold too much memory.
#pragma once

#include "quetzal/millis.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace quetzal {

// Adds up the bytes held for connections. Addresses crowds whose members each stay within the
// bounds of one connection, such as callers that read long answers slowly or searchers that answer
// without end. Has no sockets or clocks; used on one loop's thread.
class MemoryBudget
{
public:
    using AccountId = std::uint64_t;

    explicit MemoryBudget(std::size_t limitBytes)
        : limit(limitBytes)
    {}

    // Adds a connection that holds nothing yet. close: closes it; called by enforce only.
    AccountId open(std::function<void()> close);

    // Removes a connection.
    void end(AccountId id);

    // Sets what a connection holds. Holding less than before counts as progress.
    void set(AccountId id, std::size_t bytes, Millis now);

    // Returns the connections to close, so that the rest hold at most reliefFraction of the limit;
    // none while the limit is kept. First are those with the largest product of bytes and time
    // since their last progress.
    std::vector<AccountId> chooseExcess(Millis now) const;

    // Closes the connections that chooseExcess returns.
    void enforce(Millis now);

    // Sets a function that is called when the limit is exceeded by a call of set, once until
    // enforce is called. It must not call enforce itself, because set is called from connections
    // that are in use.
    void onExceeded(std::function<void()> handler) { this->exceededHandler = std::move(handler); }

    // Sets a function that is called before connections are closed, with their number.
    void onEnforced(std::function<void(std::size_t)> handler)
    {
        this->enforcedHandler = std::move(handler);
    }

    bool isExceeded() const { return this->held > this->limit; }
    std::size_t heldBytes() const { return this->held; }
    std::size_t limitBytes() const { return this->limit; }

    // Closing goes on below the limit, so that the next bytes do not exceed it again.
    static constexpr double reliefFraction = 0.75;

private:
    // What one connection holds.
    struct Account
    {
        std::size_t bytes = 0;
        // When it began to hold anything or last held less than before.
        Millis progressedAt;
        std::function<void()> close;
    };

    std::size_t limit;
    std::size_t held = 0;
    AccountId lastId = 0;
    std::unordered_map<AccountId, Account> accounts;
    bool reported = false;
    std::function<void()> exceededHandler;
    std::function<void(std::size_t)> enforcedHandler;
};

} // namespace quetzal
