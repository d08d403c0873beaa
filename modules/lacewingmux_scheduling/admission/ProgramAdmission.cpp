#include "lacewingmux_scheduling/admission/ProgramAdmission.h"

#include <algorithm>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr double intervalWeight = 0.2; // of a new interval between starts in the average
// Bounds of the interval between starts on one VM.
constexpr double minimumStartInterval = 5.0;
constexpr double maximumStartInterval = 2000.0;

} // namespace

ProgramAdmission::ProgramAdmission(const ProgramAdmissionSettings &admissionSettings)
    : settings(admissionSettings)
{ }

ProgramDecision ProgramAdmission::decide(const ProgramAdmissionRequest &request,
                                         const ServiceLoad &load, SteadyTime now)
{
    this->removeExpiredPlaces(now);
    const ProgramDecision decision = this->evaluate(request, load, now);
    if (decision.keepsPlace) {
        this->keepPlace(request, now + decision.retryAfter, now);
        return decision;
    }
    this->erasePlace(request.program);
    if (!decision.rejection)
        this->recordStart(now);
    return decision;
}

ProgramDecision ProgramAdmission::evaluate(const ProgramAdmissionRequest &request,
                                           const ServiceLoad &load, SteadyTime now) const
{
    ProgramDecision decision;
    if (const Place *place = this->find(request.program))
        decision.waited = std::chrono::floor<milliseconds>(now - place->rejectedAt);
    if (!load.reportsPace || !request.turnTime || !this->isTargetKnown(request))
        return decision;
    const std::optional<milliseconds> wait = this->shortestWait(load, *request.turnTime);
    decision.expectedWait = wait;
    if (!wait || wait->count() == 0)
        return decision;
    for (const ReportedLoad &report : load.reports)
        decision.oldestReport = std::max(decision.oldestReport, report.age);
    *decision.expectedWait += this->waitBehindPlaces(request, *wait, now);
    const milliseconds allowance = this->longestUsefulWait(request);
    if (*decision.expectedWait <= allowance)
        return decision;
    decision.rejection =
            *wait > allowance ? ProgramRejection::StartsTooLate : ProgramRejection::BehindEarlier;
    this->setReturn(decision, request, *wait - allowance, allowance);
    return decision;
}

void ProgramAdmission::setReturn(ProgramDecision &decision, const ProgramAdmissionRequest &request,
                                 milliseconds excess, milliseconds allowance) const
{
    const milliseconds shortest = this->settings.minimumRetryDelay;
    const milliseconds remaining = allowance - decision.waited;
    const int earlier = this->placesBefore(request, SteadyTime::max());
    const milliseconds untilShortEnough = std::max(shortest, excess + this->startTime(earlier));
    decision.keepsPlace = untilShortEnough <= remaining;
    decision.retryAfter = std::min(untilShortEnough, std::max(shortest, remaining));
}

milliseconds ProgramAdmission::waitBehindPlaces(const ProgramAdmissionRequest &request,
                                                milliseconds reported, SteadyTime now) const
{
    const int earlier = this->placesBefore(request, now + this->settings.returnWindow);
    return std::min(this->startTime(earlier), reported);
}

milliseconds ProgramAdmission::startTime(int programs) const
{
    return milliseconds(static_cast<std::int64_t>(programs * this->startIntervalMilliseconds));
}

void ProgramAdmission::recordStart(SteadyTime now)
{
    if (this->lastStart) {
        const double interval = std::clamp(
                std::chrono::duration<double, std::milli>(now - *this->lastStart).count(),
                minimumStartInterval, maximumStartInterval);
        this->startIntervalMilliseconds +=
                intervalWeight * (interval - this->startIntervalMilliseconds);
    }
    this->lastStart = now;
}

std::optional<milliseconds> ProgramAdmission::shortestWait(const ServiceLoad &load,
                                                           milliseconds turnTime) const
{
    if (load.unreportedReplicas > 0 || load.reports.empty())
        return std::nullopt;
    std::optional<double> shortest;
    for (const ReportedLoad &report : load.reports) {
        if (report.age > this->settings.maximumReportAge)
            return std::nullopt;
        const double wait = this->queueWait(report, turnTime);
        shortest = shortest ? std::min(*shortest, wait) : wait;
    }
    return milliseconds(static_cast<std::int64_t>(*shortest));
}

double ProgramAdmission::queueWait(const ReportedLoad &report, milliseconds turnTime) const
{
    if (report.running < report.slots)
        return 0;
    const double turnsBefore = (report.waiting + 1.0) * this->settings.overtakingRatio;
    return turnsBefore * static_cast<double>(turnTime.count()) / std::max(1, report.slots);
}

bool ProgramAdmission::isTargetKnown(const ProgramAdmissionRequest &request) const
{
    if (!request.timeLeft)
        return false;
    if (this->find(request.program) != nullptr)
        return true;
    return static_cast<double>(request.timeLeft->count())
           >= this->settings.targetRatio * static_cast<double>(request.turnTime->count());
}

milliseconds ProgramAdmission::longestUsefulWait(const ProgramAdmissionRequest &request) const
{
    if (const Place *place = this->find(request.program))
        return place->allowance;
    const auto target = static_cast<double>(request.timeLeft->count());
    return milliseconds(static_cast<std::int64_t>(
            target * (this->settings.uselessRatio - 1.0 / this->settings.targetRatio)));
}

const ProgramAdmission::Place *ProgramAdmission::find(const QByteArray &program) const
{
    const auto found =
            std::find_if(this->places.begin(), this->places.end(),
                         [&program](const Place &place) { return place.program == program; });
    return found == this->places.end() ? nullptr : &*found;
}

int ProgramAdmission::placesBefore(const ProgramAdmissionRequest &request,
                                   SteadyTime latestReturn) const
{
    const Place *own = this->find(request.program);
    return static_cast<int>(
            std::count_if(this->places.begin(), this->places.end(), [&](const Place &place) {
                if (&place == own || place.level > request.level || place.returnAt > latestReturn)
                    return false;
                return own == nullptr || place.level < request.level || &place < own;
            }));
}

void ProgramAdmission::keepPlace(const ProgramAdmissionRequest &request, SteadyTime returnAt,
                                 SteadyTime now)
{
    const auto own =
            std::find_if(this->places.begin(), this->places.end(), [&request](const Place &place) {
                return place.program == request.program;
            });
    if (own != this->places.end())
        own->returnAt = returnAt;
    else if (this->places.size() < this->settings.maximumPlaces)
        this->places.push_back(
                {request.program, request.level, now, this->longestUsefulWait(request), returnAt});
}

void ProgramAdmission::removeExpiredPlaces(SteadyTime now)
{
    std::erase_if(this->places, [this, now](const Place &place) {
        return now > place.returnAt + this->settings.returnWindow;
    });
}

void ProgramAdmission::erasePlace(const QByteArray &program)
{
    std::erase_if(this->places,
                  [&program](const Place &place) { return place.program == program; });
}

} // namespace lacewingmux
