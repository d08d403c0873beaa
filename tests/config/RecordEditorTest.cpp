#include "lacewingmux_config/records/RecordEditor.h"
#include "lacewingmux_config/records/RecordKeys.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_platform/memory/InMemoryPlatformStore.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

QJsonObject documentOf(int number)
{
    return {{QStringLiteral("number"), number}};
}

/** Two operators of one store. */
struct Fixture
{
    ManualTimerService timers;
    std::shared_ptr<InMemoryStoreServer> server = std::make_shared<InMemoryStoreServer>(timers);
    InMemoryPlatformStore firstStore{server, QStringLiteral("first")};
    InMemoryPlatformStore secondStore{server, QStringLiteral("second")};
    RecordEditor first{firstStore, timers, RecordKeys::configuration, QStringLiteral("ama")};
    RecordEditor second{secondStore, timers, RecordKeys::configuration, QStringLiteral("kofi")};
    std::vector<RecordEditResult> results;

    RecordEditor::Callback note()
    {
        return [this](const RecordEditResult &result) { this->results.push_back(result); };
    }

    int storedNumber() const
    {
        const auto record = RevisionedRecord::parse(
                this->server->table().find(RecordKeys::configuration)->value);
        return record->document.value(QLatin1String("number")).toInt();
    }
};

} // namespace

Test(RecordEditor, racingOperatorsGetOneAppliedAndOneConflictWithTheWinner)
{
    Fixture fixture;
    fixture.first.replace(0, documentOf(1), fixture.note());
    fixture.second.replace(0, documentOf(2), fixture.note());
    fixture.timers.advance(1s);
    cr_assert_eq(fixture.results.size(), 2U);
    cr_assert(fixture.results[0].outcome == RecordEditOutcome::Applied);
    cr_assert(fixture.results[1].outcome == RecordEditOutcome::Conflict);
    cr_assert(fixture.results[1].current->document == documentOf(1));
    cr_assert(fixture.results[1].current->author == QLatin1String("ama"));
    cr_assert_eq(fixture.storedNumber(), 1);
}

Test(RecordEditor, aLostReplyIsSettledAsApplied)
{
    Fixture fixture;
    fixture.server->loseWriteReplies(1);
    fixture.first.replace(0, documentOf(1), fixture.note());
    fixture.timers.advance(5s);
    cr_assert(fixture.results.at(0).outcome == RecordEditOutcome::Applied);
    cr_assert_eq(fixture.results[0].appliedRevision, 1U);
}

Test(RecordEditor, aLostReplyIsSettledAlsoWhenOthersWroteSince)
{
    Fixture fixture;
    fixture.server->loseWriteReplies(1);
    fixture.first.replace(0, documentOf(1), fixture.note());
    fixture.timers.advance(100ms);
    fixture.second.replace(1, documentOf(2), fixture.note());
    fixture.timers.advance(100ms);
    fixture.second.replace(2, documentOf(3), fixture.note());
    fixture.timers.advance(5s);
    cr_assert_eq(fixture.results.size(), 3U);
    for (const RecordEditResult &result : fixture.results)
        cr_assert(result.outcome == RecordEditOutcome::Applied);
    cr_assert_eq(fixture.results[2].appliedRevision, 1U);
    cr_assert_eq(fixture.storedNumber(), 3);
}

Test(RecordEditor, aWriteThatWasLostWithItsReplyAppliesOnceAndOutcomesAreTrue)
{
    Fixture fixture;
    fixture.server->setDown(true);
    fixture.first.replace(0, documentOf(1), fixture.note());
    fixture.timers.advance(1s);
    cr_assert(fixture.results.at(0).outcome == RecordEditOutcome::Unavailable);
    fixture.server->setDown(false);
    fixture.server->loseWriteReplies(1);
    fixture.first.replace(0, documentOf(2), fixture.note());
    fixture.timers.advance(100ms);
    fixture.server->setDown(true);
    fixture.timers.advance(30s);
    cr_assert(fixture.results.at(1).outcome == RecordEditOutcome::Unknown);
}

Test(RecordEditor, editsThatCommuteAreAppliedAgainOnConflict)
{
    Fixture fixture;
    const auto addOne = [](const RevisionedRecord &record) {
        return documentOf(record.document.value(QLatin1String("number")).toInt() + 1);
    };
    fixture.server->loseWriteReplies(1);
    for (int round = 0; round < 5; ++round) {
        fixture.first.edit(addOne, fixture.note());
        fixture.second.edit(addOne, fixture.note());
        fixture.timers.advance(10s);
    }
    for (const RecordEditResult &result : fixture.results)
        cr_assert(result.outcome == RecordEditOutcome::Applied);
    cr_assert_eq(fixture.results.size(), 10U);
    cr_assert_eq(fixture.storedNumber(), 10);
}
