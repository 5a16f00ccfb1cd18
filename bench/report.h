// Result lines of the benchmarks, printed as "name value unit bound ok|RED".
#pragma once

#include <iostream>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

// Collects result lines and prints them in insertion order.
class Report
{
public:
    // Adds a result without a bound.
    void addFigure(const std::string &name, double value, const std::string &unit)
    {
        this->lines.push_back({ name, value, unit, std::nullopt, true });
    }

    // Adds a result that fails if it is above the bound.
    void checkAtMost(const std::string &name, double value, const std::string &unit, double bound)
    {
        this->lines.push_back({ name, value, unit, bound, value <= bound });
    }

    // Adds a result that fails if it is below the bound.
    void checkAtLeast(const std::string &name, double value, const std::string &unit, double bound)
    {
        this->lines.push_back({ name, value, unit, bound, value >= bound });
    }

    // Appends the lines of another report.
    void append(const Report &other)
    {
        this->lines.insert(this->lines.end(), other.lines.begin(), other.lines.end());
    }

    // Prints all lines to standard output. Returns the exit code: 1 if any line is RED, else 0.
    int print() const
    {
        bool red = false;
        for (const Line &line : this->lines) {
            std::cout << line.name << ' ' << line.value << ' ' << line.unit << ' ';
            if (line.bound)
                std::cout << *line.bound << ' ' << (line.ok ? "ok" : "RED") << '\n';
            else
                std::cout << "- ok\n";
            red = red || !line.ok;
        }
        return red ? 1 : 0;
    }

private:
    struct Line
    {
        std::string name;
        double value = 0;
        std::string unit;
        std::optional<double> bound;
        bool ok = true;
    };

    std::vector<Line> lines;
};

} // namespace quetzal
