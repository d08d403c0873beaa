#pragma once

#include "lacewingmux_program/programs/CallCommand.h"
#include "lacewingmux_program/requests/OwnerRequest.h"

namespace lacewingmux {

class Configuration;

/**
    Reads what a request asks to run: a call of a program, a chat completion or a service call
    outside a program. Checks the route and who may use it.

    A model call's body is {"route", "messages", "maxTokens", "stream", ...}; further fields go to
    the engine as they are. A service call's body is {"route", "method", "path", "headers", "body",
    "idempotent"}; a call may be declared less repeatable than its route, never more.

    Throws LacewingmuxError with MalformedRequest, UnknownRoute or NotPermitted.
*/
class CallParser
{
public:
    explicit CallParser(const Configuration &configurationInForce);

    /** Reads the body of a numbered call. The agent is left for the caller to fill in. */
    [[nodiscard]] CallCommand parseProgramCall(const OwnerRequest &request) const;

    /** Reads a chat completion outside a program; "model" names the route where the request
     * doesn't. */
    [[nodiscard]] CallCommand parseChatCompletion(const OwnerRequest &request) const;

    /** Reads a request to a plain service outside a program. */
    [[nodiscard]] CallCommand parseServiceCall(const OwnerRequest &request) const;

private:
    const Configuration &configuration;
};

} // namespace lacewingmux
