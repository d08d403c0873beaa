#pragma once

#include "lacewingmux_core/time/TimerService.h"

namespace lacewingmux {

/** Parameters of RetryBudget. */
struct RetryBudgetSettings
{
    double retriesPerFreshCall = 0.1;
    double retriesPerSecond = 0.5; ///< allowed also while hardly any fresh work comes
    double maximumSaved = 20;      ///< retries that may come at once
};

/** Bounds the retries of a pool to a ratio of its fresh calls, so that retries of a failing pool
    don't add to the load that makes it fail. */
class RetryBudget
{
public:
    using SteadyTime = TimerService::SteadyTime;

    explicit RetryBudget(const RetryBudgetSettings &budgetSettings = {});

    /** Notes a fresh call, which earns part of a retry. */
    void recordFirstAttempt(SteadyTime now);

    /** Returns whether a retry may be made, and takes it from the budget. */
    [[nodiscard]] bool tryRetry(SteadyTime now);

private:
    void accrue(SteadyTime now);

    RetryBudgetSettings settings;
    double saved;
    SteadyTime accruedAt;
    bool started = false;
};

} // namespace lacewingmux
