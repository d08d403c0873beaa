#pragma once

#include "callers/TestCaller.h"
#include "scenario/Scenario.h"

#include <QString>

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

/**
    Several agent programs at once, each a chain of model calls and bookings, driven as a sound
   client does: the next call after the answer to the last, and a call whose outcome isn't known, or
   that is to be retried, again with its number at the next VM.
*/
class ProgramWorkload
{
public:
    ProgramWorkload(Scenario &testScenario, int programCount, std::uint32_t callsOfEach);

    /** Sends the first requests; the event loop does the rest. */
    void start();

    /** Runs until every program is through; returns whether it was within the bound. */
    [[nodiscard]] bool finish(std::chrono::milliseconds bound = std::chrono::minutes(2));

    /** Runs until that many calls have been answered; returns whether they were. */
    [[nodiscard]] bool runUntilAnswered(int calls,
                                        std::chrono::milliseconds bound = std::chrono::minutes(1));

    /** Has requests go to these VMs only, as a balancer that has noticed a failure. */
    void useVms(const QStringList &vms);

    /** Checks every invariant that concerns programs, histories included. */
    void check();

    [[nodiscard]] const std::vector<CallerAttempt> &attempts() const
    {
        return this->caller.attempts();
    }
    [[nodiscard]] int answeredCalls() const
    {
        return this->answered;
    }

    /** Returns how many calls ended with an outcome that nobody can tell. */
    [[nodiscard]] int unknownCalls() const
    {
        return this->unknown;
    }

    /** Returns refusals that were final though the call should have run. */
    [[nodiscard]] const std::vector<CallerAttempt> &wrongRefusals() const
    {
        return this->refusedForGood;
    }

    [[nodiscard]] std::vector<QString> programIds() const;

private:
    struct Chain
    {
        int index = 0;
        QString id;
        std::uint32_t nextCall = 1;
        bool done = false;
    };

    void printUnfinished() const;
    void open(Chain &chain);
    void call(Chain &chain);
    void onAnswer(Chain &chain, const CallerAttempt &attempt);
    void again(Chain &chain, std::chrono::milliseconds pause);
    [[nodiscard]] CallerRequestSpec specFor(const Chain &chain);
    [[nodiscard]] QString nextVm();
    [[nodiscard]] QByteArray historyOf(const Chain &chain);

    Scenario &scenario;
    TestCaller caller;
    std::uint32_t callCount;
    QStringList targetVms;
    qsizetype vmIndex = 0;
    std::vector<std::unique_ptr<Chain>> chains;
    std::vector<CallerAttempt> refusedForGood;
    int answered = 0;
    int unknown = 0;
};
