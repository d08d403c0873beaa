#pragma once

#include "lacewingmux_scheduling/prefixes/PauseEstimator.h"
#include "lacewingmux_scheduling/prefixes/RetentionAction.h"

#include <QString>

#include <chrono>
#include <cstdint>

namespace lacewingmux {

/** Cost parameters of the three actions on the engines in use. */
struct RetentionCosts
{
    std::chrono::nanoseconds prefillPerToken{std::chrono::microseconds(250)};
    std::chrono::nanoseconds transferPerToken{std::chrono::microseconds(20)}; ///< one direction
    std::chrono::milliseconds transferOverhead{30};                           ///< one direction
    /** Fraction of the memory in use up to which keeping a prefix costs nothing. */
    double pressureThreshold = 0.8;
    /** Cost of keeping a prefix for one second while memory is full, as a fraction of its prefill
        time. */
    double holdingCostPerSecond = 0.02;
};

/** A prefix whose program has paused. */
struct PausedPrefix
{
    QString team;
    QString route;
    std::int64_t tokens = 0;
    double memoryPressure = 0;   ///< fraction of the replica's prefix memory in use, from 0 to 1
    bool exportSupported = true; ///< whether the engine can export and import prefixes
};

/**
    Decides whether to keep, export or drop the prefix of a program that waits for a tool or a
    person, by the lowest expected cost in engine time.

    Keeping a prefix costs the work that its memory displaces, which grows with the expected pause
    and with the memory pressure above the threshold. Exporting costs the transfer out, and the
    transfer back in if the program returns. Dropping costs the prefill if the program returns.
    Pauses and the probability of return are estimated per team and route.
*/
class PrefixRetention
{
public:
    explicit PrefixRetention(const RetentionCosts &engineCosts = {});

    /** Returns the action for a prefix whose program pauses now. */
    [[nodiscard]] RetentionAction decide(const PausedPrefix &prefix) const;

    /** Records a pause that ended with another call. */
    void resumed(const QString &team, const QString &route, std::chrono::milliseconds pause);

    /** Records that a program ended without another call. */
    void ended(const QString &team, const QString &route);

private:
    RetentionCosts costs;
    PauseEstimator pauses;
};

} // namespace lacewingmux
