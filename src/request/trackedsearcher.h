// What this host has observed of one registered searcher, and the cost estimate based on it.
#pragma once

#include "connection/httpcodec.h"
#include "quetzal/millis.h"
#include "quetzal/verdict.h"
#include "request/attempt.h"
#include "request/loadestimate.h"
#include "request/rateshare.h"
#include "version/searcherdirectory.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace quetzal {

// Whether new work may be sent to a searcher. LastResort: only if no other searcher is usable.
enum class Availability { Usable, LastResort, Unavailable };

// One incarnation of a searcher. Used by one event loop; not thread-safe.
class TrackedSearcher
{
public:
    // roundTrip: network round-trip time to the searcher. zonePenalty: added to its cost, so that
    // traffic to another availability zone is only paid for if it saves at least this latency.
    TrackedSearcher(const SearcherRegistration &registration, Millis roundTrip, Millis now,
                    Millis zonePenalty = Millis());

    // Applies a newer registration of the same incarnation. While the searcher is not ready, work
    // may be sent to it until lastResortUntil as a last resort.
    void update(const SearcherRegistration &registration, Millis lastResortUntil, Millis now);

    // Sets whether the operators want nothing to be sent to the searcher.
    void setEvacuated(bool isEvacuated) { this->evacuated = isEvacuated; }
    bool isEvacuated() const { return this->evacuated; }

    // Sets the requests a second that the searcher accepts from all hosts while it is cold; 0 for
    // no limit.
    void setWarmupRate(double rate) { this->warmupRate = rate; }

    // Applies or ends the limit of a cold searcher; to be called periodically.
    void refreshWarmupLimit(Millis now);
    bool isCold(Millis now) const { return now < this->warmUntil; }

    // Returns the time up to which work that waits for a connection may be sent to the searcher.
    Millis sendableUntil() const
    {
        if (this->evacuated)
            return Millis(-1e9);
        return this->currentRegistration.state == SearcherState::Ready ? Millis::never()
                                                                       : this->lastResortUntil;
    }

    // Returns whether new work may be sent to the searcher.
    Availability availability(Millis now) const;

    // Records that an attempt was sent. typicalLatency: mean latency of its route.
    void onSent(const AttemptId &attempt, Millis typicalLatency, Millis now);

    // Records the end of an attempt.
    void onEnd(const AttemptId &attempt, const Outcome &outcome, Millis now);

    // Records the searcher's report of its load.
    void onLoad(const LoadReport &report, Millis now);

    // Records what the searcher states about itself. Returns true if that differs from before, or
    // if a pause begins.
    bool onStatement(const SearcherStatement &statement, Millis now);

    // Returns true if the searcher has stated that it is leaving.
    bool isKnownToLeave() const { return this->statedLeaving; }

    // Stops sending work to the searcher until a time, because it is shutting down.
    void setLeaving(Millis until) { this->leavingUntil = until; }

    // Forgets the pause that the searcher asked for, after a pause of this process.
    void clearPause() { this->pauseEnd = Millis(-1e9); }

    // Returns from when on the searcher is expected to be available: now or when a pause ends.
    // Never if it is leaving.
    Millis availableAt(Millis now) const;

    // Returns this host's share of the request rate that the searcher accepts.
    RateShare &rateShare() { return this->sharedRate; }
    const RateShare &rateShare() const { return this->sharedRate; }

    // Returns the expected latency of an attempt sent now, plus the zone penalty and penalties for
    // recent refusals and a stall. typicalLatency: mean latency of the route.
    Millis cost(Millis typicalLatency, Millis now) const;

    // Returns true while an attempt has been open for much longer than is typical, which suggests
    // that the searcher is paused.
    bool isStalled(Millis now) const;

    // Returns true while the searcher is backed off after failures, or one attempt probes whether
    // it has recovered.
    bool isBackedOff(Millis now) const;

    std::size_t openAttempts() const { return this->pendingAttempts.size(); }
    const SearcherRegistration &registration() const { return this->currentRegistration; }

    // Returns a 32-bit hash of the searcher's id, which is the same on every host.
    std::uint32_t key() const { return this->idHash; }
    // Returns the searcher's latency relative to the typical one, decayed towards 1.
    double currentSlowness(Millis now) const;

    // Sets the maximum number of connections to the searcher; attempts beyond it cost more.
    void setMaxConnections(std::uint32_t limit) { this->connectionLimit = limit; }
    std::uint32_t maxConnections() const { return this->connectionLimit; }

private:
    struct OpenAttempt
    {
        AttemptId id;
        Millis sentAt;
        Millis typicalLatency;
        // Expected latency on account of the queue at that time, relative to the usual queue's.
        double queueShare = 1;
    };

    // Returns the expected service time, which leaves out the queue.
    Millis serviceTime(Millis typicalLatency, Millis now) const;
    // Returns the expected number of requests that an attempt sent now finds on the searcher.
    double requestsAhead(Millis service, Millis now) const;
    // Returns the expected latency of an attempt sent now, without the round trip, in service
    // times.
    double queueFactor(Millis service, Millis now) const;
    void recordFailure(Millis now);
    // Updates the slowness. isLowerBound: the attempt was cancelled, so the latency is a lower
    // bound.
    void recordLatency(const OpenAttempt &attempt, Millis latency, bool isLowerBound, Millis now);

    SearcherRegistration currentRegistration;
    std::uint32_t idHash;
    Millis roundTrip;
    Millis zonePenalty;
    Millis lastResortUntil = Millis::never();
    Millis warmUntil;
    std::uint32_t connectionLimit = 1;
    // Another searcher has answered at this searcher's address.
    bool replaced = false;
    bool evacuated = false;
    double warmupRate = 0;
    // True while warmupRate is part of the shared limit.
    bool limitsWarmup = false;
    Millis leavingUntil = Millis(-1e9);
    Millis pauseEnd = Millis(-1e9);
    std::vector<OpenAttempt> pendingAttempts;
    // Latency relative to the typical one of the route.
    double slowness = 1;
    Millis slownessAt;
    // Exponentially weighted share of attempts that the searcher refused.
    double refusalRate = 0;
    Millis refusalRateAt;
    int consecutiveFailures = 0;
    Millis backOffUntil;
    // What the searcher has stated about itself.
    std::optional<double> statedLimit;
    bool statedLeaving = false;
    RateShare sharedRate;
    LoadEstimate load;
    // Exponentially weighted mean of the queue factor of attempts.
    double usualQueueFactor = 1;
};

} // namespace quetzal
