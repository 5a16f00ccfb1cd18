// This host's share of a rate that a searcher sets for all hosts together.
#pragma once

#include "quetzal/ids.h"
#include "quetzal/millis.h"

#include <map>
#include <optional>

namespace quetzal {

// What a host tells the others about a searcher whose rate it shares.
struct RateReport
{
    // Requests a second that the searcher accepts from all hosts together; empty if it no longer
    // limits them.
    std::optional<double> limit;
    // How long ago the searcher stated this in a reply.
    Millis age;
    // Requests a second for which this host could use the searcher.
    double demand = 0;
};

// Divides the request rate of a searcher among the hosts that send to it.
//
// Every host that knows the limit reports its demand to the others, and takes the part of the limit
// that its demand has in the sum of all recent reports. A host that has just learned of the limit
// takes the part that its capacity has in the fleet's, until the others have had time to report.
// Hosts with little demand do not report; they divide a small additional part by capacity. The part
// is enforced by a token bucket that holds little, since all hosts may spend theirs at the same
// time. Reads no clock.
class RateShare
{
public:
    // Sets the part of the limit that this host takes while it does not know the demand of others.
    void setDefaultPart(double part) { this->defaultPart = part; }

    // Sets whether this host takes that part in any case, so that the sum over all hosts stays
    // within the limit even if they do not hear each other.
    void setDividedByCapacity(bool isDivided) { this->dividedByCapacity = isDivided; }

    // Sets the tokens that the bucket starts with, from 0 up to 1. They should differ between
    // hosts, or hosts with equal parts would all save up a whole token at the same time.
    void setInitialTokens(double tokens) { this->initialTokens = tokens; }

    // Sets or clears the limit, as the searcher states it in a reply.
    void onStatement(std::optional<double> newLimit, Millis now);

    // Handles the report of another host, from which this host may learn of the limit or its end.
    void onReport(HostId host, const RateReport &report, Millis now);

    // Counts a request for which the searcher could be used, whether or not it was.
    void onDemand(Millis now);

    // Returns true if the next request would exceed this host's part.
    bool isExhausted(Millis now) const;

    // Counts a request that is sent to the searcher.
    void onSent(Millis now);

    // Returns the report to send to the other hosts, if it is time for one.
    std::optional<RateReport> takeReport(Millis now);

    // Calls a function with each host that has reported recently.
    template <typename Function>
    void forEachReporter(Millis now, Function function) const
    {
        for (const auto &[host, report] : this->peers) {
            if (now - report.at <= reportLifetime)
                function(host);
        }
    }

    // Returns the limit, or nothing if there is none or it has not been stated for some time.
    std::optional<double> limit(Millis now) const;

private:
    // Time for which the report of a host counts.
    static constexpr Millis reportLifetime = Millis(1500);

    struct PeerReport
    {
        double demand = 0;
        Millis at;
    };

    // Takes over what the searcher stated at a time, unless a later statement is known.
    void learn(std::optional<double> newLimit, Millis statedAt, Millis now);
    // Returns the requests a second for which the searcher could have been used recently.
    double demand(Millis now) const;
    // Returns the requests a second that this host may send.
    double rate(Millis now) const;
    // Returns the tokens at a time: the requests that may be sent at once.
    double tokensAt(Millis now) const;

    double defaultPart = 1;
    bool dividedByCapacity = false;
    double initialTokens = 0;
    std::optional<double> currentLimit;
    // When the limit became known, and when the searcher last stated a limit or none.
    Millis knownSince;
    Millis statedAt = Millis(-1e9);
    std::map<HostId, PeerReport> peers;
    double tokens = 0;
    Millis tokensUpdatedAt;
    // Requests, with weights that decay over time.
    double demandCount = 0;
    Millis demandCountedAt;
    Millis reportedAt = Millis(-1e9);
    // True until the end of the limit has been reported for some time.
    bool reportsEnd = false;
};

} // namespace quetzal
