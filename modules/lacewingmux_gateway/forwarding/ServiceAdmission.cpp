#include "lacewingmux_gateway/forwarding/ServiceAdmission.h"

#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_gateway/replicas/Placement.h"

#include <utility>

namespace lacewingmux {

namespace {

// All replicas of the service are looked at once in this time, rather than for each request.
constexpr std::chrono::milliseconds paceCheckInterval{1000};

} // namespace

ServiceAdmission::ServiceAdmission(const Placement &replicaPlacement,
                                   MetricsRecorder &metricsRecorder, FeatureSet enabledFeatures)
    : placement(replicaPlacement)
    , metrics(metricsRecorder)
    , features(std::move(enabledFeatures))
{ }

ProgramDecision ServiceAdmission::decide(const QByteArray &service, ProgramAdmissionRequest request,
                                         SteadyTime now)
{
    if (!this->features.has(Feature::ProgramAdmission) || !this->placement.hasReportedPace(service))
        return {};
    const ServiceLoad load = this->placement.loadSummary(service, now);
    if (!load.reportsPace)
        return {};
    Service &known = this->services[service];
    request.turnTime = known.durations.mean();
    const ProgramDecision decision = known.admission.decide(request, load, now);
    if (decision.expectedWait)
        this->metrics.observe("lacewingmux_program_expected_wait_seconds", {},
                              *decision.expectedWait);
    if (decision.rejection)
        this->metrics.count(
                "lacewingmux_program_rejections_total",
                {{QStringLiteral("reason"), QLatin1String(describe(*decision.rejection))}}, 1);
    return decision;
}

std::optional<int> ServiceAdmission::priority(const QByteArray &service,
                                              TurnPriorityRequest request,
                                              std::int64_t maximumTokens, SteadyTime now)
{
    if (!this->features.has(Feature::ReplicaPriorities) || !this->reportsPace(service, now))
        return std::nullopt;
    Service &known = this->services[service];
    if (request.isStream)
        request.expectedTime =
                known.durations.expected(maximumTokens).value_or(std::chrono::milliseconds(0));
    const int priority = TurnPriority::of(request);
    this->metrics.count("lacewingmux_request_priorities_total",
                        {{QStringLiteral("priority"), QString::number(priority)}}, 1);
    return priority;
}

bool ServiceAdmission::reportsPace(const QByteArray &service, SteadyTime now)
{
    if (!this->placement.hasReportedPace(service))
        return false;
    Service &known = this->services[service];
    if (now < known.paceKnownUntil)
        return true;
    if (!this->placement.loadSummary(service, now).reportsPace)
        return false;
    known.paceKnownUntil = now + paceCheckInterval;
    return true;
}

void ServiceAdmission::recordTurn(const QByteArray &service,
                                  std::chrono::milliseconds untilFirstEvent,
                                  std::chrono::milliseconds writing, std::int64_t maximumTokens)
{
    this->services[service].durations.record(untilFirstEvent, writing, maximumTokens);
}

const char *describe(ProgramRejection reason) noexcept
{
    switch (reason) {
    case ProgramRejection::StartsTooLate:
        return "startsTooLate";
    case ProgramRejection::BehindEarlier:
        return "behindEarlier";
    }
    return "unknown";
}

} // namespace lacewingmux
