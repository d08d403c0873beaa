#include "lacewingmux_gateway/forwarding/ForwardedCall.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_gateway/forwarding/ServiceAdmission.h"

#include <algorithm>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

// The prompt part that programs share and the turn's own part; the prompt of a later turn has more.
constexpr std::size_t maximumFirstTurnPromptParts = 2;
// A stream with fewer events tells nothing about how long writing takes.
constexpr std::int64_t minimumEventsOfDuration = 2;

} // namespace

bool ForwardedCall::admitProgram()
{
    // A later turn without a description of its prompt could be taken for a first one.
    if (!this->startsProgram() || this->description.promptParts.empty()
        || this->description.resumesStream() || !this->description.programTimeLeft)
        return true;
    ProgramAdmissionRequest admissionRequest;
    admissionRequest.program = this->description.program;
    admissionRequest.timeLeft = this->description.programTimeLeft;
    admissionRequest.level = this->level();
    const ProgramDecision decision =
            this->context.admission.decide(this->service, admissionRequest, this->now());
    this->programWait = decision.waited;
    if (!decision.rejection)
        return true;
    const auto expectedWait = decision.expectedWait.value_or(milliseconds(0));
    LogEvent(LogSeverity::Info, "programRejected")
            .field("request", this->description.requestId)
            .field("program", this->description.program)
            .field("team", this->team.name)
            .field("service", this->service)
            .field("reason", describe(*decision.rejection))
            .field("expectedWaitMs", static_cast<qint64>(expectedWait.count()))
            .field("oldestReportMs", static_cast<qint64>(decision.oldestReport.count()))
            .field("programTimeLeftMs",
                   static_cast<qint64>(this->description.programTimeLeft->count()))
            .field("retryAfterMs", static_cast<qint64>(decision.retryAfter.count()));
    this->refuse(ErrorKind::Overloaded, "the program could not finish within twice its target",
                 decision.retryAfter);
    return false;
}

bool ForwardedCall::admitIfStoredWhole()
{
    // A stream that this VM itself resumes at another replica is whole. Of one that the caller
    // resumes, the first events went to another request, maybe through another VM.
    if (!this->isTurn() || !this->route.resumable || !this->description.resumesStream())
        return true;
    this->refuse(ErrorKind::OwnerUnavailable, "the first events of the turn are not known",
                 milliseconds(0));
    return false;
}

std::optional<int> ForwardedCall::replicaPriority() const
{
    const milliseconds passed = std::chrono::floor<milliseconds>(this->now() - this->arrived);
    const bool hasEvents = !this->delivered.lastId().isEmpty();
    TurnPriorityRequest priorityRequest;
    priorityRequest.isStream = this->route.kind == RouteKind::Stream;
    priorityRequest.inProgram = !this->description.program.isEmpty();
    priorityRequest.startsProgram =
            this->startsProgram() && !this->description.resumesStream() && !hasEvents;
    priorityRequest.level = this->level();
    if (this->description.programTimeLeft)
        priorityRequest.programTimeLeft = *this->description.programTimeLeft - passed;
    priorityRequest.waited = this->programWait + passed;
    return this->context.admission.priority(this->service, priorityRequest,
                                            this->description.maximumOutputTokens, this->now());
}

void ForwardedCall::recordTurnDuration()
{
    if (this->possibleRuns != 1 || this->delivered.count() < minimumEventsOfDuration)
        return;
    const auto firstEvent = this->arrived + this->timeToFirstEvent;
    this->context.admission.recordTurn(
            this->service,
            std::max(milliseconds(0),
                     std::chrono::floor<milliseconds>(firstEvent - this->attempt.sentAt)),
            std::chrono::floor<milliseconds>(this->now() - firstEvent),
            this->description.maximumOutputTokens);
}

bool ForwardedCall::startsProgram() const
{
    return this->route.kind == RouteKind::Stream && !this->description.program.isEmpty()
           && this->description.previousTurn.isEmpty()
           && this->description.promptParts.size() <= maximumFirstTurnPromptParts;
}

int ForwardedCall::level() const
{
    return this->team.priority.value_or(this->route.priority);
}

} // namespace lacewingmux
