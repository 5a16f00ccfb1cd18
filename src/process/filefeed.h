// Tables and registrations from files that operators edit.
#pragma once

#include "process/eventloop.h"
#include "version/servingview.h"
#include "version/viewfeed.h"

#include <cstdint>
#include <string>

namespace quetzal {

// Paths of the three files of a view.
struct ViewFiles
{
    std::string routes;
    std::string pools;
    std::string searchers;

    bool named() const { return !this->searchers.empty(); }
};

// Reads the files again and again, and takes them whole once they are valid and the revision that
// the searchers' file states was raised. Used on one loop.
class FileFeed final : public ViewFeed
{
public:
    FileFeed(EventLoop &loop, ViewFiles files, ServingView &view);
    ~FileFeed() override;

    void start() override;
    bool isHealthy() const override { return this->healthy; }
    void setResting(bool) override {}
    void refresh() override { this->look(); }

    static constexpr Millis period = Millis(500);

private:
    void look();
    void take(const std::string &routes, const std::string &pools, const std::string &searchers);
    void refuse(const std::string &error);

    EventLoop &loop;
    ViewFiles files;
    ServingView &view;
    TimerId timer = 0;
    // What was read last, so that a mistake is told once.
    std::string lastRead;
    bool healthy = false;
};

} // namespace quetzal
