#include "lacewingmux_keyvalue/client/CallBudget.h"

#include <algorithm>

namespace lacewingmux {

CallBudget::CallBudget(double callsPerSecond, double burstCalls, TimerService::SteadyTime now)
    : rate(callsPerSecond)
    , burst(std::max(burstCalls, 1.0))
    , tokens(burst)
    , updated(now)
{ }

bool CallBudget::tryTake(CallPriority priority, TimerService::SteadyTime now)
{
    this->tokens = this->available(now);
    this->updated = now;
    const double reserve = priority == CallPriority::Urgent ? 0 : this->burst * urgentReserve;
    if (this->tokens < 1 + reserve && this->tokens < this->burst)
        return false;
    this->tokens -= 1;
    return true;
}

double CallBudget::available(TimerService::SteadyTime now) const
{
    const std::chrono::duration<double> elapsed = now - this->updated;
    return std::min(this->burst, this->tokens + elapsed.count() * this->rate);
}

} // namespace lacewingmux
