// Runs the test cases. An exception that the event loop contained fails the run, unless a case
// states that it provokes it.
#define DOCTEST_CONFIG_IMPLEMENT
#include "handlerfailures.h"
#include "process/eventloop.h"

#include <iostream>

#include <doctest/doctest.h>

int main(int argc, char **argv)
{
    doctest::Context context(argc, argv);
    const int result = context.run();
    const std::uint64_t failures = quetzal::EventLoop::totalFailureCount();
    const std::uint64_t expected = quetzal::expectedHandlerFailures;
    if (failures == expected || context.shouldExit())
        return result;
    std::cerr << failures << " handlers of event loops ended with an exception, " << expected
              << " expected\n";
    return result != 0 ? result : 1;
}
