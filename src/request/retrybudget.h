// A budget of extra attempts in a sliding time window.
#pragma once

#include "quetzal/millis.h"

#include <deque>

namespace quetzal {

// Limits on extra attempts, that is hedges and retries.
struct RetryBudgetOptions
{
    Millis window = Millis(10'000);
    // Extra attempts allowed per request in the window.
    double ratio = 0.2;
    // Extra attempts allowed in addition, regardless of the number of requests, for this host
    // alone.
    double slack = 5;
};

// Counts the requests to one pool and the extra attempts on it. An extra attempt is allowed only if
// those in the window that ends now stay within ratio times the requests plus slack.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options)
        : options(options)
    {}

    void setOptions(const RetryBudgetOptions &newOptions) { this->options = newOptions; }

    // Records a request to the pool.
    void onRequest(Millis now);

    // Takes one extra attempt from the budget. Returns false and changes nothing unless the
    // reserve, a share of the whole budget, remains after it. A reserve keeps budget free for more
    // urgent attempts.
    bool trySpend(Millis now, double reserve = 0);

    // Returns the number of extra attempts that remain; may be negative.
    double remaining(Millis now);

private:
    struct Bucket
    {
        Millis start;
        double requests = 0;
        double extras = 0;
    };

    // Removes expired buckets and returns the bucket for the current time.
    Bucket &currentBucket(Millis now);
    // Returns the number of extra attempts allowed in the window.
    double maxExtras() const;

    static constexpr Millis bucketWidth = Millis(500);

    RetryBudgetOptions options;
    std::deque<Bucket> buckets;
    // Totals over all buckets.
    double requests = 0;
    double extras = 0;
};

} // namespace quetzal
