#pragma once

#include "lacewingmux_allowance/admission/PowerReservation.h"

#include <functional>
#include <optional>

namespace lacewingmux {

/** Reserves power for a sequence before it starts, under the zone's part of the site's cap. */
class PowerBudget
{
public:
    PowerBudget() = default;
    virtual ~PowerBudget() = default;
    PowerBudget(const PowerBudget &) = delete;
    PowerBudget &operator=(const PowerBudget &) = delete;

    /** Calls back with a reservation, or nothing when the cap is reached. May call back at once. */
    virtual void reserve(double watts,
                         std::function<void(std::optional<PowerReservation>)> callback) = 0;
};

} // namespace lacewingmux
