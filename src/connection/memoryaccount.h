// What one connection holds of a memory budget.
#pragma once

#include "connection/memorybudget.h"

#include <functional>
#include <memory>
#include <utility>

namespace quetzal {

// An account of a budget that ends with this object.
class MemoryAccount
{
public:
    MemoryAccount(std::shared_ptr<MemoryBudget> budget, std::function<void()> close)
        : budget(std::move(budget))
        , id(this->budget->open(std::move(close)))
    {}

    ~MemoryAccount() { this->budget->end(this->id); }
    MemoryAccount(const MemoryAccount &) = delete;
    MemoryAccount &operator=(const MemoryAccount &) = delete;

    void set(std::size_t bytes, Millis now) { this->budget->set(this->id, bytes, now); }

    // Closes connections if the limit is exceeded, possibly this one. Only to be called where any
    // connection may be closed.
    void enforce(Millis now)
    {
        const std::shared_ptr<MemoryBudget> kept = this->budget;
        if (kept->isExceeded())
            kept->enforce(now);
    }

private:
    std::shared_ptr<MemoryBudget> budget;
    MemoryBudget::AccountId id;
};

} // namespace quetzal
