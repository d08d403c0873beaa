#pragma once

#include "lacewingmux_experiment/workload/Workload.h"

#include <QByteArray>

#include <vector>

namespace lacewingmux::experiment {

/**
    Reads the scenarios of a workload from JSON; docs/EXPERIMENTS.md describes the fields. Each
    scenario is the whole workload with the fields that it names replaced.

    Throws LacewingmuxError of kind ConfigurationInvalid that names the field which is missing or
    wrong.
*/
[[nodiscard]] std::vector<Workload> readScenarios(const QByteArray &json);

} // namespace lacewingmux::experiment
