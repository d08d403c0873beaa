#pragma once

#include <QStringList>

#include <chrono>

namespace lacewingmux {

/** What an OwnerForwarder is told about the fleet, and how patient it is. */
struct ForwarderSettings
{
    QStringList configuredZones;                ///< the same in every VM, also while a zone is away
    std::chrono::milliseconds ownerWait{10000}; ///< for a new owner, after the old one was lost
    std::chrono::milliseconds shortestRetry{20};
    std::chrono::milliseconds longestRetry{400};
    std::chrono::milliseconds answerGrace{1000}; ///< past the caller's timeout, for its answer
};

} // namespace lacewingmux
