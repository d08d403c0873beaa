#pragma once

#include "simulation/RecordsFleet.h"

#include <QByteArray>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace lacewingmux {

/**
    A seeded random run of a fleet: programs open, store and settle turns, teams send requests,
    records VMs are killed, lose power or their disks, are paused, partitioned, replaced and
    retired, and the store becomes unavailable. The invariants are checked after each step.
*/
class FleetSchedule
{
public:
    /** With six records VMs there are two groups, with three there is one. */
    explicit FleetSchedule(std::uint64_t seedNumber, int recordsVmCount = 3);

    /** Makes any number of records VMs silent for a moment, at the same time as all other faults.
     */
    void addSilences()
    {
        this->hasSilences = true;
    }

    /** Replaces some of the lost members by new ones under other names. */
    void addReplacements()
    {
        this->hasReplacements = true;
    }

    /** Returns how many turns were stored so late that a shorter limit than that of their calls
       could have ended them. */
    [[nodiscard]] int lateTurns() const noexcept
    {
        return this->lateTurnCount;
    }

    /** Runs the schedule; returns the first violated invariant, or an empty string. */
    [[nodiscard]] std::string run();

private:
    struct StoredTurn
    {
        TurnRequest turnRequest;
        QByteArray history; ///< including the turn's own input and output
    };

    struct Program
    {
        std::int64_t budget = 0;
        std::int64_t usedTokens = 0;
        std::vector<std::size_t> storedTurns; ///< indexes of completed turns
        int nextTurn = 1;
    };

    void step();
    void startTurn();
    void finishTurn(std::size_t program, TurnRequest turnRequest, const QByteArray &expected,
                    const TurnAdmission &admission, std::size_t entry);
    void storeTurn(std::size_t program, const TurnRequest &turnRequest, const QByteArray &expected,
                   std::int64_t tokens, std::size_t entry);
    void sendRequests();
    void injectFault();
    void silenceForAMoment();
    void healRandomFault();
    void stopRandomMember();
    void restartLostMember();
    void replaceLostMember();
    void reportViolation(const std::string &what);
    void checkQuota();
    void checkStoredTurnsAreFound();
    [[nodiscard]] QString randomMember();
    [[nodiscard]] int randomBelow(int below);

    std::mt19937_64 random;
    std::vector<QString> members; ///< the names of the records VMs at present
    RecordsFleet fleet;
    std::vector<Program> programs;
    std::vector<StoredTurn> turns;
    std::deque<std::pair<TimerService::SteadyTime, int>> admitted; ///< within the quota window
    int admittedInWindow = 0;
    QString lostMember; ///< the member that is down, at most one at a time
    QString pausedMember;
    TimerService::SteadyTime stableSince; ///< time since which no member was lost or partitioned
    bool hasSilences = false;
    bool hasReplacements = false;
    std::map<QString, TimerSubscription> silences; ///< by member, until it goes on
    std::vector<TimerSubscription> runningTurns;
    int lateTurnCount = 0;
    int steps = 0;
    std::string violation;
};

} // namespace lacewingmux
