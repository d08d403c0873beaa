#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/forwarding/GatewaySettings.h"

#include <chrono>

namespace lacewingmux {

/** The times of the steps of a Gateway's planned stop. Each fits into the time that the stop has,
    however short that is. */
class StopSchedule
{
public:
    using SteadyTime = TimerService::SteadyTime;

    StopSchedule(SteadyTime begun, const GatewaySettings &settings);

    /** Returns when the VM ceases to accept connections and closes idle ones. */
    [[nodiscard]] SteadyTime listeningEnd() const noexcept
    {
        return this->begin + this->listeningTime;
    }

    /** Returns when a call must have ended at the latest to be accepted during the stop. */
    [[nodiscard]] SteadyTime latestCallEnd() const noexcept
    {
        return this->begin + this->acceptedCallTime;
    }

    /** Returns the time in which the last responses are transmitted after all calls have ended. */
    [[nodiscard]] std::chrono::milliseconds finalResponseTime() const noexcept
    {
        return this->transmissionTime;
    }

    /** Returns the time since the stop has begun. */
    [[nodiscard]] std::chrono::milliseconds elapsed(SteadyTime now) const;

private:
    SteadyTime begin;
    std::chrono::milliseconds acceptedCallTime;
    std::chrono::milliseconds listeningTime;
    std::chrono::milliseconds transmissionTime;
};

} // namespace lacewingmux
