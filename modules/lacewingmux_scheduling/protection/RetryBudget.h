#pragma once

#include "lacewingmux_core/time/TimerService.h"

namespace lacewingmux {

/** Parameters of RetryBudget. */
struct RetryBudgetSettings
{
    double retriesPerFirstAttempt = 0.1;
    double retriesPerSecond = 0.5; ///< granted even while there are few first attempts
    double maximumBurst = 20;      ///< maximum number of retries in one burst
};

/** Limits the retries of a pool to a fraction of its first attempts, so that the retries of a
    failing pool do not add to the load that makes it fail. */
class RetryBudget
{
public:
    using SteadyTime = TimerService::SteadyTime;

    explicit RetryBudget(const RetryBudgetSettings &budgetSettings = {});

    /** Records the first attempt of a call, which adds a fraction of a retry to the budget. */
    void recordFirstAttempt(SteadyTime now);

    /** Returns whether a retry is allowed, and if so deducts it from the budget. */
    [[nodiscard]] bool tryRetry(SteadyTime now);

private:
    void accrue(SteadyTime now);

    RetryBudgetSettings settings;
    double availableRetries;
    SteadyTime accruedAt;
    bool started = false;
};

} // namespace lacewingmux
