#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <chrono>

namespace lacewingmux {

/**
    Decides from periodic checks of the links to the records VMs whether an entry VM refuses what
    needs records, and whether it takes new callers. Reads no clock: the time is a parameter.
*/
class RecordsReachability
{
public:
    using SteadyTime = TimerService::SteadyTime;

    /** Time between two checks. */
    static constexpr std::chrono::milliseconds checkInterval{100};

    /** The result of a check. */
    struct State
    {
        bool reachable = false; ///< links to a quorum are up, or were a moment ago
        bool ready = false;     ///< new callers may be sent to this VM
    };

    /** Evaluates one check: hasQuorum tells whether links to a quorum are up, isResponsive whether
        a quorum has also answered lately. */
    [[nodiscard]] State check(bool hasQuorum, bool isResponsive, SteadyTime now);

private:
    /** Returns whether the quorum was silent in consecutive checks; called while links are up. */
    [[nodiscard]] bool isQuorumSilent(bool isResponsive, SteadyTime now);

    State state;
    SteadyTime lastQuorumTime;
    SteadyTime lastSilenceCheck;
    int silentChecks = 0; ///< consecutive checks that found a silent quorum
};

} // namespace lacewingmux
