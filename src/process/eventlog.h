// Structured log events with stable numbers, catalogued in docs/EVENTS.md.
#pragma once

#include <array>
#include <cstddef>
#include <exception>
#include <string>
#include <string_view>

namespace quetzal {

// All events that are logged. New ones go at the end, as in logEvents.
enum class LogEvent {
    Started,
    Ready,
    NotReady,
    Stopping,
    Stopped,
    SettingsRefused,
    ProcessPaused,
    TablesInForce,
    TablesCorrupt,
    StoreLost,
    StoreBack,
    HostJoined,
    HostSuspect,
    HostDead,
    HostLeaving,
    HostRestarted,
    HostUnresponsive,
    SearcherDrain,
    // The searcher is no longer draining.
    SearcherReturned,
    SearcherStatusLost,
    SilentConnections,
    // Searchers of an index version report conflicting holdings.
    VersionConflict,
    ReplyMismatch,
    Outlier,
    TraceDropped,
    SettingsReloaded,
    TablesRefused,
    SearcherRegistered,
    SearcherState,
    RequestEnded,
    RequestRefused,
    AttemptFailed,
    CallerGone,
    PeersChanged,
    PeerViewTaken,
    // All tables and registrations were read from the store.
    StoreListed,
    // A hedge or a retry was sent.
    AttemptExtra,
    // A host that relays parts of a request did not deliver them.
    RelayFallBack,
    // This host has gathered parts of a request for another host.
    RelayGathered,
    // The store's feed went on or off standby.
    StoreReading,
    // For longer than a change may take to be in force, neither the store nor another host has
    // shown that the view is complete; or it has been shown again.
    ViewUnconfirmed,
    ViewConfirmed,
    // The store is asked anew, because a call that it may have lost looks like one that waits.
    ViewDoubted,
    // A searcher states something else about itself than before.
    SearcherStatementChanged,
    // A registration with invalid fields is not used.
    RegistrationDropped,
    // The operators asked that nothing is sent to a zone's searchers, or took that back.
    ZoneEvacuated,
    ZoneRestored,
    // An entry of the tables is not used; the others are.
    TableEntryDropped,
    // A workspace's allowance is used up, or there is room again.
    AllowanceExhausted,
    AllowanceAvailable,
    // No keeper of an allowance answers, or one does again.
    AllowanceUnconfirmed,
    AllowanceConfirmed,
    // A connection was closed because its peer exceeds a limit.
    ConnectionLimited,
    // The memory held for connections exceeds its limit, or no longer does.
    MemoryLimited,
    MemoryRelieved,
    // A searcher states an implausible figure of its machine's speed.
    LoadFigureIgnored,
    // An exception left a handler of the event loop.
    HandlerFailed,
    // An answer of the view's source could not be handled.
    FeedFailed,
    // A message of another host has an invalid field.
    PeerMessageDropped,
    // A host in the platform's list has invalid fields.
    HostEntryDropped,
    // The store was restored from a copy of an earlier state.
    StoreRestored,
};

// Severity of an event.
enum class LogLevel { Info, Warning, Error };

// Number, name and level of an event, as written to the log.
struct LogEventInfo
{
    int number;
    std::string_view name;
    LogLevel level;
};

// Indexed by LogEvent.
inline constexpr std::array<LogEventInfo, 61> logEvents = { {
        { 1001, "started", LogLevel::Info },
        { 1002, "ready", LogLevel::Info },
        { 1003, "not-ready", LogLevel::Warning },
        { 1004, "stopping", LogLevel::Info },
        { 1005, "stopped", LogLevel::Info },
        { 1006, "settings-refused", LogLevel::Error },
        { 1007, "process-paused", LogLevel::Warning },
        { 1101, "tables-in-force", LogLevel::Info },
        { 1102, "tables-corrupt", LogLevel::Error },
        { 1103, "store-lost", LogLevel::Warning },
        { 1104, "store-back", LogLevel::Info },
        { 1201, "host-joined", LogLevel::Info },
        { 1202, "host-suspect", LogLevel::Warning },
        { 1203, "host-dead", LogLevel::Warning },
        { 1204, "host-leaving", LogLevel::Info },
        { 1205, "host-restarted", LogLevel::Info },
        { 1206, "host-unresponsive", LogLevel::Warning },
        { 2104, "searcher-drain", LogLevel::Info },
        { 2105, "searcher-returned", LogLevel::Info },
        { 2106, "searcher-status-lost", LogLevel::Warning },
        { 2107, "silent-connections", LogLevel::Warning },
        { 2201, "version-conflict", LogLevel::Error },
        { 2202, "reply-mismatch", LogLevel::Error },
        { 2203, "searcher-outlier", LogLevel::Warning },
        { 3101, "trace-dropped", LogLevel::Warning },
        { 1008, "settings-reloaded", LogLevel::Info },
        { 1105, "tables-refused", LogLevel::Error },
        { 2108, "searcher-registered", LogLevel::Info },
        { 2109, "searcher-state", LogLevel::Info },
        { 2301, "request-ended", LogLevel::Info },
        { 2302, "request-refused", LogLevel::Info },
        { 2303, "attempt-failed", LogLevel::Info },
        { 2304, "caller-gone", LogLevel::Info },
        { 1207, "peers-changed", LogLevel::Info },
        { 1208, "peer-view-taken", LogLevel::Info },
        { 1106, "store-listed", LogLevel::Info },
        { 2305, "attempt-extra", LogLevel::Info },
        { 2306, "relay-fall-back", LogLevel::Warning },
        { 2307, "relay-gathered", LogLevel::Info },
        { 1107, "store-reading", LogLevel::Info },
        { 1108, "view-unconfirmed", LogLevel::Warning },
        { 1109, "view-confirmed", LogLevel::Info },
        { 1110, "view-doubted", LogLevel::Info },
        { 2110, "searcher-statement", LogLevel::Info },
        { 1111, "registration-dropped", LogLevel::Warning },
        { 2111, "zone-evacuated", LogLevel::Warning },
        { 2112, "zone-restored", LogLevel::Info },
        { 1112, "table-entry-dropped", LogLevel::Error },
        { 2401, "allowance-exhausted", LogLevel::Info },
        { 2402, "allowance-available", LogLevel::Info },
        { 2403, "allowance-unconfirmed", LogLevel::Warning },
        { 2404, "allowance-confirmed", LogLevel::Info },
        { 2501, "connection-limited", LogLevel::Warning },
        { 2502, "memory-limited", LogLevel::Warning },
        { 2503, "memory-relieved", LogLevel::Info },
        { 2113, "load-figure-ignored", LogLevel::Warning },
        { 1009, "handler-failed", LogLevel::Error },
        { 1113, "feed-failed", LogLevel::Error },
        { 1209, "peer-message-dropped", LogLevel::Warning },
        { 1210, "host-entry-dropped", LogLevel::Warning },
        { 1114, "store-restored", LogLevel::Warning },
} };

// Returns the text of an exception, with that of POCO's classes in full. Quotes and control
// characters are replaced, so that it fits into a quoted field.
std::string describe(const std::exception &failure);

// Returns the text with quotes and control characters replaced and cut to a bounded length, so that
// foreign text fits into a quoted field of a log line.
std::string quotable(std::string_view text);

// Sends log lines to a file, or to standard error if the path is empty.
void startLog(const std::string &path);

// Sends log lines to standard output without blocking. A line that cannot be written at once is
// dropped, and the next line that can is preceded by "lines-lost count=N".
void startConsoleLog();

// Logs one line such as "QZ1001 started FIELDS". Fields are key=value pairs separated by blanks.
void logEvent(LogEvent event, const std::string &fields);

} // namespace quetzal
