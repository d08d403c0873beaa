#pragma once

#include "lacewingmux_experiment/results/Measures.h"

#include <QString>

#include <functional>
#include <vector>

namespace lacewingmux::experiment {

/** One figure of Measures, as it is shown. */
struct MeasureColumn
{
    QString name;
    bool asRatio = true; ///< over the naive policy on the same seed; else as it is
    std::function<double(const Measures &)> value;
    bool isChief = false; ///< whether it is among those by which ablations are compared
};

/** Returns the columns of the table for a workload. */
[[nodiscard]] std::vector<MeasureColumn> measureColumns(const Workload &workload);

} // namespace lacewingmux::experiment
