#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_scheduling/replicas/LoadReport.h"

#include <deque>

namespace lacewingmux {

/**
    Estimates the present load of one replica from its lagging reports and this VM's own calls.

    A report counts the sequences of all VMs at the time it was measured. Of these, the own ones
    at that time are known; the rest belongs to other VMs and is assumed unchanged. The estimate is
    that rest plus the own calls of now.
*/
class ReplicaLoad
{
public:
    using SteadyTime = TimerService::SteadyTime;

    /** Notes that an own call started. */
    void started(SteadyTime now);

    /** Notes that an own call ended. */
    void finished(SteadyTime now);

    /** Takes a report; one measured before the last is ignored. */
    void report(const LoadReport &report);

    /** Returns own calls that run or wait at the replica. */
    [[nodiscard]] int ownSequences() const noexcept
    {
        return this->own;
    }

    /** Returns the estimated sequences at the replica. */
    [[nodiscard]] int estimate() const noexcept
    {
        return this->foreign + this->own;
    }

    /** Returns the last report as it came. */
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

    void note(SteadyTime now, int ownAfter);

    std::deque<Change> changes; ///< since the last report, oldest first, bounded
    LoadReport lastReport;
    int ownAtOldest = 0; ///< own calls before the oldest change kept
    int own = 0;
    int foreign = 0;
};

} // namespace lacewingmux
