#include "lacewingmux_config/documents/Configuration.h"

#include <algorithm>

namespace lacewingmux {

const Route *Configuration::route(const QString &name) const
{
    const auto found = std::find_if(this->routes.begin(), this->routes.end(),
                                    [&name](const Route &route) { return route.name == name; });
    return found == this->routes.end() ? nullptr : &*found;
}

const Allowance *Configuration::allowanceOf(const QString &team) const
{
    const auto plan = std::find_if(this->plans.begin(), this->plans.end(),
                                   [&team](const TeamPlan &entry) { return entry.team == team; });
    if (plan == this->plans.end())
        return nullptr;
    const auto found =
            std::find_if(this->allowances.begin(), this->allowances.end(),
                         [&plan](const Allowance &entry) { return entry.plan == plan->plan; });
    return found == this->allowances.end() ? nullptr : &*found;
}

} // namespace lacewingmux
