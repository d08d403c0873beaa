#include "lacewingmux_scheduling/protection/RetryBudget.h"

#include <algorithm>
#include <chrono>

namespace lacewingmux {

RetryBudget::RetryBudget(const RetryBudgetSettings &budgetSettings)
    : settings(budgetSettings)
    , saved(budgetSettings.maximumSaved)
{ }

void RetryBudget::recordFirstAttempt(SteadyTime now)
{
    this->accrue(now);
    this->saved =
            std::min(this->settings.maximumSaved, this->saved + this->settings.retriesPerFreshCall);
}

bool RetryBudget::tryRetry(SteadyTime now)
{
    this->accrue(now);
    if (this->saved < 1)
        return false;
    this->saved -= 1;
    return true;
}

void RetryBudget::accrue(SteadyTime now)
{
    if (this->started && now > this->accruedAt) {
        const std::chrono::duration<double> elapsed = now - this->accruedAt;
        this->saved = std::min(this->settings.maximumSaved,
                               this->saved + elapsed.count() * this->settings.retriesPerSecond);
    }
    this->accruedAt = this->started ? std::max(now, this->accruedAt) : now;
    this->started = true;
}

} // namespace lacewingmux
