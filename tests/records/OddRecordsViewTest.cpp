#include "lacewingmux_records/members/RecordsMembership.h"
#include "lacewingmux_records/members/RecordsView.h"

#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_keyvalue/memory/InMemoryPlatformStore.h"

#include <criterion/criterion.h>

#include <QList>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

/** Returns the document of a view with one field replaced by the JSON text. */
QByteArray viewWith(const QByteArray &name, const QByteArray &value)
{
    const QList<std::pair<QByteArray, QByteArray>> fields{
            {"number", "4"},
            {"targetSize", "1"},
            {"toleratedDisks", "1"},
            {"groupSizes", "[1]"},
            {"forming", "false"},
            {"members", R"([{"vm":"r1","zone":"z","disk":"7","address":"10.0.0.1","port":7,
                           "state":"synced","syncSources":0,"group":0}])"}};
    QByteArray document;
    for (const auto &[field, sound] : fields)
        document += (document.isEmpty() ? '{' : ',') + ('"' + field + "\":")
                    + (field == name ? value : sound);
    return document + '}';
}

QByteArray memberWith(const QByteArray &fields)
{
    return viewWith("members",
                    R"([{"vm":"r1","zone":"z","disk":"7","address":"10.0.0.1",)" + fields + "}]");
}

QList<QByteArray> oddViews()
{
    QList<QByteArray> odd{"null",
                          "7",
                          "[]",
                          "{}",
                          "\x80\x81",
                          QByteArray(2000, '[') + QByteArray(2000, ']'),
                          QByteArray(100000, '[') + QByteArray(100000, ']'),
                          viewWith("members", "{}"),
                          viewWith("members", "[7]"),
                          viewWith("members", "[{}]"),
                          viewWith("members", R"([{"vm":"r1","disk":"x"}])"),
                          viewWith("members", R"([{"vm":"r1","disk":"18446744073709551616"}])"),
                          viewWith("groupSizes", "{}"),
                          viewWith("groupSizes", R"(["1"])"),
                          viewWith("groupSizes", "[-1]"),
                          viewWith("groupSizes", "[1e30]"),
                          viewWith("number", "0")};
    for (const QByteArray &number :
         QList<QByteArray>{"-1", "1e30", "1e400", "1.5", "9223372036854775807",
                           "9223372036854775808", "18446744073709551616", R"("4")", "null"})
        odd.append(viewWith("number", number));
    for (const QByteArray &number :
         QList<QByteArray>{"-1", "1e30", "1.5", "2147483647", "2147483648", R"("1")", "null"})
        odd.append({viewWith("targetSize", number), viewWith("toleratedDisks", number),
                    memberWith("\"port\":" + number), memberWith("\"syncSources\":" + number),
                    memberWith("\"group\":" + number)});
    odd.append({memberWith("\"port\":65536"), memberWith("\"port\":70000"),
                memberWith("\"port\":4294967376"), memberWith("\"group\":1")});
    return odd;
}

VmDescriptor ownVm()
{
    VmDescriptor vm;
    vm.incarnation = {QStringLiteral("r9"), QStringLiteral("zone"), 9};
    vm.address = QStringLiteral("10.0.0.9");
    vm.trafficPort = 7;
    vm.hasDataFolder = true;
    return vm;
}

} // namespace

// The number was taken for one that no later view exceeds, and sums of the counts overflowed.
Test(odd_records_view, is_no_view)
{
    cr_assert(RecordsView::fromDocument(viewWith("", "")).has_value());
    for (const QByteArray &document : oddViews())
        cr_expect_not(RecordsView::fromDocument(document).has_value(), "%s",
                      document.left(300).constData());
}

// A VM that joined replaced the view of all members with one of itself alone.
Test(odd_records_view, in_the_store_is_not_replaced)
{
    for (const QByteArray &document : oddViews()) {
        ManualTimerService timers;
        auto server = std::make_shared<InMemoryStoreServer>(timers);
        InMemoryPlatformStore store(server, QStringLiteral("r9"));
        store.compareAndSwap(recordsViewKey, 0, document, [](const auto &) {});
        timers.advance(milliseconds(500));
        RecordsMembership membership(store, timers, ownVm(), 1, true, [](const RecordsView &) {});
        membership.start();
        timers.advance(milliseconds(5000));
        std::optional<std::vector<StoreRecord>> found;
        store.read(recordsViewKey, [&found](auto records) { found = std::move(records); });
        timers.advance(milliseconds(500));
        cr_assert(found && found->size() == 1);
        cr_expect(found->front().value == document, "%s was replaced",
                  document.left(300).constData());
        cr_expect_eq(membership.view().number, 0);
    }
}

Test(odd_records_view, that_is_repaired_can_be_joined)
{
    ManualTimerService timers;
    auto server = std::make_shared<InMemoryStoreServer>(timers);
    InMemoryPlatformStore store(server, QStringLiteral("r9"));
    std::int64_t revision = 0;
    const auto written = [&revision](const CompareAndSwapResult &result) {
        revision = result.current->modRevision;
    };
    store.compareAndSwap(recordsViewKey, 0, "{", written);
    timers.advance(milliseconds(500));
    RecordsMembership membership(store, timers, ownVm(), 1, false, [](const RecordsView &) {});
    membership.start();
    timers.advance(milliseconds(2000));
    store.compareAndSwap(recordsViewKey, revision, viewWith("", ""), written);
    timers.advance(milliseconds(2000));
    cr_assert_eq(membership.view().number, 5);
    cr_assert_eq(membership.view().members.size(), 2);
}

Test(odd_records_view, of_a_watch_or_a_peer_leaves_the_known_one)
{
    ManualTimerService timers;
    auto server = std::make_shared<InMemoryStoreServer>(timers);
    InMemoryPlatformStore store(server, QStringLiteral("r9"));
    RecordsMembership membership(store, timers, ownVm(), 1, true, [](const RecordsView &) {});
    membership.start();
    timers.advance(milliseconds(3000));
    const RecordsView before = membership.view();
    cr_assert_gt(before.number, 0);
    for (const QByteArray &document : oddViews())
        membership.adoptViewDocument(document);
    cr_assert_eq(membership.view().number, before.number);
    cr_assert(membership.view().members == before.members);
}
