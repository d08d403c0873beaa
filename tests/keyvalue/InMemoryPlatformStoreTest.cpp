#include "lacewingmux_keyvalue/memory/InMemoryPlatformStore.h"
#include "lacewingmux_core/time/ManualTimerService.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

const QByteArray key = "lacewingmux/configuration";

/** Two clients of one store and virtual time. */
struct Fixture
{
    ManualTimerService timers;
    std::shared_ptr<InMemoryStoreServer> server = std::make_shared<InMemoryStoreServer>(timers);
    InMemoryPlatformStore first{server, QStringLiteral("first")};
    InMemoryPlatformStore second{server, QStringLiteral("second")};

    CompareAndSwapResult swap(PlatformStore &store, std::int64_t expected, const QByteArray &value,
                              std::int64_t leaseId = 0)
    {
        CompareAndSwapResult result;
        store.compareAndSwap(
                key, expected, value, [&result](const auto &got) { result = got; }, leaseId);
        this->timers.advance(3s);
        return result;
    }
};

} // namespace

Test(InMemoryPlatformStore, onlyOneOfTwoRacingWritersWins)
{
    Fixture fixture;
    std::vector<CompareAndSwapOutcome> outcomes;
    const auto note = [&outcomes](const auto &result) { outcomes.push_back(result.outcome); };
    fixture.first.compareAndSwap(key, 0, "a", note);
    fixture.second.compareAndSwap(key, 0, "b", note);
    fixture.timers.advance(10ms);
    cr_assert_eq(outcomes.size(), 2U);
    cr_assert(outcomes[0] == CompareAndSwapOutcome::Applied);
    cr_assert(outcomes[1] == CompareAndSwapOutcome::Conflict);
    cr_assert(fixture.server->table().find(key)->value == "a");
}

Test(InMemoryPlatformStore, lostReplyIsUnknownAndTheWriteStands)
{
    Fixture fixture;
    fixture.server->loseWriteReplies(1);
    cr_assert(fixture.swap(fixture.first, 0, "a").outcome == CompareAndSwapOutcome::Unknown);
    cr_assert(fixture.server->table().find(key)->value == "a");
}

Test(InMemoryPlatformStore, aStoreThatIsDownIsCertainlyNotChanged)
{
    Fixture fixture;
    fixture.server->setDown(true);
    cr_assert(fixture.swap(fixture.first, 0, "a").outcome == CompareAndSwapOutcome::NotSent);
    fixture.server->setDown(false);
    cr_assert(!fixture.server->table().find(key).has_value());
}

Test(InMemoryPlatformStore, aCutClientSeesAfterwardsWhatItMissed)
{
    Fixture fixture;
    std::vector<QByteArray> seen;
    const auto watch =
            fixture.first.watchPrefix("lacewingmux/", 0, [&seen](const StoreRecord &record) {
                seen.push_back(record.value);
            });
    fixture.server->setCut(QStringLiteral("first"), true);
    const auto written = fixture.swap(fixture.second, 0, "a");
    cr_assert(written.outcome == CompareAndSwapOutcome::Applied);
    cr_assert(seen.empty());
    fixture.server->compact();
    fixture.server->setCut(QStringLiteral("first"), false);
    fixture.timers.advance(10ms);
    cr_assert(seen == std::vector<QByteArray>({"a"}));
}

Test(InMemoryPlatformStore, aLapsedLeaseTakesItsKeyAway)
{
    Fixture fixture;
    std::optional<std::int64_t> lease;
    fixture.first.grantLease(5s, [&lease](auto granted) { lease = granted; });
    fixture.timers.advance(10ms);
    cr_assert(lease.has_value());
    cr_assert(fixture.swap(fixture.first, 0, "a", *lease).outcome
              == CompareAndSwapOutcome::Applied);
    std::vector<std::int64_t> created;
    const auto watch = fixture.second.watchPrefix(
            key, fixture.server->table().revision(),
            [&created](const StoreRecord &record) { created.push_back(record.createRevision); });
    fixture.timers.advance(10s);
    cr_assert(!fixture.server->table().find(key).has_value());
    cr_assert(created == std::vector<std::int64_t>({0}));
    bool held = true;
    fixture.first.keepAlive(*lease, [&held](bool renewed) { held = renewed; });
    fixture.timers.advance(10ms);
    cr_assert_not(held);
}
