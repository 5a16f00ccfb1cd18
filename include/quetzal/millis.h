// The time type of quetzalchute, used both for durations and for points on a monotonic clock.
#pragma once

#include <compare>
#include <limits>

namespace quetzal {

// A duration, or a point on the monotonic clock of one process, in milliseconds.
class Millis
{
public:
    constexpr Millis() = default;
    constexpr explicit Millis(double count)
        : value(count)
    {}

    // Returns a point in time later than any other.
    static constexpr Millis never() { return Millis(std::numeric_limits<double>::infinity()); }

    // Returns the number of milliseconds, including the fraction.
    constexpr double count() const { return this->value; }

    friend constexpr auto operator<=>(const Millis &, const Millis &) = default;
    friend constexpr Millis operator+(Millis a, Millis b) { return Millis(a.value + b.value); }
    friend constexpr Millis operator-(Millis a, Millis b) { return Millis(a.value - b.value); }
    friend constexpr Millis operator*(Millis a, double factor) { return Millis(a.value * factor); }
    friend constexpr Millis operator/(Millis a, double divisor)
    {
        return Millis(a.value / divisor);
    }
    friend constexpr double operator/(Millis a, Millis b) { return a.value / b.value; }

    constexpr Millis &operator+=(Millis other)
    {
        this->value += other.value;
        return *this;
    }

private:
    double value = 0;
};

} // namespace quetzal
