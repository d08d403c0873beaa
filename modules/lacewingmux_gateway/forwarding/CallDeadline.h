#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace lacewingmux {

/** Until when a call has to be answered: what the caller waits for and what the route allows. */
class CallDeadline
{
public:
    using SteadyTime = TimerService::SteadyTime;

    CallDeadline() = default;
    CallDeadline(SteadyTime arrival, std::optional<std::chrono::milliseconds> callerWaits,
                 std::chrono::milliseconds routeTimeout)
        : callerEnd(callerWaits ? std::optional(arrival + *callerWaits) : std::nullopt)
        , answerEnd(arrival + routeTimeout)
    {
        if (this->callerEnd)
            this->answerEnd = std::min(this->answerEnd, *this->callerEnd);
    }

    /** Returns when the final answer is due. */
    [[nodiscard]] SteadyTime answerBy() const noexcept
    {
        return this->answerEnd;
    }

    /** Returns what is left until the answer is due; not below zero. */
    [[nodiscard]] std::chrono::milliseconds left(SteadyTime now) const
    {
        return std::max(std::chrono::milliseconds(0),
                        std::chrono::ceil<std::chrono::milliseconds>(this->answerEnd - now));
    }

    /** Returns what a replica is told of the time left. */
    [[nodiscard]] std::chrono::milliseconds leftForReplica(SteadyTime now) const
    {
        return std::max(std::chrono::milliseconds(1), this->left(now));
    }

private:
    std::optional<SteadyTime> callerEnd;
    SteadyTime answerEnd;
};

} // namespace lacewingmux
