#include "version/searchersyaml.h"

#include <set>

#include <Poco/Net/SocketAddress.h>

namespace quetzal {

static constexpr std::uint32_t mostSlots = 10'000;
static constexpr std::uint32_t mostRevision = 2'000'000'000;

static bool isAddress(const std::string &text)
{
    try {
        return Poco::Net::SocketAddress(text).port() != 0;
    } catch (const Poco::Exception &) {
        return false;
    }
}

static DirectoryEntry readSearcher(YamlReader &reader, const YAML::Node &node,
                                   std::uint64_t revision)
{
    DirectoryEntry entry;
    entry.id = reader.text(node, "id", "searcher", true);
    const std::string where = "searcher \"" + entry.id + "\"";
    reader.allowOnly(node, where, { "id", "pool", "address", "zone", "slots", "state" });
    entry.pool = reader.text(node, "pool", where, true);
    entry.address = reader.text(node, "address", where, true);
    if (!entry.address.empty() && !isAddress(entry.address))
        reader.fail(node["address"], where + ": address must be an IP number and a port");
    entry.zone = reader.text(node, "zone", where, true);
    entry.slots = reader.count(node, "slots", where, 1, mostSlots, false, 1);
    entry.state = reader.choice(node, "state", where, searcherStateNames, SearcherState::Ready);
    entry.revision = revision;
    return entry;
}

Parsed<SearchersFile> parseSearchers(const std::string &file, const std::string &text)
{
    YamlReader reader(file);
    Parsed<SearchersFile> result;
    const YAML::Node root = reader.load(text);
    const bool isList = root.IsDefined() && root.IsMap() && root["searchers"].IsDefined()
                        && root["searchers"].IsSequence();
    if (root.IsDefined() && !isList)
        reader.fail(root, "a list \"searchers\" is expected");
    if (reader.errors().empty()) {
        reader.allowOnly(root, "searchers", { "revision", "searchers" });
        result.value.revision
                = reader.count(root, "revision", "searchers", 1, mostRevision, true, 1);
        std::set<std::string> ids;
        for (const YAML::Node &node : root["searchers"]) {
            if (!node.IsMap()) {
                reader.fail(node, "a searcher must be a map");
                continue;
            }
            DirectoryEntry entry = readSearcher(reader, node, result.value.revision);
            if (!ids.insert(entry.id).second)
                reader.fail(node, "searcher \"" + entry.id + "\" is listed twice");
            result.value.searchers.push_back(std::move(entry));
        }
    }
    result.errors = reader.errors();
    return result;
}

} // namespace quetzal
