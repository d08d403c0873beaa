#pragma once

#include "lacewingmux_allowance/admission/PowerReservation.h"

#include <functional>
#include <optional>

namespace lacewingmux {

/** Reserves power for a sequence before it starts, within the zone's share of the site's cap. */
class PowerBudget
{
public:
    PowerBudget() = default;
    virtual ~PowerBudget() = default;
    PowerBudget(const PowerBudget &) = delete;
    PowerBudget &operator=(const PowerBudget &) = delete;

    /**
        Calls back with a reservation, or with nothing when none could be made, as when the cap is
        reached. The callback may run synchronously.
    */
    virtual void reserve(double watts,
                         std::function<void(std::optional<PowerReservation>)> callback) = 0;
};

} // namespace lacewingmux
