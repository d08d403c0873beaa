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

// A cold replica gets at most 1.5 times its rate and 5 requests in any second.
constexpr double coldBoundFactor = 1.5;
constexpr double coldBoundRequests = 5.0;
// Requests that a cold replica may get at once, beside those of a tenth of a second. With one alone
// a part of the rate would be lost between the requests of the entry VMs.
constexpr double coldBurst = 2.0;
constexpr double coldBurstSeconds = 0.1;
// A token is used up to 200 ms after it was granted: several round trips to a records VM, also from
// an entry VM that is slow.
constexpr std::chrono::milliseconds coldTokenLife{200};
// Time in which two records VMs may grant the same rate: a member that returns grants until its
// successor is informed of it, as reports of silence count for 600 ms.
constexpr std::chrono::duration<double> holderOverlap{0.6};
constexpr double coldReservedRequests = 1.0; // for requests that a link has delayed

// A trial that found no replica may be repeated; one that crashes its replica is the last one.
constexpr double crashTrialsPerSecond = 0.05;

/** Returns the largest rate of tokens that keeps the bound of a cold replica in any second, in
   which the tokens of the lifetime before are used too, and two records VMs may grant for a while.
 */
double coldTokenRate(double requestsPerSecond, double burst)
{
    constexpr std::chrono::duration<double> window{1.0};
    const double allowed = coldBoundFactor * requestsPerSecond + coldBoundRequests;
    const std::chrono::duration<double> grantTime = window + coldTokenLife + holderOverlap;
    return std::min(requestsPerSecond,
                    (allowed - burst - coldReservedRequests) / grantTime.count());
}

/** Returns the name of a bucket that belongs to one start of the replica. A team's name contains no
    control character. */
QByteArray bucketName(const QByteArray &kind, const ReplicaInstance &replica)
{
    return kind + '\n' + replica.id + '\n' + QByteArray::number(qint64{replica.startMilliseconds});
}

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
    request.team.name = bucketName("replica", replica);
    request.team.requestsPerSecond = std::max(minimumReplicaRate, requestsPerSecond);
    request.team.burst = minimumReplicaBurst + requestsPerSecond * replicaBurstSeconds;
    return request;
}

QuotaRequest crashTrialQuotaRequest(const QByteArray &contentDigest)
{
    QuotaRequest request;
    request.team.name = "crash trial\n" + contentDigest.toHex();
    request.team.requestsPerSecond = crashTrialsPerSecond;
    request.team.burst = 1.0;
    request.mayWait = false;
    request.refusedWithoutRecords = true;
    return request;
}

QuotaRequest coldReplicaQuotaRequest(const ReplicaInstance &replica, double coldRequestsPerSecond,
                                     std::optional<double> namedLimit)
{
    const double burst = coldBurst + coldRequestsPerSecond * coldBurstSeconds;
    const double rate = coldTokenRate(coldRequestsPerSecond, burst);
    QuotaRequest request = replicaQuotaRequest(replica, std::min(rate, namedLimit.value_or(rate)));
    // Each request sets the rate of its bucket, and entry VMs that do not know yet that the replica
    // is cold ask for tokens at the rate of the named limit.
    request.team.name = bucketName("cold", replica);
    request.team.burst = namedLimit ? std::min(burst, request.team.burst) : burst;
    request.tokenLife = coldTokenLife;
    request.refusedWithoutRecords = true;
    return request;
}

} // namespace lacewingmux
