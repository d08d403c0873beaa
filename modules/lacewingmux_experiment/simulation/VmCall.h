#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_experiment/simulation/PrefixCache.h"
#include "lacewingmux_scheduling/queue/WorkItem.h"

#include <QByteArray>
#include <QString>

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

namespace lacewingmux::experiment {

/** How a call that was given to a VM ended. */
enum class CallOutcome : std::uint8_t { Finished, Refused, Failed, Quarantined };

/** A call as a VM gets it from a program, with its state there. */
struct VmCall
{
    std::size_t pool = 0;
    ProgramNumber program = 0;
    QString programName;
    QByteArray contentDigest;
    std::int64_t historyTokens = 0;
    std::int64_t newTokens = 0;
    std::int64_t outputTokens = 0;
    bool poisoned = false;
    WorkItem item; ///< its id is set by the VM
    std::function<void(CallOutcome outcome, std::chrono::milliseconds retryAfter)> ended;

    TimerService::SteadyTime enqueuedAt;
    std::vector<QString> excluded;
    bool suspect = false;
    int attempts = 0;
};

} // namespace lacewingmux::experiment
