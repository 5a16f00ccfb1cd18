// Clock and event queue of a discrete-event simulation.
#pragma once

#include "quetzal/millis.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace quetzal {

// Runs events in order of their times, and in the order of scheduling where times are equal.
class VirtualTime
{
public:
    using Event = std::function<void()>;

    Millis now() const { return this->current; }

    // Schedules an event; one in the past runs at the current time.
    void at(Millis when, Event event)
    {
        this->events.push({ when < this->current ? this->current : when, ++this->scheduledCount,
                            std::move(event) });
    }

    // Schedules an event for a time span from now.
    void after(Millis span, Event event) { this->at(this->current + span, std::move(event)); }

    // Runs all events up to and including a time, and sets the clock to it.
    void runUntil(Millis end)
    {
        while (!this->events.empty() && this->events.top().when <= end) {
            // top() is const to protect the order of the queue, which does not depend on the event.
            const Event event = std::move(const_cast<Entry &>(this->events.top()).event);
            this->current = this->events.top().when;
            this->events.pop();
            event();
        }
        this->current = end;
    }

private:
    struct Entry
    {
        Millis when;
        std::uint64_t order = 0;
        Event event;

        friend bool operator<(const Entry &a, const Entry &b)
        {
            return a.when != b.when ? a.when > b.when : a.order > b.order;
        }
    };

    Millis current;
    std::uint64_t scheduledCount = 0;
    std::priority_queue<Entry> events;
};

} // namespace quetzal
