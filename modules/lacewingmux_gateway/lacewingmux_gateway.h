#pragma once

/*
 * Module lacewingmux_gateway
 *
 * The front of a VM before callers and replicas that speak HTTP in a deployment's own dialect:
 * decodes requests, admits them, chooses a replica, forwards each at most as often as its route
 * allows, and passes the answer on. It holds nothing that has to last; histories, budgets and
 * quotas are behind the interfaces TurnStore and TeamQuota.
 *
 * Depends on: lacewingmux_core, Qt Network, Boost.Beast (parser only).
 */

#include "lacewingmux_gateway/calls/CallDialect.h"
#include "lacewingmux_gateway/forwarding/Gateway.h"
#include "lacewingmux_gateway/forwarding/TeamQuota.h"
#include "lacewingmux_gateway/forwarding/TurnStore.h"
#include "lacewingmux_gateway/ingress/ReadinessServer.h"
#include "lacewingmux_gateway/replicas/ReplicaInstance.h"
#include "lacewingmux_gateway/routing/RoutingTable.h"
