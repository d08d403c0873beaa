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

/** Returns the dispatch of a request outside a program; the body is the engine's or service's. */
[[nodiscard]] DispatchRequest standaloneDispatchRequest(const OwnerContext &context,
                                                        const OwnerRequest &request,
                                                        const CallCommand &command);

} // namespace lacewingmux
