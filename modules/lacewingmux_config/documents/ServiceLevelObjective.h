#pragma once

#include <QString>

#include <chrono>

namespace lacewingmux {

/** What a plan promises: how many requests succeed, and how many of them are fast enough. */
struct ServiceLevelObjective
{
    QString plan;
    QString route;               ///< empty for all routes
    double availability = 0.999; ///< share of requests that must succeed, above 0 and below 1
    std::chrono::milliseconds latency{2000}; ///< bound of a fast request
    double latencyShare = 0.95; ///< share of requests that must be fast, above 0 and below 1
};

} // namespace lacewingmux
