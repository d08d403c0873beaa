#include "lacewingmux_gateway/forwarding/QuotaRequest.h"

#include "lacewingmux_gateway/replicas/ReplicaInstance.h"

#include <algorithm>

namespace lacewingmux {

namespace {

// Fraction of the burst that only running programs may use: for a small team, about the calls of
// one program for every two that are running.
constexpr double newProgramReserve = 0.25;
constexpr double reservePerPriorityLevel = 0.12; // added for each level below the most urgent
constexpr int lowestPriority = 4;

// A replica whose limit is lower still gets some requests, as only their responses tell when the
// limit ends.
constexpr double minimumReplicaRate = 0.2; // requests per second
// Requests that a replica may get at once, beside those of a quarter of a second.
constexpr double minimumReplicaBurst = 1.0;
constexpr double replicaBurstSeconds = 0.25;

} // namespace

double quotaReserve(bool startsProgram, int priority)
{
    if (!startsProgram)
        return 0;
    return newProgramReserve + reservePerPriorityLevel * std::clamp(priority, 0, lowestPriority);
}

QuotaRequest replicaQuotaRequest(const ReplicaInstance &replica, double requestsPerSecond)
{
    QuotaRequest request;
    // A team's name contains no control character.
    request.team.name =
            "replica\n" + replica.id + '\n' + QByteArray::number(qint64{replica.startMilliseconds});
    request.team.requestsPerSecond = std::max(minimumReplicaRate, requestsPerSecond);
    request.team.burst = minimumReplicaBurst + requestsPerSecond * replicaBurstSeconds;
    return request;
}

} // namespace lacewingmux
