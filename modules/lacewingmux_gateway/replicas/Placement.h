#pragma once

#include "lacewingmux_gateway/calls/ReplicaResponseInfo.h"
#include "lacewingmux_gateway/replicas/ColdReplicas.h"
#include "lacewingmux_gateway/replicas/EvacuatedZones.h"
#include "lacewingmux_gateway/replicas/LeavingReplicas.h"
#include "lacewingmux_gateway/replicas/PlacementRequest.h"
#include "lacewingmux_gateway/replicas/PlacementSettings.h"
#include "lacewingmux_gateway/replicas/PromptCacheIndex.h"
#include "lacewingmux_gateway/replicas/PromptPopularity.h"
#include "lacewingmux_gateway/replicas/ReplicaInstance.h"
#include "lacewingmux_gateway/replicas/ReplicaLimits.h"
#include "lacewingmux_scheduling/admission/ServiceLoad.h"
#include "lacewingmux_scheduling/replicas/ReplicaPace.h"

#include <QByteArray>
#include <QHash>

#include <chrono>
#include <optional>
#include <set>
#include <vector>

namespace lacewingmux {

/**
    Selects the replica with the lowest estimated latency for a call. The estimate covers the prompt
    tokens that the replica has not cached, its speed and queue, the distance to its zone, and its
    recent failures. VMs do not coordinate: they learn about each other's calls from the replicas'
    load reports. By rendezvous hashing they agree on the replicas that share a prompt part, the
   more the larger its fraction of the turns, and each VM prefers different ones among them.

    Designed for many programs that share a few prompts, for bursts, for slow, crashed and
    overloaded replicas, and for plain services with few slots, where a queue at the wrong replica
    makes the call fail. Reads no clock: the current time is a parameter.
*/
class Placement
{
public:
    using SteadyTime = TimerService::SteadyTime;

    Placement(QByteArray zoneOfThisVm, const PlacementSettings &placementSettings);

    /** Sets the registered replicas. New ones start without recorded state. */
    void setReplicas(const std::vector<ReplicaInstance> &instances);

    /** Sets the zones whose replicas get no calls, at the operators' request. */
    void setEvacuatedZones(std::set<QByteArray> zones, SteadyTime now);

    /** Returns the zones whose replicas get no calls. */
    [[nodiscard]] const EvacuatedZones &evacuatedZones() const noexcept
    {
        return this->evacuations;
    }

    /** Returns whether the service has replicas, all of them in evacuated zones. */
    [[nodiscard]] bool isEvacuated(const QByteArray &service) const;

    /** Returns the instance for the call, or nothing when no replica is eligible. A replica that is
        leaving is eligible only within the drain limit, and only if no other replica is; one that
        is at its limit only if the request says so. */
    [[nodiscard]] std::optional<QByteArray> choose(const PlacementRequest &request) const;

    /** Records that a turn with this prompt arrived. */
    void recordTurn(const std::vector<PromptPart> &parts, SteadyTime now);

    /** Records that a call was sent. An unreachable replica is retried by one call at a time. */
    void callStarted(const QByteArray &instance, SteadyTime now);

    /** Records that a call ended, with any outcome. */
    void callEnded(const QByteArray &instance);

    /** Returns whether calls of this VM to the replica have started and not ended. */
    [[nodiscard]] bool hasOwnCalls(const QByteArray &instance) const;

    /** Records the duration of a response as a multiple of the average for its kind. */
    void recordSlowdown(const QByteArray &instance, double ratio, SteadyTime now);

    /** Records the load that a replica reported in a response to a request for the incarnation
        with this start time (Unix time in milliseconds). What belongs to the pace is not recorded
        for another incarnation. */
    void recordLoad(const QByteArray &instance, std::int64_t startMilliseconds,
                    const ReplicaLoadReport &load, SteadyTime now);

    /** Records how long the replica, in the incarnation with this start time (Unix time in
        milliseconds), took for an amount of work (tokens, events or calls). */
    void recordWork(const QByteArray &instance, std::int64_t startMilliseconds, ReplicaWork work,
                    double amount, ReplicaPace::Milliseconds duration, SteadyTime now);

