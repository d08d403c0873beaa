// While one records VM is down, turns are kept by the two others. One of these loses its disk, the
// first one comes back, and the operator retires the one that has lost its disk. Exits with 1 if a
// continuation of a kept turn is answered 404 or 410.

#include "Exchange.h"
#include "Fleet.h"
#include "Record.h"

#include "deployment/EventLoopWait.h"

#include <QCoreApplication>

#include <chrono>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <tuple>
#include <vector>

namespace {

using lacewingmux::review::Exchange;
using lacewingmux::review::Fleet;
using lacewingmux::review::Record;
using std::chrono::milliseconds;

constexpr int heldExit = 0;
constexpr int brokenExit = 1;
constexpr int notRunExit = 2;
constexpr int notFoundStatus = 404;
constexpr int goneStatus = 410;
constexpr milliseconds turnBound{3500};
constexpr std::chrono::seconds retirementTime{8}; // durationS
constexpr milliseconds missingTime{1000};         // the first VM is down before the turns
constexpr milliseconds startTime{250}; // the VM that has lost its disk has joined, and copies
constexpr milliseconds probeTime{8000};
constexpr milliseconds probeInterval{10};
constexpr int keptCount = 10;
constexpr int longTurnCount = 300; // they are played later, so that copying takes a while
constexpr qsizetype inputBytes = qsizetype{1024} * 1024; // a quarter of maxBodyBytes

/** Waits while events are handled. */
void pause(milliseconds time)
{
    std::ignore = lacewingmux::standin::waitUntil([] { return false; }, time);
}

/** Plays a turn; returns its status, and 0 if the answer isn't whole. */
int play(Fleet &fleet, Record &record, const QByteArray &id, const QByteArray &previous,
         qsizetype bytes)
{
    static int played = 0;
    const int entryVm = played++ % Fleet::entryVmCount;
    Exchange::Fields fields{{"Lacewingmux-Request-Id", id},
                            {"Lacewingmux-Program-Id", "program-of-" + id},
                            {"Lacewingmux-Session-Id", "session-of-" + id},
                            {"Lacewingmux-Token-Usage", "20,4"},
                            {"Lacewingmux-Deadline-Ms", "2500"}};
    if (!previous.isEmpty())
        fields.push_back({"Lacewingmux-Previous-Turn", previous});
    Exchange exchange(fleet.entryAddress(entryVm), Fleet::ingressPort,
                      "/turn/x?events=4&interval=2", fields, QByteArray(bytes, 'x'));
    std::ignore =
            lacewingmux::standin::waitUntil([&exchange] { return exchange.hasEnded(); }, turnBound);
    const int status = exchange.isWhole() ? exchange.status() : 0;
    record.write(QStringLiteral("front-%1 turn %2 after %3: %4")
                         .arg(entryVm)
                         .arg(QString::fromLatin1(id), previous.isEmpty()
                                                               ? QStringLiteral("-")
                                                               : QString::fromLatin1(previous))
                         .arg(status));
    return status;
}

int run(const QStringList &arguments)
{
    const bool troubled = qEnvironmentVariable("TROUBLE", QStringLiteral("1")) != u'0';
    Record record(arguments.at(3));
    Fleet fleet(arguments.at(1), arguments.at(2));
    if (!fleet.start()) {
        record.write(QStringLiteral("the entry VMs did not become ready"));
        return notRunExit;
    }
    record.write(QStringLiteral("all entry VMs are ready"));
    if (troubled) {
        fleet.killRecordsVm(0);
        record.write(QStringLiteral("records-0 is killed"));
    }
    pause(missingTime);
    std::vector<QByteArray> kept;
    for (int number = 0; number < keptCount; ++number) {
        const QByteArray id = "kept-" + QByteArray::number(number);
        if (play(fleet, record, id, {}, 16) == 200)
            kept.push_back(id);
    }
    for (int number = 0; number < longTurnCount; ++number) {
        play(fleet, record, "before-" + QByteArray::number(number), {}, inputBytes);
        if (troubled && fleet.killAgainWhenDue(0))
            record.write(QStringLiteral("records-0 is killed again as it starts"));
    }
    if (static_cast<int>(kept.size()) < keptCount)
        return notRunExit;
    if (troubled) {
        fleet.killRecordsVm(1);
        fleet.startRecordsVm(0, false);
        fleet.startRecordsVm(1, true);
        record.write(QStringLiteral("records-1 has lost its disk; it and records-0 have been "
                                    "started"));
        pause(startTime);
    }
    fleet.retireRecordsVm(1, retirementTime);
    record.write(QStringLiteral("records-1 is to be emptied"));
    bool wasRetired = false;
    int unknown = 0;
    int probes = 0;
    const qint64 end = record.elapsed() + probeTime.count();
    while (record.elapsed() < end) {
        const QByteArray &turn = kept[static_cast<std::size_t>(probes / 2) % kept.size()];
        const int status = play(fleet, record, "probe-" + QByteArray::number(++probes), turn, 16);
        unknown += status == notFoundStatus || status == goneStatus ? 1 : 0;
        if (!wasRetired && fleet.isRetired(1)) {
            wasRetired = true;
            fleet.killRecordsVm(1);
            record.write(QStringLiteral("done, records-1 is removed"));
        }
        pause(probeInterval);
    }
    for (const QString &line : fleet.replicaRuns())
        record.write(line);
    std::cout << "answered 404 or 410: " << unknown << " of " << probes << '\n';
    return unknown > 0 ? brokenExit : heldExit;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const QCoreApplication application(argc, argv);
        return run(QCoreApplication::arguments());
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return notRunExit;
    }
}
