#include "lacewingmux_keyvalue/client/HttpPlatformStore.h"
#include "EventLoop.h"
#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_core/time/QtTimerService.h"
#include "store/StoreStandin.h"

#include <QTcpServer>

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

const QByteArray key = "lacewingmux/zones/a";
const QString clientName = QStringLiteral("vm-1");

QUrl endpointAt(std::uint16_t port)
{
    return QUrl(QStringLiteral("http://127.0.0.1:%1").arg(port));
}

std::uint16_t closedPort()
{
    QTcpServer server;
    server.listen(QHostAddress::LocalHost, 0);
    return server.serverPort();
}

/** A stand-in and what a client of it needs, on one event loop. */
struct Fixture
{
    EventLoop loop;
    QtTimerService timers;
    IgnoringMetricsRecorder metrics;
    StoreStandin standin{timers};

    Fixture()
    {
        cr_assert(this->standin.start(0, 0));
    }

    PlatformStoreSettings settings() const
    {
        PlatformStoreSettings wanted;
        wanted.endpoints = {endpointAt(this->standin.port())};
        wanted.clientName = clientName;
        wanted.callTimeout = 500ms;
        return wanted;
    }

    CompareAndSwapResult swap(PlatformStore &store, std::int64_t expected, const QByteArray &value)
    {
        std::optional<CompareAndSwapResult> result;
        store.compareAndSwap(key, expected, value, [&result](const auto &got) { result = got; });
        cr_assert(this->loop.until([&result] { return result.has_value(); }));
        return *result;
    }

    std::optional<std::vector<StoreRecord>> read(PlatformStore &store)
    {
        bool done = false;
        std::optional<std::vector<StoreRecord>> records;
        store.readPrefix("lacewingmux/", [&](auto got) {
            records = std::move(got);
            done = true;
        });
        cr_assert(this->loop.until([&done] { return done; }));
        return records;
    }
};

} // namespace

Test(HttpPlatformStore, appliesAndReportsConflictsWithTheRecord)
{
    Fixture fixture;
    HttpPlatformStore store(fixture.timers, fixture.metrics, fixture.settings());
    const auto first = fixture.swap(store, 0, "one");
    cr_assert(first.outcome == CompareAndSwapOutcome::Applied);
    cr_assert(first.current.has_value());
    cr_assert_eq(first.current->createRevision, first.current->modRevision);
    const auto conflict = fixture.swap(store, 0, "two");
    cr_assert(conflict.outcome == CompareAndSwapOutcome::Conflict);
    cr_assert(conflict.current->value == "one");
    const auto second = fixture.swap(store, first.current->modRevision, "two");
    cr_assert(second.outcome == CompareAndSwapOutcome::Applied);
    const auto records = fixture.read(store);
    cr_assert(records.has_value() && records->size() == 1);
    cr_assert(records->front().value == "two");
}

Test(HttpPlatformStore, reportsNotSentWhenNobodyListensAndTriesTheNextEndpoint)
{
    Fixture fixture;
    PlatformStoreSettings settings = fixture.settings();
    settings.endpoints = {endpointAt(closedPort())};
    HttpPlatformStore lonely(fixture.timers, fixture.metrics, settings);
    cr_assert(fixture.swap(lonely, 0, "x").outcome == CompareAndSwapOutcome::NotSent);
    settings.endpoints = {endpointAt(closedPort()), endpointAt(fixture.standin.port())};
    HttpPlatformStore store(fixture.timers, fixture.metrics, settings);
    cr_assert(fixture.swap(store, 0, "one").outcome == CompareAndSwapOutcome::Applied);
}

Test(HttpPlatformStore, aHangingStoreLeavesTheOutcomeUnknown)
{
    Fixture fixture;
    HttpPlatformStore store(fixture.timers, fixture.metrics, fixture.settings());
    fixture.standin.setFaults({{QStringLiteral("hanging"), true}});
    cr_assert(fixture.swap(store, 0, "one").outcome == CompareAndSwapOutcome::Unknown);
    cr_assert_not(fixture.read(store).has_value());
    fixture.standin.setFaults({{QStringLiteral("down"), true}});
    cr_assert(fixture.swap(store, 0, "one").outcome == CompareAndSwapOutcome::Unknown);
    fixture.standin.setFaults({});
    cr_assert(fixture.read(store)->empty());
}

