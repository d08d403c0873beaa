// Programs whose budget holds one more turn go on after a final fault: all processes are killed,
// one disk is lost, and one records VM stays down for a while. Exits with 1 if some of them are
// told 402 until the end, though four fifths of them are served.

#include "Exchange.h"
#include "Fleet.h"
#include "Record.h"

#include "deployment/EventLoopWait.h"

#include <QCoreApplication>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
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
constexpr int successStatus = 200;
constexpr int exhaustedStatus = 402;
constexpr int programCount = 800;
constexpr int tokensPerTurn = 8; // one token an event
constexpr int budget = 20;       // two turns, and less than a third one
constexpr milliseconds restartDelay{600};
constexpr milliseconds keepTime{20000};     // for the first turns
constexpr milliseconds downTime{9500};      // of the third records VM
constexpr milliseconds recoveryTime{13000}; // longer than recoverS, 12 s
constexpr milliseconds tick{1};
constexpr qint64 retryPause = 10; // ms
constexpr int startedPerTick = 3; // spreads the requests

/** A program that sends its turn until it is served. */
class Program
{
public:
    Program(Fleet &runningFleet, Record &openRecord, int programNumber)
        : fleet(runningFleet)
        , record(openRecord)
        , number(programNumber)
    { }

    [[nodiscard]] bool isServed() const noexcept
    {
        return this->served;
    }

    [[nodiscard]] bool wasToldExhausted() const noexcept
    {
        return this->lastStatus == exhaustedStatus;
    }

    /** Begins the next turn, which goes on from the one that was served. */
    void beginNextTurn()
    {
        this->kept = this->sentId;
        this->served = false;
    }

    /** Takes the answer to its request, if that has ended. */
    void takeAnswer()
    {
        if (!this->exchange || !this->exchange->hasEnded())
            return;
        this->lastStatus = this->exchange->isWhole() ? this->exchange->status() : 0;
        this->served = this->lastStatus == successStatus;
        this->nextAt = this->record.elapsed() + retryPause;
        this->record.write(QStringLiteral("%1 after %2: %3")
                                   .arg(QString::fromLatin1(this->sentId),
                                        this->kept.isEmpty() ? QStringLiteral("-")
                                                             : QString::fromLatin1(this->kept))
                                   .arg(this->lastStatus));
        this->exchange.reset();
    }

    [[nodiscard]] bool isDue() const
    {
        return !this->exchange && !this->served && this->record.elapsed() >= this->nextAt;
    }

    void send()
    {
        this->sentId =
                "p" + QByteArray::number(this->number) + "-" + QByteArray::number(++this->attempts);
        Exchange::Fields fields{
                {"Lacewingmux-Request-Id", this->sentId},
                {"Lacewingmux-Program-Id", "program-" + QByteArray::number(this->number)},
                {"Lacewingmux-Session-Id", "session-" + QByteArray::number(this->number)},
                {"Lacewingmux-Token-Budget", QByteArray::number(budget)},
                {"Lacewingmux-Token-Usage", "20," + QByteArray::number(tokensPerTurn)},
                {"Lacewingmux-Deadline-Ms", "5000"}};
        if (!this->kept.isEmpty())
            fields.push_back({"Lacewingmux-Previous-Turn", this->kept});
        const int entryVm = (this->number + this->attempts) % Fleet::entryVmCount;
        this->exchange = std::make_unique<Exchange>(
                this->fleet.entryAddress(entryVm), Fleet::ingressPort,
                "/turn/x?interval=5&events=" + QByteArray::number(tokensPerTurn), fields,
                QByteArray("input\n"));
    }

private:
    Fleet &fleet;
    Record &record;
    int number;
    std::unique_ptr<Exchange> exchange;
    QByteArray sentId;
    QByteArray kept;
    qint64 nextAt = 0;
    int attempts = 0;
    int lastStatus = 0;
    bool served = false;
};

using Programs = std::vector<std::unique_ptr<Program>>;

std::ptrdiff_t countServed(const Programs &programs)
{
    return std::count_if(programs.begin(), programs.end(),
                         [](const auto &program) { return program->isServed(); });
}

/** Plays all programs until all are served or the time has passed. */
void playAll(const Programs &programs, const Record &record, milliseconds time)
{
    const qint64 end = record.elapsed() + time.count();
    while (record.elapsed() < end && countServed(programs) < programCount) {
        int started = 0;
        for (const auto &program : programs) {
            program->takeAnswer();
            if (started < startedPerTick && program->isDue()) {
                program->send();
                ++started;
            }
        }
        std::ignore = lacewingmux::standin::waitUntil([] { return false; }, tick);
    }
}

void strike(Fleet &fleet, Record &record)
{
    record.write(QStringLiteral("all processes are killed, records-1 loses its disk"));
    for (int number = 0; number < Fleet::recordsVmCount; ++number)
        fleet.killRecordsVm(number);
    for (int number = 0; number < Fleet::entryVmCount; ++number)
        fleet.killEntryVm(number);
    std::ignore = lacewingmux::standin::waitUntil([] { return false; }, restartDelay);
    for (int number = 0; number < Fleet::entryVmCount; ++number)
        fleet.startEntryVm(number);
    fleet.startRecordsVm(0, false);
    fleet.startRecordsVm(1, true);
    record.write(QStringLiteral("all processes but records-2 have been started again"));
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
    Programs programs;
    for (int number = 0; number < programCount; ++number)
        programs.push_back(std::make_unique<Program>(fleet, record, number));
    playAll(programs, record, keepTime);
    if (countServed(programs) < programCount)
        return notRunExit;
    for (const auto &program : programs)
        program->beginNextTurn();
    if (troubled) {
        strike(fleet, record);
        playAll(programs, record, downTime);
        fleet.startRecordsVm(2, false);
        record.write(QStringLiteral("records-2 has been started again with its disk"));
    }
    playAll(programs, record, recoveryTime);
    const auto exhausted = std::count_if(programs.begin(), programs.end(), [](const auto &program) {
        return !program->isServed() && program->wasToldExhausted();
    });
    std::cout << "served: " << countServed(programs) << " of " << programCount
              << ", told 402 until the end: " << exhausted << '\n';
    return exhausted > 0 && 5 * countServed(programs) >= std::ptrdiff_t{4} * programCount
                   ? brokenExit
                   : heldExit;
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
