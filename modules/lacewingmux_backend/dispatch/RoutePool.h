#pragma once

#include "lacewingmux_core/time/TimerSubscription.h"
#include "lacewingmux_scheduling/protection/AdmissionControl.h"
#include "lacewingmux_scheduling/protection/RetryBudget.h"
#include "lacewingmux_scheduling/queue/WorkQueue.h"
#include "lacewingmux_scheduling/replicas/ReplicaChooser.h"

#include <QString>

#include <set>

namespace lacewingmux {

/** The replicas of one route, the queue of calls for them, and the policies for both. */
struct RoutePool
{
    std::set<QString> replicas; ///< names of all replicas, whether serving or not
    WorkQueue queue;
    ReplicaChooser chooser;
    RetryBudget retryBudget;
    AdmissionControl admission;
    TimerSubscription powerRetry; ///< active while the queue waits for power
    bool waitsForPower = false;
    bool processingScheduled = false;
};

} // namespace lacewingmux
