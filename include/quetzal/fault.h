// Error codes of quetzalchute.
#pragma once

#include <array>
#include <string_view>
#include <system_error>

namespace quetzal {

// Why a request or an attempt failed. The numeric values are sent between hosts: new enumerators
// go at the end only.
enum class Fault {
    None,
    NoRoute,
    BadRequest,
    BodyTooLarge,
    Overloaded,
    PoolEmpty,
    // No index version can serve the request, or this host has no routing tables yet.
    NoVersion,
    // The index version that the request is pinned to is no longer served.
    VersionGone,
    QueueFull,
    // The attempt would not complete before its deadline, as estimated from the queue and the
    // searcher's service time.
    DeadlineTooShort,
    DeadlinePassed,
    Draining,
    ConnectFailed,
    ConnectionReset,
    // A connection delivered no data for so long that it was closed.
    SilentConnection,
    // The searcher refused the request because it is overloaded.
    Shed,
    // The searcher does not hold the requested index version, or the relaying host is stopping or
    // has no routing tables.
    VersionMissing,
    SearcherError,
    // The host that relayed the attempt died, restarted or became unresponsive.
    RelayLost,
    // The searcher's process is not the one that the request was addressed to.
    WrongIncarnation,
    Cancelled,
    Stopping,
    // The response does not match the request, for example in its shard or index version.
    ReplyMismatch,
    // A request with the same id may have run already, but its response is not known. Therefore
    // this request was not run.
    Unvouched,
    // The request may have expired while this process was paused.
    ProcessPaused,
    // Fewer shards have responded than the route requires.
    BelowCoverage,
    // This and the following two faults are not reported by any code at present.
    StoreUnavailable,
    Conflict,
    Invalid,
    // The request has no key, or one that no workspace has.
    UnknownKey,
    // Nothing has shown for some time that the routing tables are current.
    ViewUnconfirmed,
    // The workspace of the request has used up its allowance.
    AllowanceExhausted,
};

// Names in the order of the enumerators, as written to log lines and responses.
inline constexpr std::array<std::string_view, 32> faultNames = {
    "none",
    "no-route",
    "bad-request",
    "body-too-large",
    "overloaded",
    "pool-empty",
    "no-version",
    "version-gone",
    "queue-full",
    "deadline-too-short",
    "deadline-passed",
    "draining",
    "connect-failed",
    "connection-reset",
    "silent-connection",
    "shed",
    "version-missing",
    "searcher-error",
    "relay-lost",
    "wrong-incarnation",
    "cancelled",
    "stopping",
    "reply-mismatch",
    "unvouched",
    "process-paused",
    "below-coverage",
    "store-unavailable",
    "conflict",
    "invalid",
    "unknown-key",
    "view-unconfirmed",
    "allowance-exhausted",
};

// Returns the error category of Fault.
const std::error_category &faultCategory();

// Converts a fault to a std::error_code; found by argument-dependent lookup.
std::error_code make_error_code(Fault fault); // NOLINT(readability-identifier-naming)

} // namespace quetzal

template <>
struct std::is_error_code_enum<quetzal::Fault> : std::true_type
{
};
