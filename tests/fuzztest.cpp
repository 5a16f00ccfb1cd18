// Runs every decoder of untrusted input on randomly mutated samples, with a fixed seed.
#include "fuzz/decoders.h"

#include <doctest/doctest.h>

using namespace quetzal::fuzz;

TEST_CASE("no decoder of untrusted input crashes or hangs on mutated samples")
{
    // Each round decodes every sample of every decoder, and some decoders have several samples.
    CHECK(runRounds(20'261'204, 400) > 400 * decoderNames.size());
}
