#pragma once

/*
 * Module lacewingmux_http
 *
 * The HTTP interfaces for callers and operators, and the way of a request from the VM that took
 * it to the VM that owns its program or claim.
 *
 * Depends on: lacewingmux_core, lacewingmux_config, lacewingmux_peer, lacewingmux_zone,
 * lacewingmux_program, lacewingmux_allowance, lacewingmux_backend, lacewingmux_report,
 * Qt HTTP Server, FlatBuffers.
 */

#include "lacewingmux_http/server/CallerAnswer.h"
#include "lacewingmux_http/server/CallerRequest.h"
#include "lacewingmux_http/server/CallerServer.h"
#include "lacewingmux_http/server/ServerLimits.h"
