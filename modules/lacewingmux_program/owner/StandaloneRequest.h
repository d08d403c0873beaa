#pragma once

#include "lacewingmux_program/dispatch/DispatchRequest.h"
#include "lacewingmux_program/owner/OwnerContext.h"
#include "lacewingmux_program/programs/CallCommand.h"

namespace lacewingmux {

/**
    Parses a chat completion or service call outside a program. Throws LacewingmuxError if it is
    malformed, or if it is not idempotent and has no idempotency key.
*/
[[nodiscard]] CallCommand parseStandaloneRequest(const OwnerContext &context,
                                                 const OwnerRequest &request);

/** Returns the dispatch request, with the body for the engine or service. */
[[nodiscard]] DispatchRequest standaloneDispatchRequest(const OwnerContext &context,
                                                        const OwnerRequest &request,
                                                        const CallCommand &command);

} // namespace lacewingmux
