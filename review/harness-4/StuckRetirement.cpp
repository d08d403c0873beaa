// Of three records VMs one is retired, one is replaced by an empty one at another address, and then
// the new one is retired. After the end of all processes and their restart, turns are continued.
// Exits with 1 if less than a quarter of them is served later than recoverS.

#include "Exchange.h"
#include "Fleet.h"
#include "Record.h"

#include "deployment/EventLoopWait.h"

#include <QCoreApplication>

#include <chrono>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <set>
#include <tuple>

namespace {

using lacewingmux::review::Exchange;
using lacewingmux::review::Fleet;
using lacewingmux::review::Record;
using std::chrono::milliseconds;

constexpr int heldExit = 0;
constexpr int brokenExit = 1;
constexpr int notRunExit = 2;
constexpr milliseconds turnBound{2500};
constexpr std::chrono::seconds retirementTime{8}; // durationS
constexpr milliseconds replacementDelay{2000};    // until the new machine is there
constexpr milliseconds catchUpTime{8000};         // more than catchUpS, 4.9 s
constexpr milliseconds timeAfterRetirement{3000};
constexpr milliseconds restartDelay{600};
constexpr milliseconds recoveryTime{12000}; // recoverS
constexpr milliseconds judgedTime{8000};
constexpr milliseconds pauseBetweenTurns{100};
constexpr int turnsBefore = 20;

/** Waits while events are handled. */
void pause(milliseconds time)
{
    std::ignore = lacewingmux::standin::waitUntil([] { return false; }, time);
}

/** How many turns were sent, and how many answered whole with success. */
struct Count
{
    int sent = 0;
    int served = 0;
};

/** Plays the turns of one conversation and writes down what was answered. */
class Conversation
{
public:
    Conversation(Fleet &runningFleet, Record &openRecord)
        : fleet(runningFleet)
        , record(openRecord)
    { }

    /** Sends the next turn; it goes on from the last one that was answered whole. */
    void playTurn(Count &count)
    {
        const int entryVm = this->turns % Fleet::entryVmCount;
        const QByteArray id = "turn-" + QByteArray::number(++this->turns);
        Exchange::Fields fields{{"Lacewingmux-Request-Id", id},
                                {"Lacewingmux-Program-Id", "program-1"},
                                {"Lacewingmux-Session-Id", "session-1"},
                                {"Lacewingmux-Token-Usage", "20,4"},
                                {"Lacewingmux-Deadline-Ms", "1500"}};
        if (!this->last.isEmpty())
            fields.push_back({"Lacewingmux-Previous-Turn", this->last});
        Exchange exchange(this->fleet.entryAddress(entryVm), Fleet::ingressPort,
                          "/turn/x?events=4&interval=5", fields, "input of " + id + '\n');
        std::ignore = lacewingmux::standin::waitUntil([&exchange] { return exchange.hasEnded(); },
                                                      turnBound);
        const bool served = exchange.isWhole() && exchange.status() == 200;
        this->record.write(QStringLiteral("front-%1 turn %2 after %3: %4 %5")
                                   .arg(entryVm)
                                   .arg(QString::fromLatin1(id),
                                        this->last.isEmpty() ? QStringLiteral("-")
                                                             : QString::fromLatin1(this->last))
                                   .arg(exchange.status())
                                   .arg(exchange.isWhole() ? QStringLiteral("whole")
                                                           : QStringLiteral("not whole")));
        ++count.sent;
        if (!served)
            return;
        ++count.served;
        this->last = id;
    }

    void playFor(milliseconds time, Count &count)
    {
        const qint64 end = this->record.elapsed() + time.count();
        while (this->record.elapsed() < end) {
            this->playTurn(count);
            pause(pauseBetweenTurns);
        }
    }

private:
    Fleet &fleet;
    Record &record;
    QByteArray last;
    int turns = 0;
};

/** Retires a records VM and removes the machine once it is empty; returns whether it was in time.
 */
bool retire(Fleet &fleet, Record &record, int number)
{
    record.write(QStringLiteral("records-%1 is to be emptied").arg(number));
    fleet.retireRecordsVm(number, retirementTime);
    const bool done = lacewingmux::standin::waitUntil(
            [&fleet, number] { return fleet.isRetired(number); }, timeAfterRetirement);
    record.write(QStringLiteral("records-%1: %2")
                         .arg(number)
                         .arg(done ? QStringLiteral("done, removed")
                                   : QStringLiteral("not done after 3 s")));
    if (done)
        fleet.killRecordsVm(number);
    return done;
}

/** Kills all processes and starts them again. */
void restartAll(Fleet &fleet, Record &record, const std::set<int> &recordsVms)
{
    record.write(QStringLiteral("all processes are killed"));
    for (const int number : recordsVms)
        fleet.killRecordsVm(number);
    for (int number = 0; number < Fleet::entryVmCount; ++number)
        fleet.killEntryVm(number);
    pause(restartDelay);
    for (const int number : recordsVms)
        fleet.startRecordsVm(number, false);
    for (int number = 0; number < Fleet::entryVmCount; ++number)
        fleet.startEntryVm(number);
    record.write(QStringLiteral("all processes have been started again"));
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
    Conversation conversation(fleet, record);
    Count before;
    for (int turn = 0; turn < turnsBefore; ++turn)
        conversation.playTurn(before);
    std::set<int> recordsVms{0, 2};
    if (before.served < turnsBefore || !retire(fleet, record, 1))
        return notRunExit;
    int newest = 2;
    if (troubled) {
        record.write(QStringLiteral("records-2 is killed, and gone for good"));
        fleet.killRecordsVm(2);
        pause(replacementDelay);
        newest = fleet.addRecordsVm();
        recordsVms = {0, newest};
        record.write(QStringLiteral("records-%1 has been started in its place").arg(newest));
    }
    pause(catchUpTime);
    conversation.playTurn(before);
    conversation.playTurn(before);
    if (retire(fleet, record, newest))
        recordsVms.erase(newest);
    conversation.playTurn(before);
    restartAll(fleet, record, recordsVms);
    pause(recoveryTime);
    Count after;
    conversation.playFor(judgedTime, after);
    for (const QString &line : fleet.replicaRuns())
        record.write(line);
    std::cout << "served before: " << before.served << " of " << before.sent
              << ", later than recoverS: " << after.served << " of " << after.sent << '\n';
    const bool broken = 4 * after.served < after.sent && 4 * before.served >= before.sent;
    return broken ? brokenExit : heldExit;
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
