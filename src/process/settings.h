// The settings of quetzald, read from YAML.
#pragma once

#include "connection/frame.h"
#include "process/tracing.h"
#include "version/yamlreader.h"

#include <cstddef>
#include <string>
#include <vector>

namespace quetzal {

// Settings of one quetzald host.
struct Settings
{
    std::string name;
    std::string zone;
    // Addresses consist of an IP address and a port.
    std::string callersAddress;
    std::string adminAddress;
    // Address for heartbeats and messages of other hosts.
    std::string peersAddress;
    // Address of the platform's store of routing tables.
    std::string storeAddress;
    // Address of the platform's list of hosts.
    std::string hostsAddress;
    std::uint32_t entryThreads = 1;
    std::uint32_t relayThreads = 1;
    // Network delay to another zone, one way.
    Millis zoneOneWayDelay = Millis(4);
    std::size_t maxBodyBytes = 1'048'576;
    // Maximum time that a shutdown waits for requests in flight.
    Millis shutdownTimeout = Millis(10'000);
    // Time between polls of a searcher's status.
    Millis statusPeriod = Millis(1000);
    // Keys that sign the messages between hosts.
    std::vector<SharedKey> keys;
    TraceSettings trace;
    // Empty to log to standard error.
    std::string logFile;
};

// Parses and validates settings. Errors name the file, line and field.
Parsed<Settings> parseSettings(const std::string &file, const std::string &text);

} // namespace quetzal
