// Decoding of sizes that the input does not hold.
#include "version/codec.h"

#include <cstdint>
#include <string>
#include <vector>

#include <doctest/doctest.h>

using namespace quetzal;

namespace {

// Counts how many were created.
struct CountedElement
{
    CountedElement() { ++created; }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->text, this->number);
    }

    inline static std::size_t created = 0;
    std::string text;
    std::uint64_t number = 0;
};

} // namespace

// Guards against memory for elements that the input does not hold: an element takes many times the
// memory of a byte of input.
TEST_CASE("decoding creates no more elements than the input holds")
{
    static constexpr std::uint64_t stated = 100'000;
    // Each element takes at least the sizes of its members.
    static constexpr std::size_t elementBytes = 16;
    std::string bytes = encode(stated) + std::string(stated, '\0');
    CountedElement::created = 0;
    CHECK_FALSE(decode<std::vector<CountedElement>>(bytes));
    CHECK(CountedElement::created <= stated / elementBytes + 1);
    const std::vector<CountedElement> elements(3);
    const auto decoded = decode<std::vector<CountedElement>>(encode(elements));
    REQUIRE(decoded);
    CHECK(decoded->size() == elements.size());
}
