#include "process/settings.h"

#include <Poco/Net/SocketAddress.h>

namespace quetzal {

static constexpr std::uint32_t maxThreads = 64;
// 64 MiB.
static constexpr std::uint32_t maxBodyBytesLimit = 67'108'864;
static constexpr double maxDurationMs = 600'000;
static constexpr std::size_t minSecretLength = 16;
static constexpr std::uint32_t maxKeyNumber = 255;

static std::string readAddress(YamlReader &reader, const YAML::Node &map, const char *field,
                               const std::string &where)
{
    std::string text = reader.text(map, field, where, true);
    if (text.empty())
        return text;
    try {
        const Poco::Net::SocketAddress address(text);
        static_cast<void>(address);
    } catch (const Poco::Exception &) {
        reader.addError(map[field],
                        where + ": " + field + " \"" + text + "\" must be an IP number and a port");
    }
    return text;
}

static void readKeys(YamlReader &reader, const YAML::Node &root, Settings &settings)
{
    const YAML::Node keys = root["keys"];
    if (!keys.IsDefined() || !keys.IsSequence() || keys.size() == 0) {
        reader.addError(root, "settings: a list \"keys\" with at least one key is expected");
        return;
    }
    for (const YAML::Node &node : keys) {
        if (!node.IsMap()) {
            reader.addError(node, "keys: a key must be a map");
            continue;
        }
        reader.allowOnly(node, "key", { "number", "secret" });
        SharedKey key;
        key.number = static_cast<std::uint8_t>(
                reader.count(node, "number", "key", 0, maxKeyNumber, true));
        key.secret = reader.text(node, "secret", "key", true);
        if (key.secret.size() < minSecretLength)
            reader.addError(node, "key: secret must have at least "
                                          + std::to_string(minSecretLength) + " characters");
        settings.keys.push_back(std::move(key));
    }
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

Parsed<Settings> parseSettings(const std::string &file, const std::string &text)
{
    YamlReader reader(file);
    Parsed<Settings> result;
    Settings &settings = result.value;
    const YAML::Node root = reader.load(text);
    if (root.IsDefined() && !root.IsMap())
        reader.addError(root, "settings: a map is expected");
    if (!root.IsDefined() || !root.IsMap()) {
        result.errors = reader.errors();
        return result;
    }
    reader.allowOnly(root, "settings",
                     { "host", "listen", "platform", "threads", "limits", "keys", "trace", "log" });
    const YAML::Node host = section(reader, root, "host", true);
    reader.allowOnly(host, "host", { "name", "zone", "zone_cost_ms" });
    settings.name = reader.text(host, "name", "host", true);
    settings.zone = reader.text(host, "zone", "host", true);
    settings.zoneOneWayDelay = Millis(reader.number(host, "zone_cost_ms", "host", 0, maxDurationMs,
                                                    false, settings.zoneOneWayDelay.count()));
    const YAML::Node listen = section(reader, root, "listen", true);
    reader.allowOnly(listen, "listen", { "callers", "admin", "peers" });
    settings.callersAddress = readAddress(reader, listen, "callers", "listen");
    settings.adminAddress = readAddress(reader, listen, "admin", "listen");
    settings.peersAddress = readAddress(reader, listen, "peers", "listen");
    const YAML::Node platform = section(reader, root, "platform", true);
    reader.allowOnly(platform, "platform", { "store", "hosts" });
    settings.storeAddress = readAddress(reader, platform, "store", "platform");
    settings.hostsAddress = readAddress(reader, platform, "hosts", "platform");
    const YAML::Node threads = section(reader, root, "threads", false);
    reader.allowOnly(threads, "threads", { "entry", "relay" });
    settings.entryThreads = reader.count(threads, "entry", "threads", 1, maxThreads, false, 1);
    settings.relayThreads = reader.count(threads, "relay", "threads", 1, maxThreads, false, 1);
    const YAML::Node limits = section(reader, root, "limits", false);
    reader.allowOnly(limits, "limits", { "body_bytes", "shutdown_ms", "status_period_ms" });
    settings.maxBodyBytes = reader.count(limits, "body_bytes", "limits", 0, maxBodyBytesLimit,
                                         false, static_cast<std::uint32_t>(settings.maxBodyBytes));
    settings.shutdownTimeout
            = Millis(reader.number(limits, "shutdown_ms", "limits", 0, maxDurationMs, false,
                                   settings.shutdownTimeout.count()));
    settings.statusPeriod
            = Millis(reader.number(limits, "status_period_ms", "limits", 10, maxDurationMs, false,
                                   settings.statusPeriod.count()));
    readKeys(reader, root, settings);
    const YAML::Node trace = section(reader, root, "trace", false);
    reader.allowOnly(trace, "trace", { "file", "collector", "sample" });
    settings.trace.file = reader.text(trace, "file", "trace", false);
    settings.trace.collector = reader.text(trace, "collector", "trace", false);
    settings.trace.sample = reader.number(trace, "sample", "trace", 0, 1, false, 0);
    const YAML::Node log = section(reader, root, "log", false);
    reader.allowOnly(log, "log", { "file" });
    settings.logFile = reader.text(log, "file", "log", false);
    result.errors = reader.errors();
    return result;
}

} // namespace quetzal
