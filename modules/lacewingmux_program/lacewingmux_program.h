#pragma once

/*
 * Module lacewingmux_program
 *
 * The event-sourced aggregates Program and RequestClaim with their rules, the service that owns
 * them on this VM, and the typed requests and responses exchanged with the front ends.
 *
 * Depends on: lacewingmux_core, lacewingmux_zone, lacewingmux_config.
 */

#include "lacewingmux_program/claims/RequestClaim.h"
#include "lacewingmux_program/dispatch/CallDispatcher.h"
#include "lacewingmux_program/dispatch/DispatchRequest.h"
#include "lacewingmux_program/dispatch/DispatchResult.h"
#include "lacewingmux_program/events/CallFinished.h"
#include "lacewingmux_program/events/CallReleased.h"
#include "lacewingmux_program/events/CallStarted.h"
#include "lacewingmux_program/events/EventCodec.h"
#include "lacewingmux_program/events/EventTime.h"
#include "lacewingmux_program/events/MemoryReleased.h"
#include "lacewingmux_program/events/PackedBytes.h"
#include "lacewingmux_program/events/ProgramEnded.h"
#include "lacewingmux_program/events/ProgramEvent.h"
#include "lacewingmux_program/events/ProgramOpened.h"
#include "lacewingmux_program/events/SubAgentOpened.h"
#include "lacewingmux_program/owner/CallRun.h"
#include "lacewingmux_program/owner/KeyedRequests.h"
#include "lacewingmux_program/owner/OneShotRequests.h"
#include "lacewingmux_program/owner/OwnedSlots.h"
#include "lacewingmux_program/owner/OwnerContext.h"
#include "lacewingmux_program/owner/OwnerEnvironment.h"
#include "lacewingmux_program/owner/ProgramCalls.h"
#include "lacewingmux_program/owner/ProgramLifecycle.h"
#include "lacewingmux_program/owner/ProgramOwner.h"
#include "lacewingmux_program/owner/ProgramOwnerSettings.h"
#include "lacewingmux_program/owner/ProgramRepository.h"
#include "lacewingmux_program/owner/RequestTable.h"
#include "lacewingmux_program/owner/StandaloneRequest.h"
#include "lacewingmux_program/programs/Agent.h"
#include "lacewingmux_program/programs/CallCommand.h"
#include "lacewingmux_program/programs/CallDecision.h"
#include "lacewingmux_program/programs/EngineHistory.h"
#include "lacewingmux_program/programs/EngineRequest.h"
#include "lacewingmux_program/programs/HistoryDocument.h"
#include "lacewingmux_program/programs/Program.h"
#include "lacewingmux_program/programs/RecordedCall.h"
#include "lacewingmux_program/programs/TokenBudget.h"
#include "lacewingmux_program/requests/CallParser.h"
#include "lacewingmux_program/requests/FinalEventBuffer.h"
#include "lacewingmux_program/requests/HttpHeader.h"
#include "lacewingmux_program/requests/OwnerRequest.h"
#include "lacewingmux_program/requests/OwnerService.h"
#include "lacewingmux_program/requests/ResponseSink.h"
