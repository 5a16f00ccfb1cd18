#include "version/yamlreader.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

namespace quetzal {

std::optional<std::string> readTextFile(const std::string &path)
{
    std::ifstream file(path);
    if (path.empty() || !file)
        return std::nullopt;
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

YAML::Node YamlReader::load(const std::string &text)
{
    try {
        return YAML::Load(text);
    } catch (const YAML::Exception &error) {
        this->collectedErrors.push_back(this->file + ":" + std::to_string(error.mark.line + 1)
                                        + ": " + error.msg);
    }
    return YAML::Node(YAML::NodeType::Undefined);
}

void YamlReader::addError(const YAML::Node &at, const std::string &what)
{
    const int line = at.IsDefined() ? at.Mark().line + 1 : 0;
    this->collectedErrors.push_back(this->file + ":" + std::to_string(line) + ": " + what);
}

void YamlReader::allowOnly(const YAML::Node &map, std::string_view where,
                           std::initializer_list<std::string_view> fields)
{
    if (!map.IsMap())
        return;
    for (const auto &entry : map) {
        if (!entry.first.IsScalar()) {
            this->addError(entry.first, std::string(where) + ": a field name must be plain text");
            continue;
        }
        const std::string &name = entry.first.Scalar();
        if (std::find(fields.begin(), fields.end(), name) == fields.end())
            this->addError(entry.first, std::string(where) + ": unknown field \"" + name + "\"");
    }
}

static std::string missingField(std::string_view where, const char *field)
{
    return std::string(where) + ": field \"" + field + "\" is missing";
}

std::string YamlReader::text(const YAML::Node &map, const char *field, std::string_view where,
                             bool required, const std::string &fallback)
{
    const YAML::Node node = map[field];
    if (!node.IsDefined() || node.IsNull()) {
        if (required)
            this->addError(map, missingField(where, field));
        return fallback;
    }
    if (!node.IsScalar()) {
        this->addError(node, std::string(where) + ": field \"" + field + "\" must be text");
        return fallback;
    }
    return node.Scalar();
}

double YamlReader::number(const YAML::Node &map, const char *field, std::string_view where,
                          double low, double high, bool required, double fallback)
{
    const YAML::Node node = map[field];
    if (!node.IsDefined()) {
        if (required)
            this->addError(map, missingField(where, field));
        return fallback;
    }
    double value = 0;
    const bool isNumber = node.IsScalar() && YAML::convert<double>::decode(node, value);
    // Written as a negation so that NaN is refused too.
    if (!isNumber || !(value >= low && value <= high)) {
        const std::string shown = node.IsScalar() ? node.Scalar() : "(not a number)";
        this->addError(node, std::string(where) + ": " + field + " \"" + shown + "\" must be from "
                                     + std::to_string(low) + " to " + std::to_string(high));
        return fallback;
    }
    return value;
}

std::uint32_t YamlReader::count(const YAML::Node &map, const char *field, std::string_view where,
                                std::uint32_t low, std::uint32_t high, bool required,
                                std::uint32_t fallback)
{
    const std::size_t before = this->collectedErrors.size();
    const double value = this->number(map, field, where, low, high, required, fallback);
    if (this->collectedErrors.size() == before && value != std::floor(value)) {
        this->addError(map[field], std::string(where) + ": " + field + " must be a whole number");
        return fallback;
    }
    return static_cast<std::uint32_t>(value);
}

bool YamlReader::flag(const YAML::Node &map, const char *field, std::string_view where,
                      bool fallback)
{
    const YAML::Node node = map[field];
    if (!node.IsDefined())
        return fallback;
    bool value = fallback;
    if (!node.IsScalar() || !YAML::convert<bool>::decode(node, value))
        this->addError(node, std::string(where) + ": " + field + " must be true or false");
    return value;
}

std::vector<std::string> YamlReader::texts(const YAML::Node &map, const char *field,
                                           std::string_view where)
{
    std::vector<std::string> result;
    const YAML::Node node = map[field];
    if (!node.IsDefined())
        return result;
    if (!node.IsSequence()) {
        this->addError(node, std::string(where) + ": " + field + " must be a list");
        return result;
    }
    for (const YAML::Node &item : node) {
        if (item.IsScalar())
            result.push_back(item.Scalar());
        else
            this->addError(item, std::string(where) + ": an item of " + field + " must be text");
    }
    return result;
}

} // namespace quetzal
