#pragma once

#include "lacewingmux_gateway/routing/RouteKind.h"

#include <QByteArray>

#include <chrono>
#include <vector>

namespace lacewingmux {

/** One service that a route sends to, and its part of the requests. */
struct RouteTarget
{
    QByteArray service;
    int weight = 1;
};

/** One route of the operators' configuration. */
struct GatewayRoute
{
    QByteArray name;
    QByteArray host;
    QByteArray prefix; ///< begins and ends with a slash
    RouteKind kind = RouteKind::SingleRun;
    std::vector<RouteTarget> targets;
    std::chrono::milliseconds timeout{0}; ///< how long a caller may be kept waiting
    int priority = 0;                     ///< 0 is first
    int attempts = 1;                     ///< replicas that one attempt of a caller may run on
    bool sticky = false;
    bool resumable = false;
    bool isPublic = false;     ///< needs no key
    bool keepsHistory = false; ///< a turn carries its new input only, the system adds the rest
    std::chrono::milliseconds retention{0}; ///< how long turns are kept

    /** Tells whether a request of the route may run more than once. */
    [[nodiscard]] bool isRepeatable() const noexcept
    {
        return this->kind == RouteKind::Idempotent
               || (this->kind == RouteKind::Stream && this->resumable);
    }
};

} // namespace lacewingmux
