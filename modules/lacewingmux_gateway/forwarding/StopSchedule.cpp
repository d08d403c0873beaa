#include "lacewingmux_gateway/forwarding/StopSchedule.h"

#include <algorithm>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

// A call that ends at its deadline is answered by a timer, which may fire late.
constexpr milliseconds maximumTimerDelay{100};
// Lets the last responses be transmitted before the process ends, and callers close first.
constexpr milliseconds maximumTransmissionTime{400};
// The process is killed after eight sevenths of the limit of the stop.
constexpr int shareDivisor = 16;

} // namespace

StopSchedule::StopSchedule(SteadyTime begun, const GatewaySettings &settings)
    : begin(begun)
    , acceptedCallTime(settings.stopLimit
                       - std::min(maximumTimerDelay, settings.stopLimit / shareDivisor))
    , listeningTime(std::min(settings.stopListeningAfter, settings.stopLimit / 2))
    , transmissionTime(std::min(maximumTransmissionTime, settings.stopLimit / shareDivisor))
{ }

milliseconds StopSchedule::elapsed(SteadyTime now) const
{
    return std::chrono::floor<milliseconds>(now - this->begin);
}

} // namespace lacewingmux
