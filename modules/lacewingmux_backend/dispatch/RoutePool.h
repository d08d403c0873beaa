#pragma once

#include "lacewingmux_core/time/TimerSubscription.h"
#include "lacewingmux_scheduling/protection/AdmissionControl.h"
#include "lacewingmux_scheduling/protection/RetryBudget.h"
#include "lacewingmux_scheduling/queue/WorkQueue.h"
#include "lacewingmux_scheduling/replicas/ReplicaChooser.h"

#include <QString>

#include <set>

namespace lacewingmux {

/** The replicas of one route with the calls that wait for them, and the decisions about both. */
struct RoutePool
{
    std::set<QString> replicas; ///< names of all, serving or not
    WorkQueue queue;
    ReplicaChooser chooser;
    RetryBudget retryBudget;
    AdmissionControl admission;
    TimerSubscription powerRetry; ///< set while starts wait for power
    bool waitsForPower = false;
    bool processingScheduled = false;
};

} // namespace lacewingmux
