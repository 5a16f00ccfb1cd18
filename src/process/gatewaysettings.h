// The settings of quetzal-gateway, read from YAML.
#pragma once

#include "process/filefeed.h"
#include "quetzal/millis.h"
#include "version/yamlreader.h"

#include <optional>
#include <string>
#include <vector>

namespace quetzal {

// Everything that one gateway process is told. Addresses are IP numbers and ports.
struct GatewaySettings
{
    std::string name;
    std::string zone;
    // How much work the host takes, relative to others.
    double capacity = 1;
    std::string callersAddress;
    std::string readyAddress;
    // Other hosts read this one's view there.
    std::string viewAddress;
    // Heartbeats of other hosts arrive there. All hosts use the same port.
    std::string heartbeatAddress;
    // Empty if no metrics are served.
    std::string metricsAddress;
    // Empty if the view is read from files.
    std::string storeAddress;
    ViewFiles files;
    // View addresses of other hosts; some may be gone.
    std::vector<std::string> seeds;
    // Extra attempts on a pool that all hosts together may make in a window.
    double retryRatio = 0.2;
    double retrySlack = 50;
    Millis retryWindow = Millis(10'000);
    // Time from the order to stop until the process must have ended.
    Millis grace = Millis(6000);
    // Time of the way to another zone and back.
    Millis zoneRoundTrip = Millis(8);
    // Expected latency that is accepted in the own zone before another one's searcher is used.
    Millis zonePenalty = Millis(10);
};

// Parses and checks settings. Errors name file, line and field.
Parsed<GatewaySettings> parseGatewaySettings(const std::string &file, const std::string &text);

} // namespace quetzal
