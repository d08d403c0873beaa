#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace lacewingmux {

/** The deadline of a call: the earlier of the caller's and the route's timeout. */
class CallDeadline
{
public:
    using SteadyTime = TimerService::SteadyTime;

    CallDeadline() = default;
    CallDeadline(SteadyTime arrival, std::optional<std::chrono::milliseconds> callerTimeout,
                 std::chrono::milliseconds routeTimeout)
        : callerDeadline(callerTimeout ? std::optional(arrival + *callerTimeout) : std::nullopt)
        , responseDeadline(arrival + routeTimeout)
    {
        if (this->callerDeadline)
            this->responseDeadline = std::min(this->responseDeadline, *this->callerDeadline);
    }

    /** Returns when the final response is due. */
    [[nodiscard]] SteadyTime responseDue() const noexcept
    {
        return this->responseDeadline;
    }

    /** Returns the time until the response is due; never negative. */
    [[nodiscard]] std::chrono::milliseconds remaining(SteadyTime now) const
    {
        return std::max(std::chrono::milliseconds(0),
                        std::chrono::ceil<std::chrono::milliseconds>(this->responseDeadline - now));
    }

    /** Returns the remaining time to send to a replica; at least 1 ms. */
    [[nodiscard]] std::chrono::milliseconds remainingForReplica(SteadyTime now) const
    {
        return std::max(std::chrono::milliseconds(1), this->remaining(now));
    }

private:
    std::optional<SteadyTime> callerDeadline;
    SteadyTime responseDeadline;
};

} // namespace lacewingmux
