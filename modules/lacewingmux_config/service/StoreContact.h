#pragma once

#include "lacewingmux_config/documents/Allowance.h"
#include "lacewingmux_core/time/TimerService.h"

#include <atomic>
#include <chrono>
#include <optional>

namespace lacewingmux {

/**
    When this VM was last sure of having every withdrawal of a key. Written by the control thread,
    read by the traffic threads.
*/
class StoreContact
{
public:
    /** Notes the moment; an earlier one than is known changes nothing. Control thread only. */
    void note(TimerService::SteadyTime asOf) noexcept
    {
        const auto ticks = asOf.time_since_epoch().count();
        if (ticks > this->lastTicks.load(std::memory_order_relaxed))
            this->lastTicks.store(ticks, std::memory_order_relaxed);
    }

    /** Returns the time since then, or nothing when there was no contact yet. */
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    age(TimerService::SteadyTime now) const noexcept
    {
        const auto ticks = this->lastTicks.load(std::memory_order_relaxed);
        if (ticks == 0)
            return std::nullopt;
        const TimerService::SteadyTime last{TimerService::SteadyTime::duration(ticks)};
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - last);
    }

    /**
        Tells whether a key of this plan may still be accepted: always when the plan sets no bound,
        otherwise while the age is within it.
    */
    [[nodiscard]] bool permits(const Allowance &allowance,
                               TimerService::SteadyTime now) const noexcept
    {
        if (allowance.serveWithoutStore.count() == 0)
            return true;
        const std::optional<std::chrono::milliseconds> known = this->age(now);
        return known && *known <= allowance.serveWithoutStore;
    }

private:
    std::atomic<TimerService::SteadyTime::rep> lastTicks{0};
};

} // namespace lacewingmux
