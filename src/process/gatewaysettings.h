// The settings of quetzal-gateway, read from YAML.
#pragma once

#include "process/filefeed.h"
#include "quetzal/millis.h"
#include "request/allowance.h"
#include "version/yamlreader.h"

#include <optional>
#include <string>
#include <vector>

namespace quetzal {

// Settings of one gateway process. Addresses consist of an IP address and a port.
struct GatewaySettings
{
    std::string name;
    std::string zone;
    // Share of the work that the host takes, relative to other hosts.
    double capacity = 1;
    std::string callersAddress;
    std::string readyAddress;
    // Address at which other hosts fetch this host's view.
    std::string viewAddress;
    // Address that receives heartbeats and messages of other hosts. All hosts use the same port.
    std::string heartbeatAddress;
    // Address of the metrics endpoint; empty to disable it.
    std::string metricsAddress;
    // Address of the store; empty if the view is read from files.
    std::string storeAddress;
    ViewFiles files;
    // View addresses of other hosts, some of which may no longer exist.
    std::vector<std::string> seeds;
    // Budget of extra attempts on a pool in each window, for all hosts together: a ratio of the
    // requests plus a constant number.
    double retryRatio = 0.2;
    double retrySlack = 50;
    Millis retryWindow = Millis(10'000);
    // What all hosts together may admit beyond the allowance of a workspace.
    AllowanceTolerance allowanceTolerance;
    // Time from the start of a shutdown until the process must have exited.
    Millis grace = Millis(6000);
    // Time within which a change that the store has accepted is to be in force on every host.
    Millis changeDeadline = Millis(3000);
    // Memory of the machine in MB; a quarter of it may be held for connections.
    std::uint32_t memoryMb = 256;
    // Network round-trip time to another zone.
    Millis zoneRoundTrip = Millis(8);
    // Additional expected latency that is accepted before a searcher of another zone is preferred
    // to one of the local zone.
    Millis zonePenalty = Millis(10);
};

// Parses and validates settings. Errors name the file, line and field.
Parsed<GatewaySettings> parseGatewaySettings(const std::string &file, const std::string &text);

} // namespace quetzal
