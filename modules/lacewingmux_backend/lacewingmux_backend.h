#pragma once

/*
 * Module lacewingmux_backend
 *
 * Everything between an accepted call and the backend server that runs it: HTTP clients for model
 * engines and plain services, the registry of replicas, the dispatcher that queues calls and
 * selects replicas, and the orders that release engine memory.
 *
 * Depends on: lacewingmux_core, lacewingmux_keyvalue, lacewingmux_peer, lacewingmux_zone,
 * lacewingmux_program, lacewingmux_scheduling, lacewingmux_allowance.
 */

#include "lacewingmux_backend/clients/EngineClient.h"
#include "lacewingmux_backend/clients/ServiceClient.h"
#include "lacewingmux_backend/dispatch/QuarantineNoticeExchange.h"
#include "lacewingmux_backend/dispatch/ReplicaDispatcher.h"
#include "lacewingmux_backend/orders/OrderLease.h"
#include "lacewingmux_backend/orders/OrderLeaseExchange.h"
#include "lacewingmux_backend/replicas/ReplicaRegistry.h"
#include "lacewingmux_backend/replicas/ReplicaSet.h"
