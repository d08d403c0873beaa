#include "lacewingmux_scheduling/admission/ProgramAdmission.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

const TimerService::SteadyTime start{1000s};

/** Returns reports of two replicas with 8 slots, all of them busy. */
ServiceLoad loadWith(int waiting)
{
    ServiceLoad load;
    load.reportsPace = true;
    load.reports = {{8, waiting, 8, 100ms}, {8, waiting + 4, 8, 300ms}};
    return load;
}

/** Returns the request of a program that is three turns of 400 ms long on idle replicas; it may
    start 2,400 ms late. */
ProgramAdmissionRequest programWith(const QByteArray &name, int level = 1)
{
    ProgramAdmissionRequest request;
    request.program = name;
    request.timeLeft = 1800ms;
    request.turnTime = 400ms;
    request.level = level;
    return request;
}

} // namespace

Test(ProgramAdmission, rejectsAProgramThatStartsTooLate)
{
    ProgramAdmission admission;
    const ProgramDecision admitted = admission.decide(programWith("early"), loadWith(20), start);
    cr_assert_not(admitted.rejection.has_value());
    cr_assert_eq(admitted.expectedWait->count(), 2100);
    const ProgramDecision rejected = admission.decide(programWith("late"), loadWith(24), start);
    cr_assert(rejected.rejection == ProgramRejection::StartsTooLate);
    cr_assert_eq(rejected.expectedWait->count(), 2500);
    cr_assert_eq(rejected.oldestReport.count(), 300);
    cr_assert_eq(rejected.retryAfter.count(), 100, "when a wait of 2,400 ms is expected");
}

// A caller that is sent beyond its useful wait returns for nothing, and its place would delay
// newcomers for nothing.
Test(ProgramAdmission, sendsNoCallerBeyondItsUsefulWait)
{
    ProgramAdmission admission;
    for (int number = 0; number < 50; ++number) {
        const ProgramDecision rejected = admission.decide(
                programWith("late" + QByteArray::number(number)), loadWith(100), start);
        cr_assert(rejected.rejection == ProgramRejection::StartsTooLate);
        cr_assert_eq(rejected.retryAfter.count(), 2400);
        cr_assert_not(rejected.keepsPlace);
    }
    const ProgramDecision first = admission.decide(programWith("p"), loadWith(40), start);
    cr_assert_eq(first.retryAfter.count(), 1700);
    cr_assert(first.keepsPlace);
    const ProgramDecision second =
            admission.decide(programWith("p"), loadWith(40), start + first.retryAfter);
    cr_assert_eq(second.retryAfter.count(), 700, "of 2,400 ms it has waited 1,700");
    cr_assert_not(second.keepsPlace);
}

// A rejection while a slot is free is capacity that nobody uses.
Test(ProgramAdmission, admitsWhileAnyReplicaHasAFreeSlot)
{
    ProgramAdmission admission;
    ServiceLoad load = loadWith(100);
    cr_assert(admission.decide(programWith("1"), load, start).rejection.has_value());
    load.reports[1].running = 7;
    const ProgramDecision decision = admission.decide(programWith("2"), load, start);
    cr_assert_not(decision.rejection.has_value(), "also when others were rejected before");
    cr_assert_eq(decision.expectedWait->count(), 0);
}

// Without these reports a replica may be idle.
Test(ProgramAdmission, admitsWhileAReportIsMissingOrOld)
{
    ProgramAdmission admission;
    ServiceLoad missing = loadWith(100);
    missing.unreportedReplicas = 1;
    cr_assert_not(admission.decide(programWith("1"), missing, start).rejection.has_value());
    ServiceLoad old = loadWith(100);
    old.reports[1].age = 2001ms;
    cr_assert_not(admission.decide(programWith("2"), old, start).rejection.has_value());
    ServiceLoad none = loadWith(100);
    none.reports.clear();
    cr_assert_not(admission.decide(programWith("3"), none, start).rejection.has_value());
}

Test(ProgramAdmission, admitsWhereReplicasReportNoPaceOrTheTimesAreNotKnown)
{
    ProgramAdmission admission;
    ServiceLoad withoutPace = loadWith(100);
    withoutPace.reportsPace = false;
    cr_assert_not(admission.decide(programWith("1"), withoutPace, start).rejection.has_value());
    ProgramAdmissionRequest withoutTarget = programWith("2");
    withoutTarget.timeLeft.reset();
    cr_assert_not(admission.decide(withoutTarget, loadWith(100), start).rejection.has_value());
    ProgramAdmissionRequest withoutTurnTime = programWith("3");
    withoutTurnTime.turnTime.reset();
    cr_assert_not(admission.decide(withoutTurnTime, loadWith(100), start).rejection.has_value());
}

// The time left of a program that was delayed elsewhere is not its target: twice the target may
// be far off.
Test(ProgramAdmission, admitsAProgramWhoseTargetItCannotTell)
{
    ProgramAdmission admission;
    for (const auto timeLeft : {-500ms, 0ms, 599ms}) {
        ProgramAdmissionRequest request = programWith("late");
        request.timeLeft = timeLeft;
        cr_assert_not(admission.decide(request, loadWith(100), start).rejection.has_value());
    }
}

