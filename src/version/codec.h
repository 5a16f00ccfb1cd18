// Binary encoding of messages and stored values, by cereal.
#pragma once

#include <bit>
#include <cstdint>
#include <cstring>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

namespace quetzal {

// Returns the encoding of a value, which is the same on every machine.
template <typename Value>
std::string encode(const Value &value)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(value);
    }
    return std::move(stream).str();
}

// Reads the output of cereal's portable binary archive. Throws cereal::Exception for a container
// whose size field exceeds the remaining bytes, before memory is allocated for its elements.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit BoundedInputArchive(std::string_view bytes)
        : cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this)
        , unread(bytes)
    {
        // The first byte gives the writer's byte order; all our hosts are little-endian.
        std::uint8_t littleEndian = 0;
        this->read(&littleEndian, sizeof(littleEndian));
        if (littleEndian != 1)
            throw cereal::Exception("input is not little-endian");
    }

    void read(void *target, std::size_t size)
    {
        if (size > this->unread.size())
            throw cereal::Exception("input is truncated");
        std::memcpy(target, this->unread.data(), size);
        this->unread.remove_prefix(size);
    }

    // Returns the number of bytes not read yet.
    std::size_t remaining() const { return this->unread.size(); }

private:
    std::string_view unread;
};

static_assert(std::endian::native == std::endian::little);

} // namespace quetzal

// Registers the output archive that BoundedInputArchive is the counterpart of, as cereal requires.
template <>
struct cereal::traits::detail::get_output_from_input<quetzal::BoundedInputArchive>
{
    using type = cereal::PortableBinaryOutputArchive;
};

namespace quetzal {

// The loading functions that cereal requires for each kind of primitive.
template <typename Number>
requires std::is_arithmetic_v<Number>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, Number &value)
{
    archive.read(&value, sizeof(value));
}

template <typename Data>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::BinaryData<Data> &data)
{
    archive.read(data.data, static_cast<std::size_t>(data.size));
}

template <typename Size>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive &archive, cereal::SizeTag<Size> &tag)
{
    archive(tag.size);
    // Each element takes at least one byte.
    if (tag.size > archive.remaining())
        throw cereal::Exception("container size exceeds the remaining input");
}

// Creates the elements as they are read: their stated number may be much larger than the number
// that the input holds, and an element may be much larger than its shortest encoding.
template <typename Element, typename Allocator>
requires(!std::is_arithmetic_v<Element>) void CEREAL_LOAD_FUNCTION_NAME(
        BoundedInputArchive &archive, std::vector<Element, Allocator> &elements)
{
    cereal::size_type size = 0;
    archive(cereal::make_size_tag(size));
    elements.clear();
    for (cereal::size_type i = 0; i < size; ++i)
        archive(elements.emplace_back());
}

template <typename Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive &archive,
                                    cereal::NameValuePair<Value> &pair)
{
    archive(pair.value);
}

// Returns the decoded value, or nothing if the bytes are malformed or some remain unread.
template <typename Value>
std::optional<Value> decode(const std::string &bytes)
{
    try {
        BoundedInputArchive archive(bytes);
        Value value;
        archive(value);
        if (archive.remaining() > 0)
            return std::nullopt;
        return value;
    } catch (const std::exception &) {
        // cereal reports truncated input and invalid sizes by exceptions.
        return std::nullopt;
    }
}

} // namespace quetzal
