#include "process/filefeed.h"

#include "process/eventlog.h"
#include "quetzal/steadyclock.h"
#include "version/searchersyaml.h"
#include "version/tablesyaml.h"

#include <algorithm>
#include <exception>

namespace quetzal {

FileFeed::FileFeed(EventLoop &loop, ViewFiles files, ServingView &view)
    : loop(loop)
    , files(std::move(files))
    , view(view)
{}

FileFeed::~FileFeed()
{
    this->loop.cancel(this->timer);
}

void FileFeed::start()
{
    this->currentStatus.step = FeedStep::Pausing;
    this->currentStatus.stepSince = SteadyClock::now();
    this->timer = this->loop.schedule(SteadyClock::now() + pollPeriod, [this] { this->start(); });
    this->checkFiles();
}

void FileFeed::rejectFiles(const std::string &error)
{
    logEvent(LogEvent::TablesRefused, "error=\"" + error + "\"");
}

void FileFeed::checkFiles()
{
    const auto routes = readTextFile(this->files.routes);
    const auto pools = readTextFile(this->files.pools);
    const auto searchers = readTextFile(this->files.searchers);
    if (routes && pools && searchers)
        this->currentStatus.answeredAt = SteadyClock::now();
    const std::string contents = routes && pools && searchers ? *routes + *pools + *searchers : "";
    if (contents == this->lastContents && !contents.empty()) {
        if (this->healthy)
            this->view.freshness().confirmBySource(SteadyClock::now());
        return;
    }
    if (contents == this->appliedContents && !contents.empty()) {
        // An error was taken back.
        this->lastContents = contents;
        this->healthy = true;
        this->currentStatus.refusedTables = 0;
        this->view.freshness().confirmBySource(SteadyClock::now());
        return;
    }
    const bool isChanged = contents != this->lastContents || this->healthy;
    // Files whose application fails with an exception stay new, so that the next poll repeats it.
    this->lastContents.clear();
    this->healthy = false;
    try {
        if (!contents.empty())
            this->applyFiles(*routes, *pools, *searchers);
        else if (isChanged)
            this->rejectFiles("cannot read " + this->files.routes + ", " + this->files.pools
                              + " or " + this->files.searchers);
        this->lastContents = contents;
        if (this->healthy)
            this->appliedContents = contents;
    } catch (const std::exception &failure) {
        this->currentStatus.failures += 1;
        logEvent(LogEvent::FeedFailed, "step=listing reason=\"" + describe(failure) + "\"");
    }
}

void FileFeed::applyFiles(const std::string &routes, const std::string &pools,
                          const std::string &searchers)
{
    auto tables = parseTables(this->files.routes, routes, this->files.pools, pools);
    auto listing = parseSearchers(this->files.searchers, searchers);
    std::vector<std::string> errors = tables.errors;
    errors.insert(errors.end(), listing.errors.begin(), listing.errors.end());
    const std::uint64_t revision = listing.value.revision;
    // Another host may have sent the tables of this revision before the files changed here.
    const std::uint64_t current = this->view.tablesRevision().value;
    if (errors.empty() && (revision < current || revision <= this->appliedRevision))
        errors.push_back(this->files.searchers + ": revision " + std::to_string(revision)
                         + " must be above " + std::to_string(current));
    if (!errors.empty()) {
        for (const std::string &error : errors)
            this->rejectFiles(error);
        this->currentStatus.refusedTables = revision;
        return;
    }
    RoutingTables newTables;
    newTables.revision = { revision };
    newTables.routes = std::move(tables.value.routes);
    newTables.pools = std::move(tables.value.pools);
    this->view.applyTables(std::move(newTables));
    this->view.applyListing(listing.value.searchers, revision, SteadyClock::now());
    this->view.freshness().confirmBySource(SteadyClock::now());
    this->healthy = true;
    this->appliedRevision = revision;
    this->currentStatus.refusedTables = 0;
    logEvent(LogEvent::TablesInForce, "revision=" + std::to_string(revision));
}

} // namespace quetzal
