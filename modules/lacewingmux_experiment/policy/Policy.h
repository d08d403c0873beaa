#pragma once

#include "lacewingmux_scheduling/queue/WorkQueueSettings.h"
#include "lacewingmux_scheduling/replicas/ReplicaChooserSettings.h"

#include <QString>

#include <vector>

namespace lacewingmux::experiment {

/** Which decision objects a run uses: the whole policy, the naive versions, or the policy with
    one part switched off. */
struct Policy
{
    QString name;
    bool naiveQueue = false;   ///< FirstComeFirstServedQueue in place of WorkQueue
    bool naiveChooser = false; ///< LeastReportedLoadChooser in place of ReplicaChooser
    WorkQueueSettings queue;
    ReplicaChooserSettings chooser;
    bool enginePriority = true; ///< tell engines the priority of calls
    bool retention = true;      ///< PrefixRetention; without, engines keep all
    bool releaseEnded = true;   ///< release the prefixes of ended programs and of those that moved
    bool quarantine = true;
    bool retryBudget = true;
    bool admissionControl = true; ///< without, calls wait until their queue timeout
};

/** Returns the whole policy, named "full". */
[[nodiscard]] Policy fullPolicy();

/** Returns the policy of the naive versions, named "naive". */
[[nodiscard]] Policy naivePolicy();

/** Returns the whole policy with one part switched off, for each part. */
[[nodiscard]] std::vector<Policy> ablatedPolicies();

} // namespace lacewingmux::experiment
