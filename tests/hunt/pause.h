// Sleeps of a thread.
#pragma once

#include "quetzal/millis.h"

#include <chrono>
#include <thread>

namespace quetzal {

inline void pause(Millis span)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(span.count()));
}

} // namespace quetzal
