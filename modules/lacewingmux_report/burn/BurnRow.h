#pragma once

#include "lacewingmux_report/burn/BurnAlert.h"
#include "lacewingmux_report/burn/BurnCounts.h"
#include "lacewingmux_report/burn/BurnWindow.h"

#include <QString>

#include <array>

namespace lacewingmux {

/** One team on one route with its burn rates, one for each window. */
struct BurnRow
{
    QString team;
    QString route;
    QString plan;
    double availabilityObjective = 0;
    double latencyObjective = 0; ///< share of requests that must be fast
    std::array<BurnCounts, burnWindowCount> counts{};
    std::array<double, burnWindowCount> availabilityBurn{}; ///< 1 spends the budget exactly
    std::array<double, burnWindowCount> latencyBurn{};
    BurnAlert alert = BurnAlert::None;
};

} // namespace lacewingmux
