#include "process/heartbeatcheck.h"

#include "version/registrationcheck.h"

#include <algorithm>
#include <limits>

namespace quetzal {

static constexpr std::size_t maxTextBytes = 256;
// A host refutes a suspicion with a larger number than that of the update, so there must always be
// larger ones. Incarnations are times since 1970 in at most microseconds.
static constexpr Incarnation maxIncarnation = { std::uint64_t(1) << 62 };
static constexpr std::uint32_t maxRefutation = std::numeric_limits<std::uint32_t>::max() / 2;
static constexpr float maxCapacity = 1'000'000;

static bool isText(const std::string &text)
{
    return text.size() <= maxTextBytes && std::none_of(text.begin(), text.end(), [](char c) {
               const auto byte = static_cast<unsigned char>(c);
               return byte < 0x20 || byte == 0x7f;
           });
}

std::string updateProblem(const MemberUpdate &update)
{
    const auto state = static_cast<std::size_t>(update.state);
    if (state >= memberStateNames.size())
        return "the state is unknown";
    if (update.incarnation > maxIncarnation)
        return "the incarnation is too large";
    if (update.refutation > maxRefutation)
        return "the refutation is too large";
    return {};
}

std::string memberProblem(const MemberInfo &member)
{
    std::string problem
            = updateProblem({ member.id, member.incarnation, member.refutation, member.state });
    if (!problem.empty())
        return problem;
    if (!isText(member.name) || !isText(member.zone))
        return "the name or the zone is too long or has control characters";
    if (!parseNumericAddress(member.address))
        return "the address is not an IP number and a port";
    // Written as a negation so that NaN is refused too.
    if (!(member.capacity > 0 && member.capacity <= maxCapacity))
        return "the capacity is not a positive number";
    return {};
}

std::string removeInvalidEntries(Heartbeat &heartbeat)
{
    std::string first;
    const auto isInvalid = [&first](const std::string &problem) {
        if (first.empty())
            first = problem;
        return !problem.empty();
    };
    std::erase_if(heartbeat.introductions,
                  [&](const MemberInfo &member) { return isInvalid(memberProblem(member)); });
    std::erase_if(heartbeat.updates,
                  [&](const MemberUpdate &update) { return isInvalid(updateProblem(update)); });
    return first;
}

} // namespace quetzal
