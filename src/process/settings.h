// The settings of quetzald, read from YAML.
#pragma once

#include "connection/frame.h"
#include "process/tracing.h"
#include "version/yamlreader.h"

#include <cstddef>
#include <string>
#include <vector>

namespace quetzal {

// Everything that one host is told.
struct Settings
{
    std::string name;
    std::string zone;
    // Addresses as IP number and port.
    std::string callersAddress;
    std::string adminAddress;
    std::string peersAddress;
    std::string storeAddress;
    std::string hostsAddress;
    std::uint32_t entryThreads = 1;
    std::uint32_t relayThreads = 1;
    // Cost of the way to another zone, one way.
    Millis zoneOneWayDelay = Millis(4);
    std::size_t maxBodyBytes = 1'048'576;
    // Time that a shutdown waits for requests in flight.
    Millis shutdownTimeout = Millis(10'000);
    // Time between polls of a searcher's status.
    Millis statusPeriod = Millis(1000);
    std::vector<SharedKey> keys;
    TraceSettings trace;
    std::string logFile;
};

// Parses and checks settings. Errors name file, line and field.
Parsed<Settings> parseSettings(const std::string &file, const std::string &text);

} // namespace quetzal
