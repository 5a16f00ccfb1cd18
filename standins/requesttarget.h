// Parser of the request targets that the stand-ins receive.
#pragma once

#include <map>
#include <string>

#include <Poco/NumberParser.h>
#include <Poco/URI.h>

namespace quetzal {

// The path and query parameters of an HTTP request target. If a parameter is repeated, the last
// value wins.
class RequestTarget
{
public:
    explicit RequestTarget(const std::string &target)
        : uri(target)
    {
        for (const auto &[name, value] : this->uri.getQueryParameters())
            this->values[name] = value;
    }

    std::string path() const { return this->uri.getPath(); }
    bool has(const std::string &name) const { return this->values.contains(name); }

    // Returns a parameter, or the fallback if it is absent.
    std::string text(const std::string &name, const std::string &fallback = "") const
    {
        const auto found = this->values.find(name);
        return found == this->values.end() ? fallback : found->second;
    }

    // Returns a numeric parameter, or the fallback if it is absent or not a number.
    double number(const std::string &name, double fallback) const
    {
        double value = fallback;
        if (!this->has(name) || !Poco::NumberParser::tryParseFloat(this->text(name), value))
            return fallback;
        return value;
    }

private:
    Poco::URI uri;
    std::map<std::string, std::string> values;
};

} // namespace quetzal
