// A turn that was answered whole is continued while, and after, one disk is lost and the other
// records VMs are down for a while. Exits with 1 if a continuation is answered 404 or 410.

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
constexpr milliseconds turnBound{6500};
constexpr milliseconds missingTime{2000};   // the first VM is down and misses turns
constexpr milliseconds downTime{11000};     // of the VM that keeps the turns, in several kills
constexpr milliseconds recoveryTime{12000}; // recoverS
constexpr milliseconds probeInterval{200};
constexpr int turnCount = 4;

/** Waits while events are handled. */
void pause(milliseconds time)
{
    std::ignore = lacewingmux::standin::waitUntil([] { return false; }, time);
}

/** Plays turns of one program and writes down what was answered. */
class Player
{
public:
    Player(Fleet &runningFleet, Record &openRecord)
        : fleet(runningFleet)
        , record(openRecord)
    { }

    /** Sends a turn to an entry VM; returns its status, and 0 if the answer isn't whole. */
    int play(int entryVm, const QByteArray &id, const QByteArray &previous)
    {
        Exchange::Fields fields{{"Lacewingmux-Request-Id", id},
                                {"Lacewingmux-Program-Id", "program-1"},
                                {"Lacewingmux-Session-Id", "session-1"},
                                {"Lacewingmux-Token-Usage", "20,8"},
                                {"Lacewingmux-Deadline-Ms", "5000"}};
        if (!previous.isEmpty())
            fields.push_back({"Lacewingmux-Previous-Turn", previous});
        Exchange exchange(this->fleet.entryAddress(entryVm), Fleet::ingressPort,
                          "/turn/x?events=4&interval=10", fields, "input of " + id + '\n');
        std::ignore = lacewingmux::standin::waitUntil([&exchange] { return exchange.hasEnded(); },
                                                      turnBound);
        const int status = exchange.isWhole() ? exchange.status() : 0;
        this->record.write(QStringLiteral("front-%1 turn %2 after %3: %4%5")
                                   .arg(entryVm)
                                   .arg(QString::fromLatin1(id),
                                        previous.isEmpty() ? QStringLiteral("-")
                                                           : QString::fromLatin1(previous))
                                   .arg(status)
                                   .arg(status >= 400 ? u' ' + QString::fromUtf8(exchange.body())
                                                      : QString()));
        return status;
    }

    /** Continues the turns again and again; returns how often one was said to be unknown. */
    int probe(const std::vector<QByteArray> &turns, milliseconds time, bool isThirdVmDown)
    {
        int unknown = 0;
        const qint64 end = this->record.elapsed() + time.count();
        while (this->record.elapsed() < end) {
            for (const QByteArray &turn : turns) {
                // An entry VM answers from its memory what it has played itself, so the next one
                // is asked.
                const int entryVm = ++this->probes % Fleet::entryVmCount;
                const QByteArray id = "probe-" + QByteArray::number(this->probes);
                const int status = this->play(entryVm, id, turn);
                unknown += status == notFoundStatus || status == goneStatus ? 1 : 0;
            }
            if (isThirdVmDown && this->fleet.killAgainWhenDue(2))
                this->record.write(QStringLiteral("records-2 is killed again as it starts"));
            pause(probeInterval);
        }
        return unknown;
    }

private:
    Fleet &fleet;
    Record &record;
    int probes = 0;
};

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
    Player player(fleet, record);
    if (player.play(0, "turn-0", {}) != 200 || player.play(1, "turn-1", "turn-0") != 200)
        return notRunExit;

    if (troubled) {
        record.write(QStringLiteral("records-0 is killed"));
        fleet.killRecordsVm(0);
    }
    pause(missingTime);
    std::vector<QByteArray> turns;
    for (int number = 0; number < turnCount; ++number) {
        const QByteArray id = "kept-" + QByteArray::number(number);
        if (player.play(number % Fleet::entryVmCount, id, "turn-1") == 200)
            turns.push_back(id);
    }
    if (turns.empty())
        return notRunExit;
    if (troubled) {
        record.write(QStringLiteral("records-1 is killed and loses its disk, records-2 is killed"));
        fleet.killRecordsVm(1);
        fleet.killRecordsVm(2);
        fleet.startRecordsVm(0, false);
        fleet.startRecordsVm(1, true);
        record.write(QStringLiteral("records-0 and records-1 have been started"));
    }
    int unknown = player.probe(turns, downTime, troubled);
    if (troubled) {
        fleet.startRecordsVm(2, false);
        record.write(QStringLiteral("records-2 has been started with its disk"));
    }
    unknown += player.probe(turns, recoveryTime, false);
    const bool served = player.play(0, "last", turns.front()) == 200;
    record.write(QStringLiteral("answered 404 or 410: %1; served at the end: %2")
                         .arg(unknown)
                         .arg(served ? QStringLiteral("yes") : QStringLiteral("no")));
    for (const QString &line : fleet.replicaRuns())
        record.write(line);
    std::cout << "answered 404 or 410: " << unknown << '\n';
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
