#include "lacewingmux_scheduling/protection/RetryBudget.h"

#include <algorithm>
#include <chrono>

namespace lacewingmux {

RetryBudget::RetryBudget(const RetryBudgetSettings &budgetSettings)
    : settings(budgetSettings)
    , availableRetries(budgetSettings.maximumBurst)
{ }

void RetryBudget::recordFirstAttempt(SteadyTime now)
{
    this->accrue(now);
    this->availableRetries =
            std::min(this->settings.maximumBurst,
                     this->availableRetries + this->settings.retriesPerFirstAttempt);
}

bool RetryBudget::tryRetry(SteadyTime now)
{
    this->accrue(now);
    if (this->availableRetries < 1)
        return false;
    this->availableRetries -= 1;
    return true;
}

void RetryBudget::accrue(SteadyTime now)
{
    if (this->started && now > this->accruedAt) {
        const std::chrono::duration<double> elapsed = now - this->accruedAt;
        this->availableRetries = std::min(
                this->settings.maximumBurst,
                this->availableRetries + elapsed.count() * this->settings.retriesPerSecond);
    }
    this->accruedAt = this->started ? std::max(now, this->accruedAt) : now;
    this->started = true;
}

} // namespace lacewingmux
