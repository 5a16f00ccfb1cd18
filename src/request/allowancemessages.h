// Messages by which hosts count the requests of workspaces together, encoded with cereal. For
// compatibility, new fields are added only at the end.
#pragma once

#include "quetzal/millis.h"
#include "version/codec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal {

// Time of the requests that a report counts as recent.
inline constexpr Millis recentUsageTime = Millis(5000);

// What a host has admitted of a workspace's requests.
struct UsageReport
{
    std::string workspace;
    // Since the sender's start.
    std::uint64_t admitted = 0;
    // Within recentUsageTime, for a keeper that does not know the sender's earlier reports.
    std::uint32_t recent = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->workspace, this->admitted, this->recent);
    }
};

// Reports of one incarnation of a host to a keeper.
struct UsageReports
{
    // Differs between incarnations of the sender.
    std::uint64_t incarnation = 0;
    std::vector<UsageReport> reports;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->incarnation, this->reports);
    }
};

// What is left of a workspace's allowance according to a keeper.
struct AllowanceLevel
{
    std::string workspace;
    // Tokens left; negative if hosts have admitted too many before they heard of each other.
    double level = 0;
    // Requests a second that hosts other than the receiver have admitted recently.
    double othersRate = 0;
    // The receiver's count of admitted requests that the level includes, if the keeper knows it.
    std::uint64_t acknowledged = 0;
    bool isCounted = false;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->workspace, this->level, this->othersRate, this->acknowledged,
                this->isCounted);
    }
};

// The levels that a keeper tells a host.
struct AllowanceLevels
{
    // As in the reports of the receiver; 0 if it has not reported on the workspace.
    std::uint64_t incarnation = 0;
    std::vector<AllowanceLevel> levels;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->incarnation, this->levels);
    }
};

} // namespace quetzal
