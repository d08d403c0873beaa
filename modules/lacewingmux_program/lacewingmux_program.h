#pragma once

/*
 * Module lacewingmux_program
 *
 * The aggregates Program and RequestClaim with their rules, the service that owns them on this
 * VM, and the typed requests and answers that reach it from any front.
 *
 * Depends on: lacewingmux_core, lacewingmux_zone, lacewingmux_config.
 */

#include "lacewingmux_program/dispatch/CallDispatcher.h"
#include "lacewingmux_program/dispatch/DispatchRequest.h"
#include "lacewingmux_program/dispatch/DispatchResult.h"
#include "lacewingmux_program/requests/HttpHeader.h"
#include "lacewingmux_program/requests/OwnerRequest.h"
#include "lacewingmux_program/requests/OwnerService.h"
#include "lacewingmux_program/requests/ResponseSink.h"
