// Runs every decoder of untrusted input on randomly mutated samples, with a fixed seed.
#include "fuzz/decoders.h"

#include <doctest/doctest.h>

using namespace quetzal::fuzz;

TEST_CASE("every decoder of outside bytes survives altered input")
{
    CHECK(runRounds(20'261'204, 400) > 400 * decoderNames.size());
}
