#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_scheduling/replicas/LoadReport.h"
#include "lacewingmux_scheduling/replicas/ReplicaChoice.h"
#include "lacewingmux_scheduling/replicas/ReplicaDescriptor.h"
#include "lacewingmux_scheduling/replicas/ReplicaState.h"

#include <functional>
#include <optional>
#include <random>

namespace lacewingmux::experiment {

struct Policy;

/** The operations of a choice of replica, over ReplicaChooser or its naive twin. */
struct ChooserHooks
{
    using SteadyTime = TimerService::SteadyTime;

    std::function<void(const ReplicaDescriptor &)> setReplica;
    std::function<void(int vms)> setSendingVms;
    std::function<void(const QString &, ReplicaState)> setState;
    std::function<void(const QString &, const LoadReport &)> reportLoad;
    std::function<void(const QString &, SteadyTime now, bool suspect)> started;
    std::function<void(const QString &, SteadyTime now, bool suspect)> finished;
    std::function<std::optional<ReplicaChoice>(const ChoiceRequest &, std::mt19937_64 &)> choose;
};

/** Makes the chooser that the policy asks for. */
[[nodiscard]] ChooserHooks makeChooser(const Policy &policy);

} // namespace lacewingmux::experiment
