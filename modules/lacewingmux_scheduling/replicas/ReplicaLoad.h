#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_scheduling/replicas/LoadReport.h"

#include <deque>

namespace lacewingmux {

/**
    Estimates the current load of one replica from its delayed reports and this VM's own calls.

    A report counts the sequences of all VMs at the time of measurement. The number of own calls at
    that time is known; the rest belongs to other VMs and is assumed unchanged. The estimate is
    that rest plus the current number of own calls.
*/
class ReplicaLoad
{
public:
    using SteadyTime = TimerService::SteadyTime;

    /** Records that a call of this VM started. */
    void started(SteadyTime now);

    /** Records that a call of this VM ended. */
    void finished(SteadyTime now);

    /** Processes a report. A report measured before the last one is ignored. */
    void report(const LoadReport &report);

    /** Returns the number of this VM's calls that run or wait at the replica. */
    [[nodiscard]] int ownSequences() const noexcept
    {
        return this->own;
    }

    /** Returns the estimated number of sequences at the replica. */
    [[nodiscard]] int estimate() const noexcept
    {
        return this->otherVmSequences + this->own;
    }

    /** Returns the number of sequences in the last report, uncorrected. */
    [[nodiscard]] int reported() const noexcept
    {
        return this->lastReport.sequences;
    }

private:
    struct Change
    {
        SteadyTime at;
        int ownAfter = 0;
    };

    void recordChange(SteadyTime now, int ownAfter);

    std::deque<Change> changes; ///< since the last report, oldest first; the number is bounded
    LoadReport lastReport;
    int ownBeforeChanges = 0; ///< own calls before the oldest stored change
    int own = 0;
    int otherVmSequences = 0;
};

} // namespace lacewingmux
