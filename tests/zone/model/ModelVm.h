#pragma once

#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_peer/messages/VmDescriptor.h"
#include "lacewingmux_zone/replication/ReplicatedJournal.h"
#include "zone/model/ModelNetwork.h"

#include <map>
#include <set>
#include <vector>

namespace lacewingmux {

class ModelChecks;
struct ModelEffect;

/**
    One VM of a model zone: a ReplicatedJournal with its own clock, and on top of it the simplest
    aggregates there can be, lists of claims of which each is to be run at most once.
*/
class ModelVm
{
public:
    ModelVm(ModelNetwork &network, ModelChecks &modelChecks, const VmDescriptor &self,
            const JournalSettings &settings, const JournalFaults &faults);

    /** Runs the claim unless it is known, or may have been run before a loss. */
    void submit(const ModelEffect &claim);

    /** Asks whether this VM still owns the slot. */
    void confirm(SlotIndex slot);

    VmDescriptor descriptor;
    ManualTimerService timers;
    ModelHub hub;
    IgnoringMetricsRecorder metrics;
    ReplicatedJournal journal;
    bool paused = false;

private:
    ModelChecks &checks;
    std::map<AggregateId, std::set<QByteArray>> known; ///< claims of the slots it owns
};

} // namespace lacewingmux
