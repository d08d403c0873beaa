// Of two records VMs one is retired while a new one is added. Right after the retirement is done,
// the other one loses its disk and the new one its power. Exits with 1 if less than a quarter of
// the kept turns can be continued later than recoverS.

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
constexpr milliseconds turnBound{3500};
constexpr std::chrono::seconds retirementTime{9}; // durationS
constexpr milliseconds catchUpTime{5000};         // catchUpS, 4.9 s
constexpr milliseconds startTime{200};            // the new machine has joined and copies the turns
constexpr milliseconds restartDelay{600};
constexpr milliseconds recoveryTime{12000}; // recoverS
constexpr int turnCount = 150;
constexpr qsizetype inputBytes = qsizetype{1024} * 1024; // a quarter of maxBodyBytes

/** Waits while events are handled. */
void pause(milliseconds time)
{
    std::ignore = lacewingmux::standin::waitUntil([] { return false; }, time);
}

/** Plays a turn; returns whether it was answered whole with success. */
bool play(Fleet &fleet, Record &record, const QByteArray &id, const QByteArray &previous,
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
    record.write(QStringLiteral("front-%1 turn %2 after %3: %4 %5")
                         .arg(entryVm)
                         .arg(QString::fromLatin1(id), previous.isEmpty()
                                                               ? QStringLiteral("-")
                                                               : QString::fromLatin1(previous))
                         .arg(exchange.status())
                         .arg(exchange.isWhole() ? QStringLiteral("whole")
                                                 : QStringLiteral("not whole")));
    return exchange.isWhole() && exchange.status() == 200;
}

/** Asks for a records VM to be emptied; returns whether that was done in time. */
bool retire(Fleet &fleet, Record &record, int number)
{
    record.write(QStringLiteral("records-%1 is to be emptied").arg(number));
    fleet.retireRecordsVm(number, retirementTime);
    const bool done = lacewingmux::standin::waitUntil(
            [&fleet, number] { return fleet.isRetired(number); }, retirementTime);
    if (done)
        fleet.killRecordsVm(number);
    record.write(done ? QStringLiteral("done, removed") : QStringLiteral("not done"));
    return done;
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
    std::vector<QByteArray> kept;
    for (int number = 0; number < turnCount; ++number) {
        const QByteArray id = "kept-" + QByteArray::number(number);
        if (play(fleet, record, id, {}, inputBytes))
            kept.push_back(id);
    }
    if (static_cast<int>(kept.size()) < turnCount || !retire(fleet, record, 1))
        return notRunExit;
    pause(catchUpTime);
    const int added = fleet.addRecordsVm();
    record.write(QStringLiteral("records-%1 has been added").arg(added));
    pause(startTime);
    if (!retire(fleet, record, 2))
        return notRunExit;
    if (troubled) {
        fleet.killRecordsVm(0);
        fleet.killRecordsVm(added);
        record.write(
                QStringLiteral("records-0 has lost its disk, records-%1 its power").arg(added));
        pause(restartDelay);
        fleet.startRecordsVm(0, true);
        fleet.startRecordsVm(added, false);
        record.write(QStringLiteral("both have been started again"));
    }
    pause(recoveryTime);
    int sent = 0;
    int served = 0;
    for (const QByteArray &turn : kept) {
        ++sent;
        served += play(fleet, record, "next-of-" + turn, turn, 16) ? 1 : 0;
    }
    for (const QString &line : fleet.replicaRuns())
        record.write(line);
    std::cout << "continued later than recoverS: " << served << " of " << sent << '\n';
    return 4 * served < sent ? brokenExit : heldExit;
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
