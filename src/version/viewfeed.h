// A source of tables and registrations.
#pragma once

namespace quetzal {

// Keeps a ServingView up to date from a store. Used on one loop.
class ViewFeed
{
public:
    virtual ~ViewFeed() = default;

    // Begins to read, and goes on for as long as the feed lives.
    virtual void start() = 0;

    // True while the store answers this host.
    virtual bool isHealthy() const = 0;

    // Sets whether the feed follows the store closely. One that rests asks now and then, and leaves
    // the rest to what other hosts tell.
    virtual void setStandby(bool resting) = 0;

    // Something newer than the feed has told is known elsewhere: asks again on a new connection.
    virtual void refresh() = 0;
};

} // namespace quetzal