    /** Returns the learned duration of work on a replica that reports its pace, as a multiple of
        the service's median; nothing for other replicas. */
    [[nodiscard]] std::optional<double> learnedDuration(const QByteArray &instance,
                                                        ReplicaWork work, SteadyTime now) const;

    /** Returns the number of replicas with a learned duration of any work. */
    [[nodiscard]] std::size_t learnedReplicas() const;

    /** Returns how many of the prompt's tokens the replica probably has to read. */
    [[nodiscard]] double uncachedTokens(const QByteArray &instance,
                                        const std::vector<PromptPart> &parts) const;

    /** Records that the replica refused a call without running it. */
    void recordRejection(const QByteArray &instance, SteadyTime now);

    /** Records that the replica closed the connection or sent an invalid response. */
    void recordFailure(const QByteArray &instance, SteadyTime now);

    /** Records that the replica responded. */
    void recordReachable(const QByteArray &instance);

    /** Records that connecting to the replica failed. */
    void recordUnreachable(const QByteArray &instance, SteadyTime now);

    /** Records that the replica is reachable through tunnels only, or directly. */
    void recordReachablePath(const QByteArray &instance, bool throughTunnel);

    /** Records that another instance responded at the replica's address: it gets no more calls. */
    void markReplaced(const QByteArray &instance);

    /** Records that the replica, in the incarnation with this start time (Unix time in
        milliseconds), announced that it is leaving; returns whether this is its first
        announcement. */
    bool recordLeaving(const QByteArray &instance, std::int64_t startMilliseconds, SteadyTime now);

    /** Returns whether the registered instance has announced that it is leaving. */
    [[nodiscard]] bool isLeaving(const ReplicaInstance &instance) const;

    /** Records the limit in requests per second that a response of the replica, in the incarnation
        with this start time (Unix time in milliseconds), names, if any; returns whether it has
        changed. */
    bool recordLimit(const QByteArray &instance, std::int64_t startMilliseconds,
                     std::optional<double> requestsPerSecond, SteadyTime now);

    /** Returns the limit in requests per second that the registered instance has named, if any. */
    [[nodiscard]] std::optional<double> limit(const ReplicaInstance &instance) const;

    /** Returns what is known about cold replicas. */
    [[nodiscard]] ColdReplicas &coldReplicas() noexcept
    {
        return this->cold;
    }

    /** Records that the replica is at its limit until a time; it gets no calls until then, except
        those that may wait for it. */
    void recordLimitReached(const ReplicaInstance &instance, SteadyTime now, SteadyTime until);

    /** Returns whether calls to the service may wait for a replica that is at its limit. */
    [[nodiscard]] bool hasReachedLimits(const QByteArray &service, SteadyTime now) const;

    /** Returns whether any registered replica of the service has reported a pace since its start.
        Takes constant time, unlike loadSummary(). */
    [[nodiscard]] bool hasReportedPace(const QByteArray &service) const;

    /** Returns the last load reports of the service's replicas that can take calls. */
    [[nodiscard]] ServiceLoad loadSummary(const QByteArray &service, SteadyTime now) const;

    /** Records that the replica has processed the prompt. */
    void recordPrompt(const QByteArray &instance, const std::vector<PromptPart> &parts);

private:
    struct Replica
    {
        ReplicaInstance instance;
        std::uint64_t hash = 0;       ///< of its id
        int ownCalls = 0;             ///< active calls of this VM
        double otherCalls = 0;        ///< calls of other VMs, from the replica's last report
        SteadyTime otherCallsUpdated; ///< time of that report
        double usualOtherCalls = 0;   ///< their mean over the last seconds
        SteadyTime usualOtherCallsUpdated;
        double slowdown = 1.0; ///< response time as a multiple of the average
        SteadyTime slowdownUpdated;
        double failures = 0;
        double rejections = 0;
        SteadyTime errorsUpdated;
        SteadyTime unreachableUntil;
        int consecutiveUnreachable = 0;
        bool tunnelled = false; ///< reachable through tunnels only
        bool replaced = false;
        std::optional<ReplicaLoadReport> lastReport;
        SteadyTime lastReported; ///< time of that report
    };

