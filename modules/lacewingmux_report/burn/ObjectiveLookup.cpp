#include "lacewingmux_report/burn/ObjectiveLookup.h"

#include "lacewingmux_config/documents/Configuration.h"

namespace lacewingmux {

const ServiceLevelObjective *objectiveFor(const Configuration &configuration, const QString &team,
                                          const QString &route)
{
    const Allowance *allowance = configuration.allowanceOf(team);
    if (allowance == nullptr)
        return nullptr;

    const ServiceLevelObjective *general = nullptr;
    for (const ServiceLevelObjective &objective : configuration.objectives) {
        if (objective.plan != allowance->plan)
            continue;
        if (objective.route == route)
            return &objective;
        if (objective.route.isEmpty())
            general = &objective;
    }
    return general;
}

} // namespace lacewingmux
