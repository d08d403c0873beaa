#include "lacewingmux_allowance/aggregates/DecayingRate.h"

#include <algorithm>
#include <cmath>

namespace lacewingmux {

DecayingRate::DecayingRate(std::chrono::milliseconds decayTime)
    : decaySeconds(std::chrono::duration<double>(decayTime).count())
{ }

void DecayingRate::add(double events, Time now)
{
    this->rate = this->perSecond(now) + events / this->decaySeconds;
    this->updatedAt = std::max(this->updatedAt, now);
}

double DecayingRate::perSecond(Time now) const
{
    const double seconds = std::chrono::duration<double>(now - this->updatedAt).count();
    return seconds <= 0 ? this->rate : this->rate * std::exp(-seconds / this->decaySeconds);
}

} // namespace lacewingmux
