// A program spends its token budget while one records VM is down. Then one disk is lost and the
// third records VM is down for a while. Exits with 1 if the program is handed more tokens than its
// budget and the most of one turn.

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

namespace {

using lacewingmux::review::Exchange;
using lacewingmux::review::Fleet;
using lacewingmux::review::Record;
using std::chrono::milliseconds;

constexpr int heldExit = 0;
constexpr int brokenExit = 1;
constexpr int notRunExit = 2;
constexpr int exhaustedStatus = 402;
constexpr milliseconds turnBound{6500};
constexpr milliseconds missingTime{2000}; // the first VM is down before the program begins
constexpr milliseconds downTime{11000};   // of the VM that keeps the reservations, in several kills
constexpr milliseconds recoveryTime{12000}; // recoverS
constexpr milliseconds retryInterval{200};
constexpr int tokensPerTurn = 8; // one token an event
constexpr int budget = 40;

/** Waits while events are handled. */
void pause(milliseconds time)
{
    std::ignore = lacewingmux::standin::waitUntil([] { return false; }, time);
}

/** Plays first turns of one program and counts the tokens that were handed to it. */
class Program
{
public:
    Program(Fleet &runningFleet, Record &openRecord)
        : fleet(runningFleet)
        , record(openRecord)
    { }

    /** Sends one turn; returns its status, and 0 if the answer isn't whole. */
    int playTurn()
    {
        const int entryVm = this->turns % Fleet::entryVmCount;
        const QByteArray id = "turn-" + QByteArray::number(++this->turns);
        const Exchange::Fields fields{
                {"Lacewingmux-Request-Id", id},
                {"Lacewingmux-Program-Id", "program-1"},
                {"Lacewingmux-Session-Id", "session-" + QByteArray::number(this->turns)},
                {"Lacewingmux-Token-Budget", QByteArray::number(budget)},
                {"Lacewingmux-Token-Usage", "20," + QByteArray::number(tokensPerTurn)},
                {"Lacewingmux-Deadline-Ms", "5000"}};
        Exchange exchange(this->fleet.entryAddress(entryVm), Fleet::ingressPort,
                          "/turn/x?interval=10&events=" + QByteArray::number(tokensPerTurn), fields,
                          "input of " + id + '\n');
        std::ignore = lacewingmux::standin::waitUntil([&exchange] { return exchange.hasEnded(); },
                                                      turnBound);
        if (exchange.status() == 200)
            this->handedTokens += static_cast<int>(exchange.body().count("data: "));
        const int status = exchange.isWhole() ? exchange.status() : 0;
        this->record.write(QStringLiteral("front-%1 turn %2: %3, tokens handed in all: %4")
                                   .arg(entryVm)
                                   .arg(QString::fromLatin1(id))
                                   .arg(status)
                                   .arg(this->handedTokens));
        return status;
    }

    /** Sends turns until the time has passed. */
    void playFor(milliseconds time, bool isThirdVmDown)
    {
        const qint64 end = this->record.elapsed() + time.count();
        while (this->record.elapsed() < end) {
            this->playTurn();
            if (isThirdVmDown && this->fleet.killAgainWhenDue(2))
                this->record.write(QStringLiteral("records-2 is killed again as it starts"));
            pause(retryInterval);
        }
    }

    [[nodiscard]] int tokens() const noexcept
    {
        return this->handedTokens;
    }

private:
    Fleet &fleet;
    Record &record;
    int turns = 0;
    int handedTokens = 0;
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
    if (troubled) {
        record.write(QStringLiteral("records-0 is killed"));
        fleet.killRecordsVm(0);
    }
    pause(missingTime);
    Program program(fleet, record);
    int status = 0;
    for (int turn = 0; turn <= budget / tokensPerTurn && status != exhaustedStatus; ++turn)
        status = program.playTurn();
    if (status != exhaustedStatus || program.tokens() == 0)
        return notRunExit;
    if (troubled) {
        record.write(QStringLiteral("records-1 is killed and loses its disk, records-2 is killed"));
        fleet.killRecordsVm(1);
        fleet.killRecordsVm(2);
        fleet.startRecordsVm(0, false);
        fleet.startRecordsVm(1, true);
        record.write(QStringLiteral("records-0 and records-1 have been started"));
    }
    program.playFor(downTime, troubled);
    if (troubled) {
        fleet.startRecordsVm(2, false);
        record.write(QStringLiteral("records-2 has been started with its disk"));
    }
    program.playFor(recoveryTime, false);
    for (const QString &line : fleet.replicaRuns())
        record.write(line);
    const bool broken = program.tokens() > budget + tokensPerTurn;
    std::cout << "tokens handed: " << program.tokens() << ", budget: " << budget << '\n';
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
