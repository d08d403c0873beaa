#include "zone/model/ModelZone.h"
#include "zone/model/ScheduleCount.h"

#include <criterion/criterion.h>

#include <cstdint>
#include <string>

using namespace lacewingmux;

namespace {

constexpr std::uint64_t schedules = 150;
constexpr int stepsPerSchedule = 5000;
constexpr int schedulesToFindAFault = 300;

struct Summary
{
    std::size_t effects = 0;
    int incomplete = 0;
};

Summary runAll(ModelRules rules)
{
    Summary summary;
    for (std::uint64_t seed = 1; seed <= scheduleCount(schedules); ++seed) {
        ModelZone zone(seed, rules, {});
        zone.run(stepsPerSchedule);
        zone.recoverAndConverge();
        const ModelChecks &result = zone.result();
        cr_assert(result.violations().empty(), "seed %llu: %s",
                  static_cast<unsigned long long>(seed), result.violations().front().c_str());
        summary.effects += result.effectCount();
        summary.incomplete += result.incompleteActivations();
    }
    cr_log_info("%zu effects, %d activations of incomplete slots", summary.effects,
                summary.incomplete);
    return summary;
}

/** Asserts that some schedule violates the expected invariant when the fault is injected. */
void findFault(const JournalFaults &faults, const std::string &expected)
{
    for (std::uint64_t seed = 1; seed <= schedulesToFindAFault; ++seed) {
        ModelZone zone(seed, seed % 2 == 0 ? ModelRules::Unrestricted : ModelRules::OneAtATime,
                       faults);
        zone.run(stepsPerSchedule);
        zone.recoverAndConverge();
        for (const std::string &violation : zone.result().violations()) {
            if (violation.find(expected) != std::string::npos) {
                cr_log_info("seed %llu: %s", static_cast<unsigned long long>(seed),
                            violation.c_str());
                return;
            }
        }
    }
    cr_assert_fail("no schedule reports: %s", expected.c_str());
}

} // namespace

Test(ReplicatedJournalModel, losesNothingWhileOneGoesAtATime)
{
    const Summary summary = runAll(ModelRules::OneAtATime);
    cr_assert_gt(summary.effects, 1000U);
    cr_assert_eq(summary.incomplete, 0);
}

Test(ReplicatedJournalModel, knowsItsLossesWhenAnythingGoes)
{
    const Summary summary = runAll(ModelRules::Unrestricted);
    cr_assert_gt(summary.effects, 1000U);
    cr_assert_gt(summary.incomplete, 0);
}

Test(ReplicatedJournalModel, findsCommitsWithoutAcknowledgement)
{
    findFault({.commitWithoutAck = true}, "is lost");
}

Test(ReplicatedJournalModel, findsConfirmationsWithoutAcknowledgement)
{
    findFault({.commitWithoutAck = true}, "was confirmed");
}

Test(ReplicatedJournalModel, findsRunsBehindTheEpochFence)
{
    findFault({.ignoreEpochFence = true}, "ran twice");
}

Test(ReplicatedJournalModel, findsRecoveryWithoutSurvey)
{
    findFault({.skipSurvey = true}, "is lost");
}

Test(ReplicatedJournalModel, findsEntriesTakenBehindAGap)
{
    findFault({.acceptGaps = true}, "is lost");
}

Test(ReplicatedJournalModel, findsEntriesTakenTwice)
{
    findFault({.applyDuplicates = true}, "appears twice");
}

Test(ReplicatedJournalModel, findsLossesThatAreHidden)
{
    findFault({.hideLoss = true}, "is lost");
}

Test(ReplicatedJournalModel, findsEffectsOfAnOwnerThatSteppedDown)
{
    findFault({.commitOnStepDown = true}, "ran twice");
}

Test(ReplicatedJournalModel, findsTwoOwnersOfOneActivation)
{
    findFault({.actAsSoleMember = true}, "two owners");
}
