#include "loops/EventLoop.h"
#include "support/StoreFleet.h"

#include "platform/ReplicaEntry.h"

#include <criterion/criterion.h>

#include <QByteArray>
#include <QList>

#include <algorithm>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

constexpr int recordsVmCount = 6;

const std::set<QByteArray> both{"1", "2"};
const std::set<QByteArray> onlyTheSecond{"2"};

/** Returns a sound entry with one field replaced by the JSON text. */
QByteArray entryWith(const QByteArray &name, const QByteArray &value)
{
    QList<std::pair<QByteArray, QByteArray>> fields{
            {"service", R"("s")"}, {"address", R"("10.0.0.1:80")"}, {"zone", R"("a")"},
            {"slots", "4"},        {"state", R"("ready")"},         {"born", "1700000000123"}};
    QByteArray entry;
    for (const auto &[field, sound] : fields)
        entry += (entry.isEmpty() ? '{' : ',') + ('"' + field + "\":")
                 + (field == name ? value : sound);
    return entry + '}';
}

QByteArray nested(int depth)
{
    return QByteArray(depth, '[') + QByteArray(depth, ']');
}

/** Entries of another writer that name no replica to use. */
QList<QByteArray> oddEntries()
{
    QList<QByteArray> odd{"",
                          "null",
                          "7",
                          "[1,2]",
                          "{}",
                          QByteArray("\x80\x81\x00\xff", 4),
                          entryWith("", "").chopped(1),
                          entryWith("", "") + QByteArray("\0x", 2),
                          nested(2000),
                          nested(100000),
                          QByteArray(100000, '['),
                          entryWith("service", nested(2000)),
                          entryWith("zone", nested(100000)),
                          QByteArray(1000000, 'x')};
    for (const QByteArray &slots :
         QList<QByteArray>{"1e400", "1e30", "-1", "0", "1.5", "2147483648", "9223372036854775808",
                           "18446744073709551616", R"("4")", "null", "true", "[4]", "{}"})
        odd.append(entryWith("slots", slots));
    for (const QByteArray &address : QList<QByteArray>{"10.0.0.1:0",
                                                       "10.0.0.1:65536",
                                                       "10.0.0.1:70000",
                                                       "10.0.0.1:4294967376",
                                                       "10.0.0.1:-1",
                                                       "10.0.0.1:+80",
                                                       "10.0.0.1: 80",
                                                       "10.0.0.1:x",
                                                       "10.0.0.1:",
                                                       "10.0.0.1",
                                                       ":80",
                                                       "host:80",
                                                       "1:80",
                                                       "10.1:80",
                                                       "010.0.0.1:80",
                                                       "10.0.0.256:80",
                                                       "0.0.0.0:80",
                                                       "255.255.255.255:80",
                                                       "224.0.0.1:80",
                                                       "::1:80",
                                                       "[::1]:80",
                                                       "fe80::1%eth0:80",
                                                       R"(10.0.0.1\u0000:80)",
                                                       ""})
        odd.append(entryWith("address", '"' + address + '"'));
    for (const QByteArray &state : QList<QByteArray>{R"("Ready")", R"("resting")", "7", "null"})
        odd.append(entryWith("state", state));
    return odd;
}

/** Sound entries with an odd value in a field that a replica can be used without. */
QList<QByteArray> usableEntries()
{
    QList<QByteArray> entries;
    for (const QByteArray &number :
         QList<QByteArray>{"1e30", "-1", "9223372036854775807", "-9223372036854775808",
                           "9223372036854775808", "18446744073709551616", "1.5", R"("x")", "null"})
        entries.append({entryWith("born", number),
                        entryWith("", "").chopped(1) + ",\"coldRemainingMs\":" + number + '}'});
    entries.append(entryWith("slots", "2147483647"));
    return entries;
}

/** Keys under which a sound entry names no replica to use. */
QList<QByteArray> oddIds()
{
    return {"",     "a b",        "a\r\nX-Injected: 1", "a\n", "a\t", QByteArray("a\0b", 3),
            "\x7f", "caf\xc3\xa9"};
}

} // namespace

