#pragma once

#include "lacewingmux_gateway/routing/GatewayTeam.h"

namespace lacewingmux {

struct ReplicaInstance;

/** A request for admission under a team's quota, or under the limit that a replica has named. */
struct QuotaRequest
{
    GatewayTeam team; ///< the holder of the rate and burst
    /** Fraction of the team's burst that must remain for more important requests: those of running
        programs precede new programs, and among these the more urgent ones. */
    double reserve = 0;
    bool mayWait = true; ///< false: admitted with a token that is available now, or refused
};

/** Returns the fraction of the burst that a request must leave unused. */
[[nodiscard]] double quotaReserve(bool startsProgram, int priority);

/** Returns a request for admission under the limit in requests per second that a replica has named.
    The limit belongs to one start of the replica and holds for all VMs together, as a team's rate
    does. */
[[nodiscard]] QuotaRequest replicaQuotaRequest(const ReplicaInstance &replica,
                                               double requestsPerSecond);

} // namespace lacewingmux
