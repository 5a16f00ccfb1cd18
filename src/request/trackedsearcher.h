// What this host has seen of one registered searcher, and what it expects of it.
#pragma once

#include "connection/httpcodec.h"
#include "quetzal/millis.h"
#include "quetzal/verdict.h"
#include "request/attempt.h"
#include "version/searcherdirectory.h"

#include <cstdint>
#include <vector>

namespace quetzal {

// Whether new work may go to a searcher.
enum class Availability { Usable, LastResort, Unavailable };

// One life of a searcher. Used on one loop.
class TrackedSearcher
{
public:
    // distance: time of the way to it and back. reluctance: expected latency that is accepted
    // elsewhere before it is used, for the price of the way.
    TrackedSearcher(const SearcherRegistration &registration, Millis distance, Millis now,
                    Millis reluctance = Millis());

    // Takes a later word of the registry about the same life. Work may go there until
    // lastResortUntil if no other searcher is left, or without limit while it is ready.
    void update(const SearcherRegistration &registration, Millis lastUse);

    Availability availability(Millis now) const;

    // Records an attempt that was sent, and the latency typical of its route.
    void onSent(const AttemptId &attempt, Millis typical, Millis now);

    // Records the end of an attempt.
    void onEnd(const AttemptId &attempt, const Outcome &outcome, Millis now);

    // Takes the searcher's word about its load.
    void onLoad(const LoadReport &report, Millis now);

    // Returns the latency that an attempt sent now would have, on a route of a typical latency,
    // with the reluctance.
    Millis cost(Millis typical, Millis now) const;

    // True while some attempt is open for much longer than usual.
    bool isStalled(Millis now) const;

    // True while failures keep work away, or one attempt is on its way to find out.
    bool isBackedOff(Millis now) const;

    std::size_t openAttempts() const { return this->pendingAttempts.size(); }
    const SearcherRegistration &registration() const { return this->entry; }

    // Returns a short name of the searcher, the same on every host.
    std::uint32_t key() const { return this->idHash; }
    double currentSlowness(Millis now) const;

    void setMaxConnections(std::uint32_t limit) { this->connectionLimit = limit; }
    std::uint32_t maxConnections() const { return this->connectionLimit; }

private:
    struct OpenAttempt
    {
        AttemptId id;
        Millis sentAt;
        Millis typicalLatency;
    };

    void recordFailure(Millis now);
    void recordLatency(const OpenAttempt &attempt, Millis latency, bool isFloor, Millis now);

    SearcherRegistration entry;
    std::uint32_t idHash;
    Millis roundTrip;
    Millis zonePenalty;
    Millis lastResortUntil = Millis::never();
    Millis warmUntil;
    std::uint32_t connectionLimit = 1;
    // Another searcher answered at the address.
    bool replaced = false;
    std::vector<OpenAttempt> pendingAttempts;
    // Latency relative to what is typical of the route; one is usual.
    double slowness = 1;
    Millis slownessAt;
    // Share of recent attempts that the searcher refused, decayed.
    double refusalRate = 0;
    Millis refusalRateAt;
    int consecutiveFailures = 0;
    Millis backOffUntil;
    LoadReport load;
    Millis loadReceivedAt = Millis(-1e9);
};

} // namespace quetzal
