// Entry point for libFuzzer: the first byte selects the decoder, the rest is its input.
#include "fuzz/decoders.h"

// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::size_t index = data[0] % quetzal::fuzz::decoderNames.size();
    quetzal::fuzz::decodeBytes(static_cast<quetzal::fuzz::Decoder>(index),
                               std::string(data + 1, data + size));
    return 0;
}
