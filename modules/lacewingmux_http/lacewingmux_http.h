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

#include "lacewingmux_http/forward/AnswerAssembly.h"
#include "lacewingmux_http/forward/ForwardCodec.h"
#include "lacewingmux_http/forward/ForwardMessages.h"
#include "lacewingmux_http/forward/ForwardReceiver.h"
#include "lacewingmux_http/forward/ForwarderSettings.h"
#include "lacewingmux_http/forward/OwnerFinder.h"
#include "lacewingmux_http/forward/OwnerForwarder.h"
#include "lacewingmux_http/forward/RequestHome.h"
#include "lacewingmux_http/front/AnswerRelay.h"
#include "lacewingmux_http/front/AuthenticationResult.h"
#include "lacewingmux_http/front/CredentialFilter.h"
#include "lacewingmux_http/front/ForwardedHeaders.h"
#include "lacewingmux_http/front/FrontHooks.h"
#include "lacewingmux_http/front/FrontRequest.h"
#include "lacewingmux_http/front/OperatorEndpoints.h"
#include "lacewingmux_http/front/OperatorReply.h"
#include "lacewingmux_http/front/OperatorRequest.h"
#include "lacewingmux_http/front/RequestFront.h"
#include "lacewingmux_http/front/RequestReader.h"
#include "lacewingmux_http/front/SentRequests.h"
#include "lacewingmux_http/server/CallerAnswer.h"
#include "lacewingmux_http/server/CallerRequest.h"
#include "lacewingmux_http/server/CallerServer.h"
#include "lacewingmux_http/server/ServerLimits.h"
