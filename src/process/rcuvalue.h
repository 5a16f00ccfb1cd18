// A value published by one thread and read by many without a lock, using read-copy-update.
#pragma once

#include <memory>

#include <urcu/urcu-memb.h>

namespace quetzal {

// Holds a shared immutable value. Readers run on threads that are registered with liburcu, as those
// of all event loops are, and copy the pointer inside a read-side critical section. The publisher
// waits for a grace period before it frees the old holder.
template <typename Value>
class RcuValue
{
public:
    RcuValue()
        : holder(new Holder())
    {}
    ~RcuValue() { delete this->holder; }
    RcuValue(const RcuValue &) = delete;
    RcuValue &operator=(const RcuValue &) = delete;

    // Returns the current value, which stays valid for as long as the caller holds it.
    std::shared_ptr<const Value> read() const
    {
        urcu_memb_read_lock();
        std::shared_ptr<const Value> value = rcu_dereference(this->holder)->value;
        urcu_memb_read_unlock();
        return value;
    }

    // Replaces the value and waits for readers of the old one. Called by one thread only.
    void publish(std::shared_ptr<const Value> value)
    {
        auto *next = new Holder{ std::move(value) };
        Holder *old = rcu_xchg_pointer(&this->holder, next);
        urcu_memb_synchronize_rcu();
        delete old;
    }

private:
    struct Holder
    {
        std::shared_ptr<const Value> value;
    };

    Holder *holder;
};

} // namespace quetzal
