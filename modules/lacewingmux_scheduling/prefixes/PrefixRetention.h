#pragma once

#include "lacewingmux_scheduling/prefixes/PauseEstimator.h"
#include "lacewingmux_scheduling/prefixes/RetentionAction.h"

#include <QString>

#include <chrono>
#include <cstdint>

namespace lacewingmux {

/** What the three actions cost on the engines at hand. */
struct RetentionCosts
{
    std::chrono::nanoseconds prefillPerToken{std::chrono::microseconds(250)};
    std::chrono::nanoseconds transferPerToken{std::chrono::microseconds(20)}; ///< one direction
    std::chrono::milliseconds transferOverhead{30};                           ///< one direction
    double calmPressure = 0.8; ///< part of the memory in use up to which keeping costs nothing
    double holdingPerSecond =
            0.02; ///< of its prefill time that a prefix displaces each second when memory is full
};

/** A prefix whose program has begun to pause. */
struct PausedPrefix
{
    QString team;
    QString route;
    std::int64_t tokens = 0;
    double memoryPressure = 0;   ///< part of the replica's prefix memory in use, from 0 to 1
    bool exportSupported = true; ///< whether the engine can export and import
};

/**
    Decides whether to keep, export or drop the prefix of a program that pauses for a tool or a
    person, by the least expected cost in engine time.

    Keeping costs what the held memory displaces, which grows with the expected pause and with the
    pressure above the calm level. Exporting costs the transfer out, and back in if the program
    returns. Dropping costs the prefill, if the program returns. Pauses and the probability of
    return are learned per team and route.
*/
class PrefixRetention
{
public:
    explicit PrefixRetention(const RetentionCosts &engineCosts = {});

    /** Decides about a prefix whose program pauses now. */
    [[nodiscard]] RetentionAction decide(const PausedPrefix &prefix) const;

    /** Notes a pause that ended with another call. */
    void resumed(const QString &team, const QString &route, std::chrono::milliseconds pause);

    /** Notes that a program ended instead of calling again. */
    void ended(const QString &team, const QString &route);

private:
    RetentionCosts costs;
    PauseEstimator pauses;
};

} // namespace lacewingmux
