#pragma once

#include "lacewingmux_gateway/routing/GatewayTeam.h"

#include <chrono>
#include <optional>

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
    /** Lifetime of the tokens where it is shorter than usual; such tokens are not given back, as
        their lifetime would start again. */
    std::optional<std::chrono::milliseconds> tokenLife = std::nullopt;
    /** Refused at once while no records VM answers, instead of waiting for one. */
    bool refusedWithoutRecords = false;
};

/** Returns the fraction of the burst that a request must leave unused. */
[[nodiscard]] double quotaReserve(bool startsProgram, int priority);

/** Returns a request for admission under the limit in requests per second that a replica has named.
    The limit belongs to one start of the replica and holds for all VMs together, as a team's rate
    does. */
[[nodiscard]] QuotaRequest replicaQuotaRequest(const ReplicaInstance &replica,
                                               double requestsPerSecond);

/** Returns a request for admission to a cold replica that takes a number of requests per second
    from all VMs together, and may also have named a limit. The tokens come at the lower of the two
    rates, from a bucket of their own. All VMs together send it at most 1.5 times that rate and 5
    requests in any second. */
[[nodiscard]] QuotaRequest coldReplicaQuotaRequest(const ReplicaInstance &replica,
                                                   double coldRequestsPerSecond,
                                                   std::optional<double> namedLimit);

/** Returns a request for the permission to run a request once that is refused because replicas
    crashed while they ran it. All VMs together get few such permissions. */
[[nodiscard]] QuotaRequest crashTrialQuotaRequest(const QByteArray &contentDigest);

} // namespace lacewingmux
