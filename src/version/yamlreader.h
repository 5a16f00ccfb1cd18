// Reads and validates values from YAML, and collects errors that name file, line and field.
#pragma once

#include "quetzal/millis.h"

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

namespace quetzal {

// A parsed value and the errors found in it. The value may be used only if there are none.
template <typename Value>
struct Parsed
{
    Value value;
    std::vector<std::string> errors;

    bool ok() const { return this->errors.empty(); }
};

// Returns the contents of a file, or nothing if it cannot be read.
std::optional<std::string> readTextFile(const std::string &path);

// Reads one YAML document. On an error each function that reads a field records it and returns the
// fallback; for a missing field that is not required it returns the fallback without an error. In
// error messages the string "where" names the entry that the field belongs to.
class YamlReader
{
public:
    explicit YamlReader(std::string file)
        : file(std::move(file))
    {}

    // Parses the text. Records an error and returns an undefined node if it is not valid YAML.
    YAML::Node load(const std::string &text);

    // Records an error at a node, as in "pools.yaml:14: what".
    void addError(const YAML::Node &at, const std::string &what);

    // Records an error for each field of a map that is not in the list.
    void allowOnly(const YAML::Node &map, std::string_view where,
                   std::initializer_list<std::string_view> fields);

    // Reads a string.
    std::string text(const YAML::Node &map, const char *field, std::string_view where,
                     bool required, const std::string &fallback = "");
    // Reads a number from low to high.
    double number(const YAML::Node &map, const char *field, std::string_view where, double low,
                  double high, bool required, double fallback = 0);
    // Reads a whole number from low to high.
    std::uint32_t count(const YAML::Node &map, const char *field, std::string_view where,
                        std::uint32_t low, std::uint32_t high, bool required,
                        std::uint32_t fallback = 0);
    // Reads true or false.
    bool flag(const YAML::Node &map, const char *field, std::string_view where, bool fallback);
    // Reads a list of strings; empty if the field is missing.
    std::vector<std::string> texts(const YAML::Node &map, const char *field,
                                   std::string_view where);

    // Reads one of the names and returns the enumerator at its index.
    template <typename Enum, typename Names>
    Enum choice(const YAML::Node &map, const char *field, std::string_view where,
                const Names &names, Enum fallback)
    {
        const std::string value = this->text(map, field, where, false, "");
        if (value.empty())
            return fallback;
        for (std::size_t i = 0; i < names.size(); ++i) {
            if (names[i] == value)
                return static_cast<Enum>(i);
        }
        std::string known;
        for (const std::string_view name : names)
            known += (known.empty() ? "" : ", ") + std::string(name);
        this->addError(map[field], std::string(where) + ": " + field + " \"" + value
                                           + "\" is not one of " + known);
        return fallback;
    }

    const std::vector<std::string> &errors() const { return this->collectedErrors; }

private:
    std::string file;
    std::vector<std::string> collectedErrors;
};

} // namespace quetzal
