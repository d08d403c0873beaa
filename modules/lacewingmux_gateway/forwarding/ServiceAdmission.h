#pragma once

#include "lacewingmux_core/settings/FeatureSet.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_scheduling/admission/ProgramAdmission.h"
#include "lacewingmux_scheduling/admission/TurnDurations.h"
#include "lacewingmux_scheduling/admission/TurnPriority.h"

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace lacewingmux {

class MetricsRecorder;
class Placement;

/**
    Admits programs and computes the priorities of requests at the replicas, for each service with
    what this VM has learned about it. Takes effect only for services whose replicas report a pace;
    other services admit every program and get no priorities.
*/
class ServiceAdmission
{
public:
    using SteadyTime = TimerService::SteadyTime;

    ServiceAdmission(const Placement &replicaPlacement, MetricsRecorder &metricsRecorder,
                     FeatureSet enabledFeatures = {});

    /** Decides whether a program may start. The turn time of the request is filled in here. */
    [[nodiscard]] ProgramDecision decide(const QByteArray &service, ProgramAdmissionRequest request,
                                         SteadyTime now);

    /** Returns the priority for a request that is now sent to a replica of the service, and may
        generate the tokens; nothing if the service's replicas report no pace. The expected time of
        the call is filled in here. */
    [[nodiscard]] std::optional<int> priority(const QByteArray &service,
                                              TurnPriorityRequest request,
                                              std::int64_t maximumTokens, SteadyTime now);

    /** Records a turn that ran without interruption; see TurnDurations. */
    void recordTurn(const QByteArray &service, std::chrono::milliseconds untilFirstEvent,
                    std::chrono::milliseconds writing, std::int64_t maximumTokens);

private:
    struct Service
    {
        ProgramAdmission admission;
        TurnDurations durations;
        SteadyTime paceKnownUntil; ///< until then the replicas are taken to report a pace
    };

    /** Returns whether the replicas of the service report a pace. */
    [[nodiscard]] bool reportsPace(const QByteArray &service, SteadyTime now);

    const Placement &placement;
    MetricsRecorder &metrics;
    FeatureSet features;
    std::map<QByteArray, Service> services;
};

/** Returns the name of the reason for metrics and log lines. */
[[nodiscard]] const char *describe(ProgramRejection reason) noexcept;

} // namespace lacewingmux
