// A budget of extra attempts over a sliding window.
#pragma once

#include "quetzal/millis.h"

#include <deque>

namespace quetzal {

// How many extra attempts may be added.
struct RetryBudgetOptions
{
    Millis window = Millis(10'000);
    // Extra attempts allowed for each request in the window.
    double ratio = 0.2;
    // Extra attempts allowed besides, for this host alone.
    double slack = 5;
};

// Counts the requests for one pool and the extra attempts sent to it, and allows an extra attempt
// only while the window that ends now stays within the ratio and the slack.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options)
        : options(options)
    {}

    void setOptions(const RetryBudgetOptions &next) { this->options = next; }

    // Records a request for the pool.
    void onRequest(Millis now);

    // Takes one extra attempt. Returns false, and changes nothing, unless the given share of the
    // budget is left after it: urgent retries ask for none to be left, others for more.
    bool trySpend(Millis now, double reserve = 0);

    // Returns the extra attempts that are left.
    double remaining(Millis now);

private:
    struct Bucket
    {
        Millis start;
        double requests = 0;
        double extras = 0;
    };

    Bucket &currentBucket(Millis now);
    double maxExtras() const;

    static constexpr Millis bucketWidth = Millis(500);

    RetryBudgetOptions options;
    std::deque<Bucket> buckets;
    double requests = 0;
    double extras = 0;
};

} // namespace quetzal
