// Routing tables and searcher registrations from files that operators edit.
#pragma once

#include "process/eventloop.h"
#include "version/servingview.h"
#include "version/viewfeed.h"

#include <cstdint>
#include <string>

namespace quetzal {

// Paths of the files that a view is read from.
struct ViewFiles
{
    std::string routes;
    std::string pools;
    std::string searchers;

    // Returns true if the view is to be read from files.
    bool isConfigured() const { return !this->searchers.empty(); }
};

// Polls the files. Applies all of them together once they are valid and the revision in the
// searchers file has increased; otherwise keeps the previous view. Used on one loop.
class FileFeed final : public ViewFeed
{
public:
    FileFeed(EventLoop &loop, ViewFiles files, ServingView &view);
    ~FileFeed() override;

    void start() override;
    bool isHealthy() const override { return this->healthy; }
    FeedStatus status() const override { return this->currentStatus; }
    // Does nothing: the files are polled at the same period on standby.
    void setStandby(bool) override {}
    // Does nothing: a read of a file does not wait for changes.
    void setMaxCallWait(Millis) override {}
    void refresh() override { this->checkFiles(); }

    // Time between two reads of the files.
    static constexpr Millis pollPeriod = Millis(500);

private:
    // Reads the files, and applies or rejects them if they have changed.
    void checkFiles();
    void applyFiles(const std::string &routes, const std::string &pools,
                    const std::string &searchers);
    void rejectFiles(const std::string &error);

    EventLoop &loop;
    ViewFiles files;
    ServingView &view;
    TimerId timer = 0;
    // Contents read last, so that an error in them is logged once.
    std::string lastContents;
    bool healthy = false;
    // Contents and revision of the files that were applied last.
    std::string appliedContents;
    std::uint64_t appliedRevision = 0;
    FeedStatus currentStatus;
};

} // namespace quetzal
