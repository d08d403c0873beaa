#pragma once

#include <QString>

namespace lacewingmux {

/** One entry of the plan list: a team and the plan it has. */
struct TeamPlan
{
    QString team;
    QString plan;
};

} // namespace lacewingmux
