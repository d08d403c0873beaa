#pragma once

#include "lacewingmux_config/documents/Allowance.h"
#include "lacewingmux_config/documents/Route.h"
#include "lacewingmux_config/documents/ServiceLevelObjective.h"
#include "lacewingmux_config/documents/TeamPlan.h"

#include <QString>

#include <cstdint>
#include <vector>

namespace lacewingmux {

/**
    One revision of the operators' configuration, immutable once in force. Handed to the traffic
    threads as std::shared_ptr<const Configuration>.
*/
class Configuration
{
public:
    std::uint64_t revision = 0; ///< 0 means that none is known yet
    std::vector<TeamPlan> plans;
    std::vector<Allowance> allowances;
    std::vector<Route> routes;
    std::vector<ServiceLevelObjective> objectives;
    double sitePowerCapWatts = 0; ///< 0 means no cap

    /** Returns the route with the name, or null. */
    [[nodiscard]] const Route *route(const QString &name) const;

    /** Returns what the team's plan may use, or null when the team is unknown. */
    [[nodiscard]] const Allowance *allowanceOf(const QString &team) const;
};

} // namespace lacewingmux
