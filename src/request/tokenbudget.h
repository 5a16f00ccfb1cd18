// A token bucket that is filled by first attempts and emptied by extra ones.
#pragma once

#include <optional>

namespace quetzal {

// Limits the extra sub-requests that hedges or retries may add to a pool.
//
// Each first attempt adds a fixed fraction of a token, up to the capacity; each extra attempt takes
// one token. Not thread-safe.
class TokenBudget
{
public:
    // ratio: tokens added per first attempt. burst: capacity and initial number of tokens.
    // Returns an empty value if ratio is outside [0, 1] or burst is below one.
    static std::optional<TokenBudget> make(double ratio, int burst)
    {
        if (ratio < 0 || ratio > 1 || burst < 1)
            return std::nullopt;
        return TokenBudget(ratio, burst);
    }

    // Records a first attempt.
    void earn()
    {
        this->tokens += this->ratio;
        if (this->tokens > this->burst)
            this->tokens = this->burst;
    }

    // Takes one token. Returns false and changes nothing if less than one token remains.
    bool trySpend()
    {
        if (this->tokens < 1)
            return false;
        this->tokens -= 1;
        return true;
    }

    // Returns the number of tokens that remain.
    double remaining() const { return this->tokens; }

private:
    TokenBudget(double ratio, int burst)
        : ratio(ratio)
        , burst(burst)
        , tokens(burst)
    {}

    double ratio;
    double burst;
    double tokens;
};

} // namespace quetzal