namespace {

/** Returns an admission that has admitted a program every 200 ms until the start. */
ProgramAdmission admissionWithStarts()
{
    ProgramAdmission admission;
    for (int number = 50; number >= 0; --number)
        (void)admission.decide(programWith("before" + QByteArray::number(number)), loadWith(0),
                               start - number * 200ms);
    return admission;
}

} // namespace

// Rejected callers that all return at the same moment are a burst of their own.
Test(ProgramAdmission, spreadsTheReturnOfRejectedCallersByTheOrderOfTheirRejection)
{
    ProgramAdmission admission = admissionWithStarts();
    auto previous = 0ms;
    for (int number = 0; number < 10; ++number) {
        const ProgramDecision decision = admission.decide(
                programWith("late" + QByteArray::number(number)), loadWith(24), start);
        cr_assert(decision.rejection.has_value());
        if (number > 0) {
            cr_assert_geq((decision.retryAfter - previous).count(), 150);
            cr_assert_leq((decision.retryAfter - previous).count(), 250);
        }
        previous = decision.retryAfter;
    }
}

Test(ProgramAdmission, letsNoNewcomerOfEqualClaimOvertakeARejectedCaller)
{
    ProgramAdmission admission = admissionWithStarts();
    const ServiceLoad load = loadWith(24);
    const ProgramDecision first = admission.decide(programWith("first"), load, start);
    cr_assert(first.rejection.has_value());
    // The queue has become shorter, so that one program could start in time.
    const ServiceLoad shorter = loadWith(22);
    const auto later = start + 300ms;
    const ProgramDecision newcomer = admission.decide(programWith("newcomer"), shorter, later);
    cr_assert(newcomer.rejection == ProgramRejection::BehindEarlier);
    cr_assert(later + newcomer.retryAfter > start + first.retryAfter,
              "the newcomer returns after the caller that was rejected before");
    cr_assert_not(admission.decide(programWith("urgent", 0), shorter, later).rejection.has_value(),
                  "a more urgent team does not wait for the others");
    const ProgramDecision returned =
            admission.decide(programWith("first"), shorter, start + first.retryAfter);
    cr_assert_not(returned.rejection.has_value());
    cr_assert_eq(returned.waited.count(), first.retryAfter.count());
}

// Most rejected callers return to another VM. If the places that they leave here add up, each
// newcomer is rejected and adds another place, although the queue has become short.
Test(ProgramAdmission, addsAtMostTheReportedWaitForRejectedCallers)
{
    ProgramAdmission admission = admissionWithStarts();
    for (int number = 0; number < 100; ++number)
        (void)admission.decide(programWith("gone" + QByteArray::number(number)), loadWith(24),
                               start);
    const ProgramDecision newcomer =
            admission.decide(programWith("newcomer"), loadWith(10), start + 300ms);
    cr_assert_not(newcomer.rejection.has_value(), "1,100 ms are expected, and 2,400 ms useful");
    cr_assert_leq(newcomer.expectedWait->count(), 2200);
}

// A caller that returns much later meets another queue than a newcomer does now.
Test(ProgramAdmission, countsOnlyCallersThatReturnAboutNow)
{
    ProgramAdmission admission = admissionWithStarts();
    const ProgramDecision first = admission.decide(programWith("first"), loadWith(40), start);
    cr_assert_eq(first.retryAfter.count(), 1700);
    const auto expectedAt = [&](const char *name, std::chrono::milliseconds time) {
        return admission.decide(programWith(name), loadWith(10), start + time)
                .expectedWait->count();
    };
    cr_assert_eq(expectedAt("1", 1100ms), 1100);
    cr_assert_gt(expectedAt("2", 1300ms), 1100);
    cr_assert_gt(expectedAt("3", 2100ms), 1100);
    cr_assert_eq(expectedAt("4", 2300ms), 1100, "it has not returned");
}

// The time left of a caller that returns after Retry-After has become less meanwhile.
Test(ProgramAdmission, judgesACallerThatReturnsByTheTimeThatItHadFirst)
{
    ProgramAdmission admission;
    const ProgramDecision first = admission.decide(programWith("p"), loadWith(24), start);
    cr_assert(first.rejection.has_value());
    ProgramAdmissionRequest returning = programWith("p");
    returning.timeLeft = *returning.timeLeft - first.retryAfter;
    cr_assert_not(admission.decide(returning, loadWith(20), start + first.retryAfter)
                          .rejection.has_value());
}

// Callers that never return would keep newcomers out for ever.
Test(ProgramAdmission, forgetsACallerThatDoesNotReturn)
{
    ProgramAdmission admission = admissionWithStarts();
    auto lastReturn = 0ms;
    for (int number = 0; number < 5; ++number)
        lastReturn = admission
                             .decide(programWith("gone" + QByteArray::number(number)), loadWith(24),
                                     start)
                             .retryAfter;
    cr_assert(
            admission.decide(programWith("1"), loadWith(20), start + 100ms).rejection.has_value());
    cr_assert_not(admission.decide(programWith("2"), loadWith(20), start + lastReturn + 4s)
                          .rejection.has_value());
}

Test(ProgramAdmission, memoryIsBounded)
{
    ProgramAdmissionSettings settings;
    settings.maximumPlaces = 10;
    ProgramAdmission admission(settings);
    auto last = 0ms;
    for (int number = 0; number < 1000; ++number)
        last = admission.decide(programWith("p" + QByteArray::number(number)), loadWith(24), start)
                       .retryAfter;
    cr_assert_leq(last.count(), 2400);
}
