#include "quetzal/fault.h"

#include <cstddef>
#include <string>

namespace quetzal {

namespace {

class FaultCategory final : public std::error_category
{
public:
    const char *name() const noexcept override { return "quetzal"; }

    std::string message(int value) const override
    {
        const auto index = static_cast<std::size_t>(value);
        if (index >= faultNames.size())
            return "unknown fault " + std::to_string(value);
        return std::string(faultNames[index]);
    }
};

} // namespace

const std::error_category &faultCategory()
{
    static const FaultCategory category;
    return category;
}

std::error_code make_error_code(Fault fault)
{
    return { static_cast<int>(fault), faultCategory() };
}

} // namespace quetzal
