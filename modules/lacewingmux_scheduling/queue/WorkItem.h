#pragma once

#include <QString>

#include <cstdint>

namespace lacewingmux {

/** A call that waits for a replica, with the values that determine its position in the queue. */
struct WorkItem
{
    std::uint64_t id = 0; ///< unique among the queued items
    QString team;
    double teamWeight = 1;           ///< share of the team relative to others; greater than 0
    QString rootProgram;             ///< unit of scheduling; empty for a single call
    std::int64_t attainedTokens = 0; ///< tokens served to the root program so far
    std::int64_t expectedTokens = 1; ///< cost charged to the team by WorkQueue::take()
};

} // namespace lacewingmux
