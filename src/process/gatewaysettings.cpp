#include "process/gatewaysettings.h"

#include <Poco/Net/SocketAddress.h>

namespace quetzal {

static constexpr double maxDurationMs = 600'000;
static constexpr double minChangeDeadlineMs = 1000;
static constexpr double maxRetrySlack = 1e6;
static constexpr double minCapacity = 1e-3;
static constexpr double maxCapacity = 1e3;
static constexpr std::uint32_t minMemoryMb = 16;
static constexpr std::uint32_t maxMemoryMb = 1'048'576;

static bool isAddress(const std::string &text)
{
    try {
        const Poco::Net::SocketAddress address(text);
        return address.port() != 0;
    } catch (const Poco::Exception &) {
        return false;
    }
}

static std::string readAddress(YamlReader &reader, const YAML::Node &map, const char *field,
                               const std::string &where, bool required = true)
{
    std::string text = reader.text(map, field, where, required);
    if (!text.empty() && !isAddress(text))
        reader.addError(map[field],
                        where + ": " + field + " \"" + text + "\" must be an IP number and a port");
    return text;
}

static YAML::Node section(YamlReader &reader, const YAML::Node &root, const char *name,
                          bool required)
{
    const YAML::Node node = root[name];
    if (node.IsDefined() && node.IsMap())
        return node;
    if (required || node.IsDefined())
        reader.addError(root, std::string("settings: a map \"") + name + "\" is expected");
    return YAML::Node(YAML::NodeType::Map);
}

// Reads the source of tables and registrations, which is either a store or a set of files.
static void readSource(YamlReader &reader, const YAML::Node &root, GatewaySettings &settings)
{
    if (root["store"].IsDefined() == root["files"].IsDefined()) {
        reader.addError(root, "settings: one of store and files is expected");
        return;
    }
    if (root["store"].IsDefined()) {
        const YAML::Node store = section(reader, root, "store", true);
        reader.allowOnly(store, "store", { "address" });
        settings.storeAddress = readAddress(reader, store, "address", "store");
        return;
    }
    const YAML::Node files = section(reader, root, "files", true);
    reader.allowOnly(files, "files", { "routes", "pools", "searchers" });
    settings.files.routes = reader.text(files, "routes", "files", true);
    settings.files.pools = reader.text(files, "pools", "files", true);
    settings.files.searchers = reader.text(files, "searchers", "files", true);
}

Parsed<GatewaySettings> parseGatewaySettings(const std::string &file, const std::string &text)
{
    YamlReader reader(file);
    Parsed<GatewaySettings> result;
    GatewaySettings &settings = result.value;
    const YAML::Node root = reader.load(text);
    if (!root.IsDefined() || !root.IsMap()) {
        if (root.IsDefined())
            reader.addError(root, "settings: a map is expected");
        result.errors = reader.errors();
        return result;
    }
    reader.allowOnly(
            root, "settings",
            { "host", "listen", "store", "files", "seeds", "retries", "limits", "allowances" });
    const YAML::Node host = section(reader, root, "host", true);
    reader.allowOnly(host, "host",
                     { "name", "zone", "capacity", "zone_distance_ms", "zone_reluctance_ms" });
    settings.name = reader.text(host, "name", "host", true);
    settings.zone = reader.text(host, "zone", "host", true);
    settings.capacity = reader.number(host, "capacity", "host", minCapacity, maxCapacity, false,
                                      settings.capacity);
    settings.zoneRoundTrip
            = Millis(reader.number(host, "zone_distance_ms", "host", 0, maxDurationMs, false,
                                   settings.zoneRoundTrip.count()));
    settings.zonePenalty
            = Millis(reader.number(host, "zone_reluctance_ms", "host", 0, maxDurationMs, false,
                                   settings.zonePenalty.count()));
    const YAML::Node listen = section(reader, root, "listen", true);
    reader.allowOnly(listen, "listen", { "callers", "ready", "view", "heartbeat", "metrics" });
    settings.callersAddress = readAddress(reader, listen, "callers", "listen");
    settings.readyAddress = readAddress(reader, listen, "ready", "listen");
    settings.viewAddress = readAddress(reader, listen, "view", "listen");
    settings.heartbeatAddress = readAddress(reader, listen, "heartbeat", "listen");
    settings.metricsAddress = readAddress(reader, listen, "metrics", "listen", false);
    readSource(reader, root, settings);
    settings.seeds = reader.texts(root, "seeds", "settings");
    for (const std::string &seed : settings.seeds) {
        if (!isAddress(seed))
            reader.addError(root["seeds"],
                            "settings: seeds \"" + seed + "\" must be an IP number and a port");
    }
    const YAML::Node retries = section(reader, root, "retries", false);
    reader.allowOnly(retries, "retries", { "ratio", "slack", "window_ms" });
    settings.retryRatio
            = reader.number(retries, "ratio", "retries", 0, 1, false, settings.retryRatio);
    settings.retrySlack = reader.number(retries, "slack", "retries", 0, maxRetrySlack, false,
                                        settings.retrySlack);
    settings.retryWindow = Millis(reader.number(retries, "window_ms", "retries", 1, maxDurationMs,
                                                false, settings.retryWindow.count()));
    const YAML::Node allowances = section(reader, root, "allowances", false);
    reader.allowOnly(allowances, "allowances",
                     { "window_ms", "tolerated_ratio", "tolerated_slack" });
    AllowanceTolerance &tolerance = settings.allowanceTolerance;
    tolerance.window = Millis(reader.number(allowances, "window_ms", "allowances", 1, maxDurationMs,
                                            false, tolerance.window.count()));
    tolerance.ratio = reader.number(allowances, "tolerated_ratio", "allowances", 0, 1, false,
                                    tolerance.ratio);
    tolerance.slack = reader.number(allowances, "tolerated_slack", "allowances", 0, maxRetrySlack,
                                    false, tolerance.slack);
    const YAML::Node limits = section(reader, root, "limits", false);
    reader.allowOnly(limits, "limits", { "grace_ms", "change_in_force_ms", "memory_mb" });
    settings.grace = Millis(reader.number(limits, "grace_ms", "limits", 0, maxDurationMs, false,
                                          settings.grace.count()));
    settings.changeDeadline
            = Millis(reader.number(limits, "change_in_force_ms", "limits", minChangeDeadlineMs,
                                   maxDurationMs, false, settings.changeDeadline.count()));
    settings.memoryMb = reader.count(limits, "memory_mb", "limits", minMemoryMb, maxMemoryMb, false,
                                     settings.memoryMb);
    result.errors = reader.errors();
    return result;
}

} // namespace quetzal
