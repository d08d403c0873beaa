#pragma once

#include "lacewingmux_gateway/routing/GatewayTeam.h"

namespace lacewingmux {

/** A request for admission under a team's quota. */
struct QuotaRequest
{
    GatewayTeam team;
    /** Fraction of the team's burst that must remain for more important requests: those of running
        programs precede new programs, and among these the more urgent ones. */
    double reserve = 0;
};

/** Returns the fraction of the burst that a request must leave unused. */
[[nodiscard]] double quotaReserve(bool startsProgram, int priority);

} // namespace lacewingmux
