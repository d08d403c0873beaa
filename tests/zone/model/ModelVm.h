#pragma once

#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_peer/messages/VmDescriptor.h"
#include "lacewingmux_zone/replication/ReplicatedJournal.h"
#include "zone/model/ClaimRunner.h"
#include "zone/model/ModelNetwork.h"

namespace lacewingmux {

/** One VM of a model zone: a journal with its own clock, and claims on top of it. */
class ModelVm
{
public:
    ModelVm(ModelNetwork &network, ModelChecks &checks, const VmDescriptor &self,
            const JournalSettings &settings, const JournalFaults &faults);

    VmDescriptor descriptor;
    ManualTimerService timers;
    ModelHub hub;
    IgnoringMetricsRecorder metrics;
    ReplicatedJournal journal;
    ClaimRunner claims;
    bool paused = false;
};

} // namespace lacewingmux
