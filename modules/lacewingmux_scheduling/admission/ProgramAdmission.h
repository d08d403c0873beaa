#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_scheduling/admission/ProgramAdmissionRequest.h"
#include "lacewingmux_scheduling/admission/ProgramAdmissionSettings.h"
#include "lacewingmux_scheduling/admission/ProgramDecision.h"
#include "lacewingmux_scheduling/admission/ServiceLoad.h"

#include <QByteArray>

#include <chrono>
#include <optional>
#include <vector>

namespace lacewingmux {

/**
    Rejects a program's first turn immediately if, according to the load reports of the service's
    replicas, even the best one would start it so late that the program cannot finish within twice
    its target.

    It is certain before it rejects: while a report is missing or old, or a replica has a free slot,
    every program is admitted.

    A rejected caller may return once the expected wait has become short enough for it. It keeps a
    place until shortly after that time, unless the time lies beyond its useful wait. Callers that
    were rejected earlier and return about now count as waiting before a newcomer of the same or a
    lower priority; they add at most the wait that the reports predict, because most of them return
    to other VMs. Each is judged by the time that it had left when it first came. Reads no clock:
    the current time is a parameter.
*/
class ProgramAdmission
{
public:
    using SteadyTime = TimerService::SteadyTime;

    explicit ProgramAdmission(const ProgramAdmissionSettings &admissionSettings = {});

    /** Decides whether the program may start. One that is admitted is taken to start now; one that
        is rejected keeps a place. */
    [[nodiscard]] ProgramDecision decide(const ProgramAdmissionRequest &request,
                                         const ServiceLoad &load, SteadyTime now);

private:
    /** The place that a rejected caller keeps. */
    struct Place
    {
        QByteArray program;
        int level = 0;
        SteadyTime rejectedAt;                  ///< for the first time
        std::chrono::milliseconds allowance{0}; ///< longest useful wait when it first came
        SteadyTime returnAt;
    };

    [[nodiscard]] ProgramDecision evaluate(const ProgramAdmissionRequest &request,
                                           const ServiceLoad &load, SteadyTime now) const;
    /** Sets when the caller that was rejected may return, and whether it keeps a place. The return
        times of rejected callers are spread in the order of their claims. The excess is how much
        the reported wait exceeds the allowance; negative for a caller behind earlier ones. */
    void setReturn(ProgramDecision &decision, const ProgramAdmissionRequest &request,
                   std::chrono::milliseconds excess, std::chrono::milliseconds allowance) const;
    /** Returns the wait that callers rejected earlier add to the one that the reports predict. */
    [[nodiscard]] std::chrono::milliseconds waitBehindPlaces(const ProgramAdmissionRequest &request,
                                                             std::chrono::milliseconds reported,
                                                             SteadyTime now) const;
    /** Returns the time in which that many programs start at the observed rate. */
    [[nodiscard]] std::chrono::milliseconds startTime(int programs) const;
    /** Records that a program starts. */
    void recordStart(SteadyTime now);
    /** Returns the time until the best replica starts a new program; nothing if a report is
        missing or too old. */
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    shortestWait(const ServiceLoad &load, std::chrono::milliseconds turnTime) const;
    /** Returns the milliseconds until the replica starts a new program. */
    [[nodiscard]] double queueWait(const ReportedLoad &report,
                                   std::chrono::milliseconds turnTime) const;
    /** Returns whether the time left tells the program's target. It does not if it is less than the
        target of the first turn alone: then the program was delayed elsewhere before. */
    [[nodiscard]] bool isTargetKnown(const ProgramAdmissionRequest &request) const;
    /** Returns the longest wait after which the program finishes within twice its target. */
    [[nodiscard]] std::chrono::milliseconds
    longestUsefulWait(const ProgramAdmissionRequest &request) const;
    [[nodiscard]] const Place *find(const QByteArray &program) const;
    /** Returns the number of rejected callers that may return by the time and whose claim precedes
        the program's. */
    [[nodiscard]] int placesBefore(const ProgramAdmissionRequest &request,
                                   SteadyTime latestReturn) const;
    void erasePlace(const QByteArray &program);
    void keepPlace(const ProgramAdmissionRequest &request, SteadyTime returnAt, SteadyTime now);
    void removeExpiredPlaces(SteadyTime now);

    ProgramAdmissionSettings settings;
    std::vector<Place> places; ///< in the order of their first rejection
    std::optional<SteadyTime> lastStart;
    double startIntervalMilliseconds = 0; ///< between programs that start on this VM
};

} // namespace lacewingmux