Test(odd_replica_entry, names_no_replica)
{
    for (const QByteArray &entry : oddEntries())
        cr_expect_not(readReplicaEntry("servers/1", entry).has_value(), "%s",
                      entry.left(200).constData());
}

// The id is the value of a header field of each request to the replica.
Test(odd_replica_entry, with_an_id_that_is_no_field_value_names_no_replica)
{
    for (const QByteArray &id : oddIds())
        cr_expect_not(readReplicaEntry("servers/" + id, entryWith("", "")).has_value(), "%s",
                      id.toHex().constData());
    cr_expect(readReplicaEntry("servers/" + QByteArray(192, 'i'), entryWith("", "")).has_value());
}

// Numbers beyond their range overflowed times, or were cut to another value.
Test(odd_replica_entry, with_an_odd_number_that_is_not_needed_names_its_replica)
{
    for (const QByteArray &entry : usableEntries())
        cr_expect(readReplicaEntry("servers/1", entry).has_value(), "%s", entry.constData());
}

Test(odd_replica_entry, leaves_the_replicas_beside_it_in_use)
{
    EventLoop loop;
    StoreFleet fleet(3, recordsVmCount);
    const auto allUse = [&fleet](const std::set<QByteArray> &expected) {
        return std::all_of(fleet.fronts.begin(), fleet.fronts.end(),
                           [&](const auto &front) { return front->replicas == expected; });
    };
    const QByteArray key = StoreFleet::replicaPrefix + "odd";
    const QByteArray first = StoreFleet::replicaPrefix + "1";
    int number = 0;
    for (const QByteArray &entry : oddEntries()) {
        fleet.store.put(key, entry);
        fleet.run(milliseconds(2000));
        cr_assert(allUse(both), "beside %s", entry.left(200).constData());
        // An entry that can no longer be read names no replica to use.
        fleet.store.put(first, entry);
        fleet.run(milliseconds(2000));
        cr_assert(allUse(onlyTheSecond), "after %s", entry.left(200).constData());
        fleet.store.dropHistory();
        fleet.run(milliseconds(2000));
        cr_assert(allUse(onlyTheSecond), "listed again with %s", entry.left(200).constData());
        fleet.store.put(first, entryWith("", ""));
        fleet.run(milliseconds(2000));
        cr_assert(allUse(both), "with the entry written again after %s",
                  entry.left(200).constData());
        cr_assert_leq(fleet.timeToConfigure(QByteArray::number(++number)).count(), 1000);
    }
}

Test(odd_replica_entry, leaves_the_replicas_beside_it_in_use_whatever_its_key_is)
{
    EventLoop loop;
    StoreFleet fleet(3, recordsVmCount);
    int number = 0;
    for (const QByteArray &id : oddIds()) {
        fleet.store.put(StoreFleet::replicaPrefix + id, entryWith("", ""));
        fleet.run(milliseconds(2000));
        fleet.store.dropHistory();
        fleet.run(milliseconds(2000));
        for (const auto &front : fleet.fronts)
            cr_assert(front->replicas == both, "%s", id.toHex().constData());
        cr_assert_leq(fleet.timeToConfigure(QByteArray::number(++number)).count(), 1000);
    }
}

// A relay and an entry VM that know an entry from before start with it again.
Test(odd_replica_entry, leaves_the_replicas_beside_it_in_use_of_a_vm_that_lost_its_relays)
{
    EventLoop loop;
    StoreFleet fleet(3, recordsVmCount);
    StoreFleet::Front &front = *fleet.fronts.front();
    for (const QByteArray &entry : {nested(100000), entryWith("slots", "1e400"),
                                    entryWith("address", R"("10.0.0.1:70000")")}) {
        fleet.store.put(StoreFleet::replicaPrefix + "odd", entry);
        fleet.setLinksCut(front, true);
        fleet.run(milliseconds(6000));
        cr_assert(front.replicas == both);
        fleet.setLinksCut(front, false);
        fleet.run(milliseconds(6000));
        cr_assert(front.replicas == both);
    }
}
