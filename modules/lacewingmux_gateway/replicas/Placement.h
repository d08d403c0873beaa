#pragma once

#include "lacewingmux_gateway/calls/ReplicaResponseInfo.h"
#include "lacewingmux_gateway/replicas/PlacementRequest.h"
#include "lacewingmux_gateway/replicas/PlacementSettings.h"
#include "lacewingmux_gateway/replicas/PromptMemory.h"
#include "lacewingmux_gateway/replicas/ReplicaInstance.h"

#include <QByteArray>
#include <QHash>

#include <chrono>
#include <optional>
#include <vector>

namespace lacewingmux {

/**
    Decides which replica gets a call, by the time that the caller is expected to wait for it: the
    prompt tokens that the replica has to read, its pace, its queue, the way to it, and what went
    wrong there lately. The VMs don't talk about it: what they send to a replica they learn from
    its own reports, and where a prompt is new to all they agree by rendezvous hashing.

    Load that it answers: many programs over a few shared prompts, with bursts, slow, crashed and
    overfull replicas, and plain services with few slots, where a queue at the wrong replica costs
    the call. Pure: it reads no clock.
*/
class Placement
{
public:
    using SteadyTime = TimerService::SteadyTime;

    Placement(QByteArray zoneOfThisVm, const PlacementSettings &placementSettings);

    /** Takes the replicas that exist now. Those that are new start without a history. */
    void setReplicas(const std::vector<ReplicaInstance> &instances);

    /** Returns the instance for the call, or nothing when no replica may get it. */
    [[nodiscard]] std::optional<QByteArray> choose(const PlacementRequest &request) const;

    /** Notes that a call was sent. One call alone tries a replica that could not be reached. */
    void started(const QByteArray &instance, SteadyTime now);

    /** Notes that a call ended, however it did. */
    void ended(const QByteArray &instance);

    /** Notes how long a whole answer took against what its kind takes on average. */
    void notePace(const QByteArray &instance, double ratio, SteadyTime now);

    /** Notes what a replica told of its load. */
    void noteLoad(const QByteArray &instance, const ReplicaLoadReport &load, SteadyTime now);

    /** Notes that the replica refused a call without running it. */
    void noteRejection(const QByteArray &instance, SteadyTime now);

    /** Notes that the replica broke off, or answered with something that is no answer. */
    void noteFailure(const QByteArray &instance, SteadyTime now);

    /** Notes that the replica answered. */
    void noteReached(const QByteArray &instance);

    /** Notes that no connection to the replica came about. */
    void noteUnreachable(const QByteArray &instance, SteadyTime now);

    /** Notes that the replica turned out to be another one: it gets no calls any more. */
    void noteReplaced(const QByteArray &instance);

    /** Notes that the replica has read the prompt. */
    void notePrompt(const QByteArray &instance, const std::vector<PromptPart> &parts);

private:
    struct Replica
    {
        ReplicaInstance instance;
        int own = 0;            ///< calls of this VM under way
        double others = 0;      ///< calls of other VMs, by the replica's last report
        SteadyTime othersKnown; ///< when it was told
        double pace = 1.0;      ///< time that it takes, as a multiple of the usual
        SteadyTime paceKnown;
        double failures = 0;
        double rejections = 0;
        SteadyTime troubleKnown;
        SteadyTime unreachableUntil;
        int unreachableInRow = 0;
        bool replaced = false;
    };

    [[nodiscard]] Replica *find(const QByteArray &instance);
    [[nodiscard]] bool isAllowed(const Replica &replica, const PlacementRequest &request) const;
    [[nodiscard]] double cost(const Replica &replica, const PlacementRequest &request) const;
    [[nodiscard]] double engineCost(const Replica &replica, const PlacementRequest &request) const;
    [[nodiscard]] double callCost(const Replica &replica, const PlacementRequest &request) const;
    [[nodiscard]] double loadEstimate(const Replica &replica, SteadyTime now) const;
    [[nodiscard]] double paceEstimate(const Replica &replica, SteadyTime now) const;
    [[nodiscard]] double agreement(const Replica &replica, const QByteArray &subject) const;
    void decayTrouble(Replica &replica, SteadyTime now) const;

    QByteArray ownZone;
    PlacementSettings settings;
    QHash<QByteArray, Replica> replicas;
    QHash<QByteArray, std::vector<QByteArray>> byService; ///< instances that take new calls
    PromptMemory prompts;
};

} // namespace lacewingmux
