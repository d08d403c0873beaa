#pragma once

#include "model/RecordsFleet.h"

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
    A seeded run of a fleet: programs open, keep and settle turns, teams send requests, and records
    VMs are killed, lose power or their disks, are paused, cut off, replaced and retired, and the
    store goes away. What must hold is checked after each step.
*/
class FleetSchedule
{
public:
    explicit FleetSchedule(std::uint64_t seedNumber);

    /** Runs it to its end; returns what was violated, or nothing. */
    [[nodiscard]] std::string run();

private:
    struct KeptTurn
    {
        TurnRequest opening;
        QByteArray history; ///< with its own input and output
    };

    struct Program
    {
        std::int64_t budget = 0;
        std::int64_t handedOut = 0;
        std::vector<std::size_t> kept; ///< indexes of turns that ended whole
        int nextTurn = 1;
    };

    void step();
    void startTurn();
    void finishTurn(std::size_t program, const TurnRequest &opening, const QByteArray &expected,
                    const TurnAdmission &start, std::size_t entry);
    void sendRequests();
    void injectFault();
    void healSomething();
    void loseMember();
    void bringMemberBack();
    void violate(const std::string &what);
    void checkQuota();
    void checkEverythingIsFound();
    [[nodiscard]] int draw(int below);

    std::mt19937_64 random;
    RecordsFleet fleet;
    std::vector<Program> programs;
    std::vector<KeptTurn> turns;
    std::deque<std::pair<TimerService::SteadyTime, int>> admitted; ///< in the quota's window
    int admittedInWindow = 0;
    QString lost; ///< the member that is down, at most one at a time
    QString paused;
    TimerService::SteadyTime stable; ///< since when no member has been lost or cut off
    int steps = 0;
    std::string violation;
};

} // namespace lacewingmux
