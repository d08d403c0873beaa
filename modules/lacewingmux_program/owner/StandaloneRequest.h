#pragma once

#include "lacewingmux_program/dispatch/DispatchRequest.h"
#include "lacewingmux_program/owner/OwnerContext.h"
#include "lacewingmux_program/programs/CallCommand.h"

namespace lacewingmux {

/**
    Parses a chat completion or service call outside a program. Throws LacewingmuxError if it is
    malformed, or not idempotent and without an idempotency key.
*/
[[nodiscard]] CallCommand parseStandaloneRequest(const OwnerContext &context,
                                                 const OwnerRequest &request);

/**
    Returns the dispatch request for a request outside a program. Its body is the engine's request
    body for a chat completion, and the command's body for a service call.
*/
[[nodiscard]] DispatchRequest standaloneDispatchRequest(const OwnerContext &context,
                                                        const OwnerRequest &request,
                                                        const CallCommand &command);

} // namespace lacewingmux
