#include "zone/JournalZone.h"

#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <vector>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

const QString a = QStringLiteral("a");
const QString b = QStringLiteral("b");
const QString c = QStringLiteral("c");

AggregateId program(int number)
{
    return {AggregateKind::Program, QStringLiteral("z"), QString::number(number)};
}

/** Returns the entries of an aggregate in the journal's copy, separated by commas. */
QByteArray entriesText(const ReplicatedJournal &journal, const AggregateId &aggregate)
{
    QByteArray text;
    for (const QByteArray &entry : journal.records(aggregate.slot()).entries(aggregate))
        text += text.isEmpty() ? entry : ',' + entry;
    return text;
}

/** Appends at the owner, advances time and returns the outcome, or nothing if pending. */
std::optional<AppendOutcome> appendTo(JournalZone &zone, const AggregateId &aggregate,
                                      const QByteArray &entry)
{
    auto outcome = std::make_shared<std::optional<AppendOutcome>>();
    zone.owner(aggregate.slot()).append(aggregate, entry, [outcome](AppendOutcome reported) {
        *outcome = reported;
    });
    cr_assert(!outcome->has_value(), "called back before append returned");
    zone.advanceTime(10ms);
    return *outcome;
}

void appendToPrograms(JournalZone &zone, int count, const QByteArray &entry)
{
    for (int number = 0; number < count; ++number)
        zone.owner(program(number).slot()).append(program(number), entry, {});
    zone.advanceTime(10ms);
}

void checkOwnersAndBackupsContain(JournalZone &zone, int count, const QByteArray &entry)
{
    for (int number = 0; number < count; ++number) {
        const SlotIndex slot = program(number).slot();
        cr_assert(zone.owner(slot).status(slot) == SlotStatus::Active);
        cr_assert(entriesText(zone.owner(slot), program(number)) == entry);
        cr_assert(entriesText(zone.backup(slot), program(number)) == entry);
    }
}

} // namespace

Test(ReplicatedJournal, commitsWithoutABackupInAViewOfOne)
{
    JournalZone zone;
    zone.start(a);
    zone.changeTo({a});
    cr_assert(zone.journal(a).isSettled());
    cr_assert(appendTo(zone, program(1), "x") == AppendOutcome::Committed);
}

Test(ReplicatedJournal, commitsOnceTheBackupHasTheEntry)
{
    JournalZone zone;
    zone.start(a);
    zone.start(b);
    zone.changeTo({a, b});
    cr_assert(appendTo(zone, program(1), "x") == AppendOutcome::Committed);
    const SlotIndex slot = program(1).slot();
    cr_assert_eq(zone.backup(slot).records(slot).entries(program(1)).size(), 1U);
}

Test(ReplicatedJournal, keepsAppendsPendingDuringAPartition)
{
    JournalZone zone;
    zone.start(a);
    zone.start(b);
    zone.changeTo({a, b});
    zone.network.cut(a, b);
    const SlotIndex slot = program(1).slot();
    std::vector<AppendOutcome> outcomes;
    const auto note = [&outcomes](AppendOutcome outcome) { outcomes.push_back(outcome); };
    zone.owner(slot).append(program(1), "x", note);
    zone.owner(slot).append(program(1), "y", note);
    zone.advanceTime(3000ms);
    cr_assert(outcomes.empty());
    cr_assert(zone.owner(slot).status(slot) == SlotStatus::Recovering);
    zone.network.healAll();
    zone.advanceTime(1000ms);
    cr_assert_eq(outcomes.size(), 2U);
    cr_assert(zone.owner(slot).status(slot) == SlotStatus::Active);
    cr_assert(entriesText(zone.backup(slot), program(1)) == "x,y");
}

// A backup that is silent for a moment must not end the calls that wait for it.
Test(ReplicatedJournal, keepsAppendsPendingWhileTheBackupIsSilent)
{
    JournalZone zone;
    zone.network.setDetectionDelay(3000ms);
    zone.start(a);
    zone.start(b);
    zone.changeTo({a, b});
    const SlotIndex slot = program(1).slot();
    const QString backup = zone.view->placement(slot).backup->vm;
    zone.network.pause(backup);
    std::vector<AppendOutcome> outcomes;
    zone.owner(slot).append(program(1), "x",
                            [&outcomes](AppendOutcome outcome) { outcomes.push_back(outcome); });
    zone.advanceTime(1300ms);
    cr_assert(outcomes.empty());
    zone.network.resume(backup);
    zone.advanceTime(50ms);
    cr_assert((outcomes == std::vector{AppendOutcome::Committed}));
    cr_assert(zone.owner(slot).status(slot) == SlotStatus::Active);
}

Test(ReplicatedJournal, backupTakesOverAndTheReplacedOwnerStepsDown)
{
    JournalZone zone;
    zone.start(a);
    zone.start(b);
    zone.changeTo({a, b});
    const SlotIndex slot = program(1).slot();
    const QString oldOwner = zone.view->placement(slot).owner->vm;
    const QString survivor = zone.view->placement(slot).backup->vm;
    cr_assert(appendTo(zone, program(1), "x") == AppendOutcome::Committed);

    zone.publish({survivor});
    zone.adopt(survivor); // the old owner has not adopted the view yet
    std::vector<AppendOutcome> outcomes;
    const auto note = [&outcomes](AppendOutcome outcome) { outcomes.push_back(outcome); };
    zone.journal(oldOwner).append(program(1), "late", note);
    zone.journal(oldOwner).confirmOwnership(slot, note);
    zone.advanceTime(500ms);
    cr_assert(outcomes.empty());
    cr_assert(zone.journal(survivor).status(slot) == SlotStatus::Active);
    cr_assert_eq(zone.vms[survivor]->activated[slot].size(), 1U);
    cr_assert(entriesText(zone.journal(survivor), program(1)).startsWith("x"));

    zone.adopt(oldOwner);
    cr_assert((outcomes == std::vector{AppendOutcome::SteppedDown, AppendOutcome::SteppedDown}));
    cr_assert(zone.journal(oldOwner).status(slot) == SlotStatus::NotOwner);
}

