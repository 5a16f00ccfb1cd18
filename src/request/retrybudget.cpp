#include "request/retrybudget.h"

namespace quetzal {

RetryBudget::Bucket &RetryBudget::currentBucket(Millis now)
{
    // A bucket expires when its end has left the window.
    while (!this->buckets.empty()
           && now - this->buckets.front().start > this->options.window + bucketWidth) {
        this->requests -= this->buckets.front().requests;
        this->extras -= this->buckets.front().extras;
        this->buckets.pop_front();
    }
    if (this->buckets.empty() || now - this->buckets.back().start >= bucketWidth)
        this->buckets.push_back({ now, 0, 0 });
    return this->buckets.back();
}

double RetryBudget::maxExtras() const
{
    return this->requests * this->options.ratio + this->options.slack;
}

void RetryBudget::onRequest(Millis now)
{
    this->currentBucket(now).requests += 1;
    this->requests += 1;
}

bool RetryBudget::trySpend(Millis now, double reserve)
{
    Bucket &bucket = this->currentBucket(now);
    if (this->extras + 1 > this->maxExtras() * (1 - reserve))
        return false;
    bucket.extras += 1;
    this->extras += 1;
    return true;
}

double RetryBudget::remaining(Millis now)
{
    this->currentBucket(now);
    return this->maxExtras() - this->extras;
}

} // namespace quetzal
