#include "version/searchersyaml.h"

#include "version/registrationcheck.h"

#include <set>

namespace quetzal {

// Upper bounds of the fields.
static constexpr std::uint32_t maxSlots = 10'000;
static constexpr std::uint32_t maxRevision = 2'000'000'000;

static SearcherRegistration readSearcher(YamlReader &reader, const YAML::Node &node,
                                         std::uint64_t revision)
{
    const std::size_t errorsBefore = reader.errors().size();
    SearcherRegistration registration;
    registration.id = reader.text(node, "id", "searcher", true);
    const std::string where = "searcher \"" + registration.id + "\"";
    reader.allowOnly(node, where, { "id", "pool", "address", "zone", "slots", "state" });
    registration.pool = reader.text(node, "pool", where, true);
    registration.address = reader.text(node, "address", where, true);
    if (!registration.address.empty() && !parseNumericAddress(registration.address))
        reader.addError(node["address"], where + ": address must be an IP number and a port");
    registration.zone = reader.text(node, "zone", where, true);
    registration.slots = reader.count(node, "slots", where, 1, maxSlots, false, 1);
    registration.state
            = reader.choice(node, "state", where, searcherStateNames, SearcherState::Ready);
    registration.revision = revision;
    // Missing fields are reported above.
    const std::string problem = registrationProblem(registration);
    if (errorsBefore == reader.errors().size() && !problem.empty())
        reader.addError(node, where + ": " + problem);
    return registration;
}

Parsed<SearchersFile> parseSearchers(const std::string &file, const std::string &text)
{
    YamlReader reader(file);
    Parsed<SearchersFile> result;
    const YAML::Node root = reader.load(text);
    const bool isList = root.IsDefined() && root.IsMap() && root["searchers"].IsDefined()
                        && root["searchers"].IsSequence();
    if (root.IsDefined() && !isList)
        reader.addError(root, "a list \"searchers\" is expected");
    if (reader.errors().empty()) {
        reader.allowOnly(root, "searchers", { "revision", "searchers" });
        result.value.revision
                = reader.count(root, "revision", "searchers", 1, maxRevision, true, 1);
        std::set<std::string> ids;
        for (const YAML::Node &node : root["searchers"]) {
            if (!node.IsMap()) {
                reader.addError(node, "a searcher must be a map");
                continue;
            }
            SearcherRegistration registration = readSearcher(reader, node, result.value.revision);
            if (!ids.insert(registration.id).second)
                reader.addError(node, "searcher \"" + registration.id + "\" is listed twice");
            result.value.searchers.push_back(std::move(registration));
        }
    }
    result.errors = reader.errors();
    return result;
}

} // namespace quetzal
