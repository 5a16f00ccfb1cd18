// A budget that earns with first attempts and is spent on extra ones.
#pragma once

#include <optional>

namespace quetzal {

// Limits the extra sub-requests that hedges or retries may add to a pool.
//
// The budget earns a fixed fraction of a token for each first attempt and spends one token for
// each extra attempt. It is used by one event loop and takes no lock.
class TokenBudget
{
public:
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

    // Takes one token. Returns false, and changes nothing, when less than one token is left.
    bool trySpend()
    {
        if (this->tokens < 1)
            return false;
        this->tokens -= 1;
        return true;
    }

    // Returns the tokens left.
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
