#pragma once

/*
 * Module lacewingmux_scheduling
 *
 * The policies for queue order, replica selection, prefix retention and overload protection. They
 * read no clock and own no random generator: time and randomness are passed in, so that the
 * daemon, the tests, the benchmarks and the experiment run the same code. The folder naive holds
 * baseline policies for comparison.
 *
 * Depends on: lacewingmux_core.
 */

#include "lacewingmux_core/protection/Quarantine.h"
#include "lacewingmux_scheduling/admission/ProgramAdmission.h"
#include "lacewingmux_scheduling/admission/TurnDurations.h"
#include "lacewingmux_scheduling/admission/TurnPriority.h"
#include "lacewingmux_scheduling/naive/FirstComeFirstServedQueue.h"
#include "lacewingmux_scheduling/naive/FixedRetention.h"
#include "lacewingmux_scheduling/naive/LeastReportedLoadChooser.h"
#include "lacewingmux_scheduling/prefixes/PauseEstimator.h"
#include "lacewingmux_scheduling/prefixes/PrefixRetention.h"
#include "lacewingmux_scheduling/prefixes/RetentionAction.h"
#include "lacewingmux_scheduling/protection/AdmissionControl.h"
#include "lacewingmux_scheduling/protection/RetryBudget.h"
#include "lacewingmux_scheduling/queue/WorkItem.h"
#include "lacewingmux_scheduling/queue/WorkQueue.h"
#include "lacewingmux_scheduling/queue/WorkQueueSettings.h"
#include "lacewingmux_scheduling/replicas/LoadReport.h"
#include "lacewingmux_scheduling/replicas/PrefixDirectory.h"
#include "lacewingmux_scheduling/replicas/PrefixLocation.h"
#include "lacewingmux_scheduling/replicas/ReplicaChoice.h"
#include "lacewingmux_scheduling/replicas/ReplicaChooser.h"
#include "lacewingmux_scheduling/replicas/ReplicaChooserSettings.h"
#include "lacewingmux_scheduling/replicas/ReplicaDescriptor.h"
#include "lacewingmux_scheduling/replicas/ReplicaLoad.h"
#include "lacewingmux_scheduling/replicas/ReplicaPace.h"
#include "lacewingmux_scheduling/replicas/ReplicaState.h"
#include "lacewingmux_scheduling/replicas/ReplicaWork.h"
