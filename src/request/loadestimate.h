// Estimates a searcher's load from the reports in its replies.
#pragma once

#include "connection/httpcodec.h"
#include "quetzal/millis.h"

namespace quetzal {

// What a host knows of the load of one searcher. Addresses herding: many hosts that choose at the
// same time by reports that are older than the work that they describe, so that searchers are
// overloaded in turns while others idle.
//
// A report is the better, the less of the work that it counts has ended since. Its weight therefore
// halves within a fraction of the searcher's service time, and the mean of its reports takes its
// place. Without clock and random numbers of its own.
class LoadEstimate
{
public:
    // Records a report. Its slowness is one that has been checked for plausibility.
    void onReport(const LoadReport &report, Millis now);

    // Returns true if the searcher has ever reported its load.
    bool hasReport() const { return this->reports > 0; }

    // Returns when the last report was received.
    Millis reportedAt() const { return this->lastAt; }

    // Returns the expected number of requests that run or wait on the searcher, given its service
    // time at present. Work that was sent after the last report is not included.
    double requests(Millis service, Millis now) const;

    // Returns how long work takes on the searcher's machine relative to the usual time, according
    // to the last report while it is recent, decayed towards 1.
    double slowness(Millis now) const;

private:
    unsigned reports = 0;
    Millis lastAt = Millis(-1e9);
    double lastRequests = 0;
    double lastSlowness = 1;
    // Mean of the recent reports' requests.
    double typicalRequests = 0;
};

} // namespace quetzal
