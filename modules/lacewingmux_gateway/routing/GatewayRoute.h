#pragma once

#include "lacewingmux_gateway/routing/RouteKind.h"

#include <QByteArray>

#include <chrono>
#include <vector>

namespace lacewingmux {

/** One service that a route sends to, and its share of the requests. */
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
    std::chrono::milliseconds timeout{0}; ///< maximum time until the call is answered
    int priority = 0;                     ///< 0 is the most urgent
    int attempts = 1;                     ///< maximum number of replicas that may run one request
    bool sticky = false;       ///< calls with the same affinity key prefer the same replica
    bool resumable = false;    ///< a broken stream may continue after its last event
    bool isPublic = false;     ///< requires no key
    bool keepsHistory = false; ///< a turn carries only new input; its history is prepended
    std::chrono::milliseconds retention{0}; ///< how long turns are stored

    /** Tells whether a request of the route may run more than once. */
    [[nodiscard]] bool isRepeatable() const noexcept
    {
        return this->kind == RouteKind::Idempotent
               || (this->kind == RouteKind::Stream && this->resumable);
    }
};

} // namespace lacewingmux
