#pragma once

#include <QString>

#include <cstdint>
#include <vector>

namespace lacewingmux {

/** What stands behind a route. */
enum class RouteKind : std::uint8_t { ModelEngine, Service };

/** A named destination of calls. */
struct Route
{
    QString name;
    RouteKind kind = RouteKind::ModelEngine;
    bool open = false;                   ///< whether it serves callers without a key
    bool idempotent = true;              ///< whether its calls may be repeated
    std::vector<QString> teams;          ///< teams that may use it; empty means every team
    std::int64_t maxOutputTokens = 1024; ///< bound reserved from the budget for one call
};

} // namespace lacewingmux
