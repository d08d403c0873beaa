#pragma once

/*
 * Module lacewingmux_gateway
 *
 * The HTTP gateway of a VM, between callers and replicas: decodes requests, admits them, chooses a
 * replica, forwards each request at most as often as its route allows, and returns the response.
 * The deployment's header fields are supplied as a CallDialect. The gateway keeps no durable state;
 * histories, budgets and quotas are behind the interfaces TurnStore and TeamQuota.
 *
 * Depends on: lacewingmux_core, lacewingmux_tunnel, lacewingmux_scheduling, Qt Network, Boost.Beast
 * (parser only).
 */

#include "lacewingmux_gateway/calls/CallDialect.h"
#include "lacewingmux_gateway/forwarding/Gateway.h"
#include "lacewingmux_gateway/forwarding/TeamQuota.h"
#include "lacewingmux_gateway/forwarding/TurnStore.h"
#include "lacewingmux_gateway/ingress/ReadinessServer.h"
#include "lacewingmux_gateway/replicas/ReplicaInstance.h"
#include "lacewingmux_gateway/routing/RoutingTable.h"
