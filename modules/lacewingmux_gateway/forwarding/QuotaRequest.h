#pragma once

#include "lacewingmux_gateway/routing/GatewayTeam.h"

namespace lacewingmux {

/** A request that asks to be admitted under its team's quota. */
struct QuotaRequest
{
    GatewayTeam team;
    /** Part of the team's burst that has to be left over for requests that are worth more: those
        of programs under way go before new programs, and among these the more urgent ones. */
    double reserve = 0;
};

/** Returns the part of the burst that a request has to leave over. */
[[nodiscard]] double quotaReserve(bool startsProgram, int priority);

} // namespace lacewingmux