Test(HttpPlatformStore, callsOverTheBudgetAreNotMadeAndWritesKeepAReserve)
{
    Fixture fixture;
    PlatformStoreSettings settings = fixture.settings();
    settings.callsPerSecond = 0;
    settings.burstCalls = 8;
    HttpPlatformStore store(fixture.timers, fixture.metrics, settings);
    int answered = 0;
    for (int index = 0; index < 10; ++index)
        answered += fixture.read(store).has_value() ? 1 : 0;
    cr_assert_eq(answered, 6);
    cr_assert(fixture.swap(store, 0, "one").outcome == CompareAndSwapOutcome::Applied);
    cr_assert(fixture.swap(store, 1, "two").outcome == CompareAndSwapOutcome::Conflict);
    cr_assert(fixture.swap(store, 1, "two").outcome == CompareAndSwapOutcome::NotSent);
    cr_assert_eq(fixture.standin.calls(clientName, QStringLiteral("/v3/kv/range")), 6);
    cr_assert_eq(fixture.standin.calls(clientName, QStringLiteral("/v3/kv/txn")), 2);
}

Test(HttpPlatformStore, aLeaseTakesItsKeyAwayUnlessRenewed)
{
    Fixture fixture;
    HttpPlatformStore store(fixture.timers, fixture.metrics, fixture.settings());
    std::optional<std::int64_t> lease;
    store.grantLease(1s, [&lease](auto granted) { lease = granted; });
    cr_assert(fixture.loop.until([&lease] { return lease.has_value(); }));
    std::optional<bool> renewed;
    store.keepAlive(*lease, [&renewed](bool held) { renewed = held; });
    cr_assert(fixture.loop.until([&renewed] { return renewed.has_value(); }));
    cr_assert(*renewed);
    bool written = false;
    store.compareAndSwap(
            key, 0, "one",
            [&written](const auto &result) {
                written = result.outcome == CompareAndSwapOutcome::Applied;
            },
            *lease);
    cr_assert(fixture.loop.until([&written] { return written; }));
    cr_assert(fixture.loop.until([&] { return !fixture.standin.table().find(key).has_value(); }));
}

Test(HttpPlatformStore, aWatchGoesOnAfterAnOutageAndACompaction)
{
    Fixture fixture;
    HttpPlatformStore store(fixture.timers, fixture.metrics, fixture.settings());
    std::vector<std::pair<QByteArray, std::int64_t>> seen;
    const auto watch = store.watchPrefix("lacewingmux/", 0, [&seen](const StoreRecord &record) {
        seen.emplace_back(record.value, record.createRevision);
    });
    cr_assert(fixture.swap(store, 0, "one").outcome == CompareAndSwapOutcome::Applied);
    cr_assert(fixture.loop.until([&seen] { return seen.size() == 1; }));
    fixture.standin.setFaults({{QStringLiteral("closed"), true}});
    const auto put = [&fixture](const QByteArray &name, const QByteArray &value) {
        fixture.standin.table().write(
                {{KeyValueWrite::Kind::Put, KeyRange::single(name), value, 0}});
    };
    put("lacewingmux/zones/b", "while down");
    fixture.standin.table().write({{KeyValueWrite::Kind::Remove, KeyRange::single(key), {}, 0}});
    fixture.standin.compact();
    fixture.standin.setFaults({});
    cr_assert(fixture.loop.until([&seen] { return seen.size() >= 3; }));
    put("lacewingmux/zones/b", "afterwards");
    cr_assert(fixture.loop.until([&seen] { return seen.size() >= 4; }));
    cr_assert(seen[1].first == "while down");
    cr_assert_eq(seen[2].second, 0, "the deletion is reported");
    cr_assert(seen[3].first == "afterwards");
}

Test(HttpPlatformStore, aWatchCanEndWithinItsCallback)
{
    Fixture fixture;
    HttpPlatformStore store(fixture.timers, fixture.metrics, fixture.settings());
    int seen = 0;
    std::unique_ptr<PlatformStore::Watch> watch;
    watch = store.watchPrefix("lacewingmux/", 0, [&](const StoreRecord &) {
        ++seen;
        watch.reset();
    });
    fixture.swap(store, 0, "one");
    cr_assert(fixture.loop.until([&seen] { return seen == 1; }));
    fixture.swap(store, 2, "two");
    cr_assert_eq(seen, 1);
}
