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

    bool isConfigured() const { return !this->searchers.empty(); }
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
    void setStandby(bool) override {}
    void refresh() override { this->checkFiles(); }

    static constexpr Millis pollPeriod = Millis(500);

private:
    void checkFiles();
    void applyFiles(const std::string &routes, const std::string &pools,
                    const std::string &searchers);
    void rejectFiles(const std::string &error);

    EventLoop &loop;
    ViewFiles files;
    ServingView &view;
    TimerId timer = 0;
    // What was read last, so that a mistake is told once.
    std::string lastContents;
    bool healthy = false;
};

} // namespace quetzal
