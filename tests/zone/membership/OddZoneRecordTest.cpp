#include "lacewingmux_zone/membership/ZoneRecordStore.h"

#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_keyvalue/memory/InMemoryPlatformStore.h"

#include <criterion/criterion.h>

#include <QList>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

const QString zone = QStringLiteral("zone-0");

ZoneRecord soundRecord()
{
    VmDescriptor member;
    member.incarnation = {QStringLiteral("vm-1"), zone, 1};
    return ZoneRecord(zone, {member});
}

QList<QByteArray> oddRecords()
{
    return {"",
            "null",
            "7",
            "[]",
            "{}",
            "\x80\x81",
            QByteArray(2000, '[') + QByteArray(2000, ']'),
            QByteArray(100000, '[') + QByteArray(100000, ']'),
            R"({"zone":7,"epoch":"1","members":[]})",
            R"({"zone":"zone-0","epoch":1,"members":[]})",
            R"({"zone":"zone-0","epoch":"-1","members":[]})",
            R"({"zone":"zone-0","epoch":"1","members":[{}]})",
            R"({"zone":"zone-0","epoch":"1","members":[7]})",
            R"({"zone":"zone-0","epoch":"1","members":[],"history":[7]})"};
}

} // namespace

// The record of the own zone was parsed in a callback of the store that let the exception pass,
// which ended the process at each attempt.
Test(odd_zone_record, ends_no_vm_and_is_not_replaced)
{
    for (const QByteArray &odd : oddRecords()) {
        ManualTimerService timers;
        auto server = std::make_shared<InMemoryStoreServer>(timers);
        InMemoryPlatformStore platformStore(server, QStringLiteral("vm-1"));
        std::int64_t revision = 0;
        platformStore.compareAndSwap(ZoneRecord::storeKey(zone), 0, odd,
                                     [&revision](const CompareAndSwapResult &result) {
                                         revision = result.current->modRevision;
                                     });
        timers.advance(milliseconds(500));
        ZoneRecordStore store(platformStore, timers, zone, milliseconds(1000));
        int decisions = 0;
        int records = 0;
        store.setRecordHandler([&records](const ZoneRecord &) { ++records; });
        store.start();
        const auto decide = [&decisions](const ZoneRecord &) -> std::optional<ZoneRecord> {
            ++decisions;
            return soundRecord();
        };
        store.update(decide);
        timers.advance(milliseconds(2000));
        cr_expect_eq(decisions, 0, "%s", odd.left(100).constData());
        cr_expect_eq(records, 0, "%s", odd.left(100).constData());
        // The next one to repair the record is followed.
        platformStore.compareAndSwap(ZoneRecord::storeKey(zone), revision, soundRecord().toJson(),
                                     [](const auto &) {});
        timers.advance(milliseconds(2000));
        store.update(decide);
        timers.advance(milliseconds(500));
        cr_expect_eq(decisions, 1, "%s", odd.left(100).constData());
        cr_expect_geq(records, 1, "%s", odd.left(100).constData());
    }
}
