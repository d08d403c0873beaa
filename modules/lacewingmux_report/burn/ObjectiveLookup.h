#pragma once

#include <QString>

namespace lacewingmux {

class Configuration;
struct ServiceLevelObjective;

/**
    Returns the objective that holds for a team on a route, or null: the one of the team's plan for
    this route goes before the one of the plan for all routes.
*/
[[nodiscard]] const ServiceLevelObjective *objectiveFor(const Configuration &configuration,
                                                        const QString &team, const QString &route);

} // namespace lacewingmux
