#include "request/retrywindow.h"

namespace quetzal {

RetryWindow::Bucket &RetryWindow::current(Millis now)
{
    // A bucket counts until its latest moment has left the window.
    while (!this->buckets.empty()
           && now - this->buckets.front().start > this->options.window + bucketSpan) {
        this->requests -= this->buckets.front().requests;
        this->extras -= this->buckets.front().extras;
        this->buckets.pop_front();
    }
    if (this->buckets.empty() || now - this->buckets.back().start >= bucketSpan)
        this->buckets.push_back({ now, 0, 0 });
    return this->buckets.back();
}

double RetryWindow::allowed() const
{
    return this->requests * this->options.ratio + this->options.slack;
}

void RetryWindow::onRequest(Millis now)
{
    this->current(now).requests += 1;
    this->requests += 1;
}

bool RetryWindow::trySpend(Millis now, double reserve)
{
    Bucket &bucket = this->current(now);
    if (this->extras + 1 > this->allowed() * (1 - reserve))
        return false;
    bucket.extras += 1;
    this->extras += 1;
    return true;
}

double RetryWindow::left(Millis now)
{
    this->current(now);
    return this->allowed() - this->extras;
}

} // namespace quetzal
