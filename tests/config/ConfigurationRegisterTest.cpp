#include "lacewingmux_config/records/ConfigurationRegister.h"
#include "lacewingmux_config/records/RevisionedRecord.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_keyvalue/memory/InMemoryPlatformStore.h"

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
    ConfigurationRegister first{firstStore};
    ConfigurationRegister second{secondStore};
    std::vector<ConfigurationRegister::Result> results;

    void apply(ConfigurationRegister &configurations, std::uint64_t expectedRevision, int number)
    {
        const QString author =
                &configurations == &this->first ? QStringLiteral("ama") : QStringLiteral("kofi");
        configurations.apply(expectedRevision, documentOf(number), author, this->timers.wallNow(),
                             [this](const auto &result) { this->results.push_back(result); });
    }

    RevisionedRecord stored() const
    {
        return *RevisionedRecord::parse(
                this->server->table().find(ConfigurationRegister::storeKey)->value);
    }
};

} // namespace

Test(ConfigurationRegister, racingOperatorsGetOneAppliedAndOneConflictWithTheWinner)
{
    Fixture fixture;
    fixture.apply(fixture.first, 0, 1);
    fixture.apply(fixture.second, 0, 2);
    fixture.timers.advance(1s);
    cr_assert_eq(fixture.results.size(), 2U);
    cr_assert_not(fixture.results[0].error.has_value());
    cr_assert(fixture.results[1].error->kind() == ErrorKind::ConfigurationConflict);
    cr_assert(fixture.results[1].current->document == documentOf(1));
    cr_assert(fixture.results[1].current->author == QLatin1String("ama"));
    cr_assert(fixture.stored().document == documentOf(1));
}

Test(ConfigurationRegister, aLostReplyIsSettledAsApplied)
{
    Fixture fixture;
    fixture.server->loseWriteReplies(1);
    fixture.apply(fixture.first, 0, 1);
    fixture.timers.advance(5s);
    cr_assert_not(fixture.results.at(0).error.has_value());
    cr_assert_eq(fixture.results[0].revision, 1U);
    cr_assert_eq(fixture.stored().revision, 1U);
}

Test(ConfigurationRegister, aLostReplyIsSettledAlsoWhenOthersWroteSince)
{
    Fixture fixture;
    fixture.server->loseWriteReplies(1);
    fixture.apply(fixture.first, 0, 1);
    fixture.timers.advance(100ms);
    fixture.apply(fixture.second, 1, 2);
    fixture.timers.advance(100ms);
    fixture.apply(fixture.second, 2, 3);
    fixture.timers.advance(5s);
    cr_assert_eq(fixture.results.size(), 3U);
    for (const auto &result : fixture.results)
        cr_assert_not(result.error.has_value());
    cr_assert_eq(fixture.results[2].revision, 1U);
    cr_assert(fixture.stored().document == documentOf(3));
}

Test(ConfigurationRegister, anOutageIsToldApartFromALostReply)
{
    Fixture fixture;
    fixture.server->setDown(true);
    fixture.apply(fixture.first, 0, 1);
    fixture.timers.advance(1s);
    cr_assert(fixture.results.at(0).error->kind() == ErrorKind::StoreUnavailable);
    fixture.server->setDown(false);
    fixture.server->loseWriteReplies(1);
    fixture.apply(fixture.first, 0, 2);
    fixture.timers.advance(100ms);
    fixture.server->setDown(true);
    fixture.timers.advance(30s);
    cr_assert(fixture.results.at(1).error->kind() == ErrorKind::StoreResultUnknown);
}

Test(ConfigurationRegister, refusesADocumentThatTheStoreWouldNotHold)
{
    Fixture fixture;
    const QJsonObject large{{QStringLiteral("text"), QString(1'000'000, u'x')}};
    std::optional<LacewingmuxError> error;
    fixture.first.apply(0, large, {}, fixture.timers.wallNow(),
                        [&error](const auto &result) { error = result.error; });
    fixture.timers.advance(1s);
    cr_assert(error->kind() == ErrorKind::ConfigurationInvalid);
    cr_assert_not(fixture.server->table().find(ConfigurationRegister::storeKey).has_value());
}

// A negative revision was taken for the largest one, which no later configuration exceeds.
Test(RevisionedRecord, thatHasNoRevisionIsNone)
{
    for (const char *revision : {"-1", "0", "1e30", "1.5", "9223372036854775808", "\"1\"", "null"})
        cr_expect_not(RevisionedRecord::parse(QByteArray(R"({"document":{},"revision":)") + revision
                                              + '}')
                              .has_value(),
                      "%s", revision);
    const auto record = RevisionedRecord::parse(
            R"({"document":{},"revision":1,"writtenAtMs":9223372036854775807})");
    cr_assert(record.has_value());
    cr_expect_geq(record->writtenAt.time_since_epoch().count(), 0);
    cr_expect_leq(record->writtenAt.time_since_epoch() / std::chrono::hours(1),
                  std::int64_t{24} * 366 * 290);
}