    [[nodiscard]] Replica *find(const QByteArray &instance);
    [[nodiscard]] bool isAtLimit(const QByteArray &instance, SteadyTime now) const;
    [[nodiscard]] bool isAllowed(const Replica &replica, const PlacementRequest &request) const;
    /** Returns the eligible instance with the lowest cost, among those that are leaving or among
        the others. */
    [[nodiscard]] std::optional<QByteArray> cheapest(const std::vector<QByteArray> &candidates,
                                                     const PlacementRequest &request,
                                                     bool leaving) const;
    [[nodiscard]] double cost(const Replica &replica, const PlacementRequest &request) const;
    [[nodiscard]] double engineCost(const Replica &replica, const PlacementRequest &request) const;
    [[nodiscard]] double callCost(const Replica &replica, const PlacementRequest &request) const;
    /** Returns the durations of work on the service's replicas if this one reports its pace;
        otherwise null. */
    [[nodiscard]] const ReplicaPace *paceOf(const Replica &replica) const;
    /** Returns the durations of work on the service's replicas if any of them reports its pace;
        otherwise null. The costs of one service's replicas are compared, so all of them follow from
        the same formula: a replica without a report is taken for a usual one. */
    [[nodiscard]] const ReplicaPace *paceOfService(const Replica &replica) const;
    [[nodiscard]] double pacedEngineCost(const Replica &replica, const PlacementRequest &request,
                                         const ReplicaPace &pace) const;
    [[nodiscard]] double pacedCallCost(const Replica &replica, const PlacementRequest &request,
                                       const ReplicaPace &pace) const;
    /** Returns the expected wait, in milliseconds, for a slot of a replica with the load, where
        each turn takes the duration in milliseconds. */
    [[nodiscard]] static double expectedTurnWait(const Replica &replica, double load,
                                                 double turnDuration);
    /** Returns the estimated load of a replica whose service reports its pace. Without a recent
       report the replica's usual load is assumed, and after some seconds the service's mean. */
    [[nodiscard]] double pacedLoad(const Replica &replica, SteadyTime now) const;
    /** Records the calls of other VMs at a replica whose service reports its pace. */
    void recordOtherCalls(Replica &replica, int otherCalls, SteadyTime now);
    void forgetPace(const Replica &replica);
    [[nodiscard]] double usualOtherCalls(const Replica &replica, SteadyTime now) const;
    [[nodiscard]] double loadEstimate(const Replica &replica, SteadyTime now) const;
    [[nodiscard]] double slowdownEstimate(const Replica &replica, SteadyTime now) const;
    /** Returns how many of the prompt's tokens the replica probably has to read. */
    [[nodiscard]] double uncachedTokens(const Replica &replica,
                                        const std::vector<PromptPart> &parts) const;
    /** Returns whether the replica is one of those that share the prompt's first part. */
    [[nodiscard]] bool isSharer(const Replica &replica, const std::vector<PromptPart> &parts) const;
    /** Returns how many of the part's tokens a sharer probably has in its cache. */
    [[nodiscard]] double assumedCachedTokens(const PromptPart &part) const;
    [[nodiscard]] std::size_t replicaCountOf(const QByteArray &service) const;
    /** Returns a number from 0 to 1 that depends on the replica and the subject only. */
    [[nodiscard]] static double rendezvousRank(const Replica &replica, std::uint64_t subjectHash);
    void decayErrors(Replica &replica, SteadyTime now) const;

    QByteArray ownZone;
    PlacementSettings settings;
    QHash<QByteArray, Replica> replicas;
    QHash<QByteArray, std::vector<QByteArray>> byService; ///< instances that accept new calls
    PromptCacheIndex promptCaches;
    PromptPopularity popularity;
    LeavingReplicas leavingReplicas;
    ReplicaLimits limits;
    EvacuatedZones evacuations;
    QHash<QByteArray, ReplicaPace> paces;     ///< by service, if any replica reports it
    QHash<QByteArray, double> meanOtherCalls; ///< of the last reports, by service
    ColdReplicas cold;
};

} // namespace lacewingmux