Test(ReplicatedJournal, asksForTheViewThatAPeerHasAdopted)
{
    JournalZone zone;
    zone.start(a);
    zone.start(b);
    zone.changeTo({a, b});
    std::uint64_t reportedEpoch = 0;
    const SlotIndex slot = program(1).slot();
    const QString backup = zone.view->placement(slot).backup->vm;
    zone.owner(slot).setNewerEpochHandler(
            [&reportedEpoch](std::uint64_t epoch) { reportedEpoch = epoch; });
    ReplicatedJournal &oldOwner = zone.owner(slot);
    zone.publish({backup});
    zone.adopt(backup);
    oldOwner.append(program(1), "late", {});
    zone.advanceTime(100ms);
    cr_assert_eq(reportedEpoch, 2U);
}

Test(ReplicatedJournal, movesLargeSlotsToAJoinerInPieces)
{
    JournalZone zone;
    zone.start(a);
    zone.start(b);
    zone.changeTo({a, b});
    const QByteArray entry(20'000, 'x');
    appendToPrograms(zone, 2000, entry);
    zone.start(c);
    zone.changeTo({a, b, c});
    cr_assert(zone.journal(c).isSettled());
    checkOwnersAndBackupsContain(zone, 2000, entry);
}

Test(ReplicatedJournal, needsNoTimerForAViewChangeWithoutLosses)
{
    JournalZone zone;
    for (const QString &name : {a, b, c})
        zone.start(name);
    zone.changeTo({a, b});
    zone.publish({a, b, c});
    for (const QString &name : {a, b, c})
        zone.adopt(name); // without advancing the clock
    for (const QString &name : {a, b, c})
        cr_assert(zone.journal(name).isSettled());
}

Test(ReplicatedJournal, handsOverBeforeAPlannedStop)
{
    JournalZone zone;
    for (const QString &name : {a, b, c})
        zone.start(name);
    zone.changeTo({a, b, c});
    appendToPrograms(zone, 300, "x");
    cr_assert(!zone.journal(c).isDrained());
    zone.changeTo({a, b});
    cr_assert(zone.journal(c).isDrained());
    zone.kill(c);
    checkOwnersAndBackupsContain(zone, 300, "x");
}

Test(ReplicatedJournal, keepsEntriesOfASlotWhoseOwnerStays)
{
    JournalZone zone;
    zone.start(a);
    zone.start(b);
    zone.changeTo({a, b});
    zone.network.cut(a, b);
    const SlotIndex slot = program(1).slot();
    ReplicatedJournal &owner = zone.owner(slot);
    const QString ownerName = zone.view->placement(slot).owner->vm;
    std::vector<AppendOutcome> outcomes;
    owner.append(program(1), "x",
                 [&outcomes](AppendOutcome outcome) { outcomes.push_back(outcome); });
    zone.advanceTime(100ms);
    zone.changeTo({ownerName});
    cr_assert((outcomes == std::vector{AppendOutcome::Committed}));
    cr_assert(zone.vms[ownerName]->deactivated.empty());
}

Test(ReplicatedJournal, reportsIncompleteStateAfterLosingBothHolders)
{
    JournalZone zone;
    zone.start(a);
    zone.start(b);
    zone.changeTo({a, b});
    appendToPrograms(zone, 10, "x");
    zone.kill(a);
    zone.kill(b);
    zone.start(a);
    zone.start(b);
    zone.changeTo({a, b});
    const SlotIndex slot = program(1).slot();
    cr_assert(zone.owner(slot).status(slot) == SlotStatus::ActiveIncomplete);
    cr_assert_eq(zone.owner(slot).completeSince(slot), 2U);
    cr_assert(appendTo(zone, program(1), "y") == AppendOutcome::Committed);
}

Test(ReplicatedJournal, compactsAtOwnerAndBackup)
{
    JournalZone zone;
    zone.start(a);
    zone.start(b);
    zone.changeTo({a, b});
    const SlotIndex slot = program(1).slot();
    appendToPrograms(zone, 3, "x");
    zone.owner(slot).replace(program(1), "whole", {});
    zone.advanceTime(10ms);
    cr_assert(entriesText(zone.backup(slot), program(1)) == "whole");
    zone.owner(slot).remove(program(1), {});
    zone.advanceTime(10ms);
    cr_assert(zone.backup(slot).records(slot).entries(program(1)).empty());
}

Test(ReplicatedJournal, survivesMalformedFrames)
{
    JournalZone zone;
    zone.start(a);
    zone.start(b);
    zone.changeTo({a, b});
    // The frame kinds of the journal, SlotSync to SlotActivatedRequest.
    for (int kind = 30; kind <= 44; ++kind) {
        const PeerFrame frame{static_cast<FrameKind>(kind), 1, 0, "garbage"};
        zone.vms[a]->hub->send(zone.vms[b]->descriptor.incarnation, frame);
    }
    zone.advanceTime(100ms);
    cr_assert(appendTo(zone, program(1), "x") == AppendOutcome::Committed);
}
