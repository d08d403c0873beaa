#pragma once

#include <QString>

#include <cstdint>

namespace lacewingmux {

/** One call that waits for a replica, with what its place in the queue depends on. */
struct WorkItem
{
    std::uint64_t id = 0; ///< unique among the items that wait at the same time
    QString team;
    double teamWeight = 1;           ///< share of the team relative to others; above 0
    QString rootProgram;             ///< unit of scheduling; empty for a single call
    std::int64_t attainedTokens = 0; ///< tokens that the root program has been served so far
    std::int64_t expectedTokens = 1; ///< cost charged to the team when the item is taken
};

} // namespace lacewingmux
