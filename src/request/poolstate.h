// State of one pool on one event loop of an entry host, kept between queries.
#pragma once

#include "request/admission.h"
#include "request/latencyquantile.h"
#include "request/replicachooser.h"
#include "request/tokenbudget.h"
#include "version/indexversionregistry.h"

#include <cstdint>

namespace quetzal {

// Enables the parts of the query policy; the policy bench disables them one by one.
struct PolicyOptions
{
    ChooserOptions chooser;
    bool useHedging = true;
    bool useRetryBudget = true;
    bool useAdmission = true;
    // Hedges and retries allowed per first attempt.
    double hedgeRatio = 0.05;
    double retryRatio = 0.06;
};

// State shared by the queries of one pool on one event loop.
struct PoolState
{
    PoolState(std::uint64_t seed, const PolicyOptions &options)
        : options(options)
        , chooser(seed, options.chooser)
        , hedgeBudget(*TokenBudget::make(options.hedgeRatio, hedgeBurst))
        , retryBudget(*TokenBudget::make(options.retryRatio, retryBurst))
        , latencies(latencyHalfLife)
        , admission(options.useAdmission)
    {}

    // Capacity of the budgets in tokens.
    static constexpr int hedgeBurst = 20;
    static constexpr int retryBurst = 20;
    static constexpr Millis latencyHalfLife = Millis(1500);

    PolicyOptions options;
    IndexVersionRegistry versions;
    ReplicaChooser chooser;
    TokenBudget hedgeBudget;
    TokenBudget retryBudget;
    LatencyQuantile latencies;
    Admission admission;
    // Exponentially weighted share of attempts that were refused for lack of capacity.
    double refusedShare = 0;
};

} // namespace quetzal
