#pragma once

#include "lacewingmux_program/programs/CallCommand.h"
#include "lacewingmux_program/requests/OwnerRequest.h"

namespace lacewingmux {

class Configuration;

/**
    Parses the call in a request: a call of a program, or a chat completion or service call outside
    a program. Checks the route and whether the caller may use it.

    A model call's body is {"route", "messages", "maxTokens", "stream", ...}; other fields are sent
    to the engine unchanged. A service call's body is {"route", "method", "path", "headers", "body",
    "idempotent"}; a call to an idempotent route may be declared non-idempotent, but not vice versa.

    Throws LacewingmuxError with MalformedRequest, UnknownRoute or NotPermitted.
*/
class CallParser
{
public:
    explicit CallParser(const Configuration &activeConfiguration);

    /** Parses the body of a numbered call. The caller of this function sets the agent. */
    [[nodiscard]] CallCommand parseProgramCall(const OwnerRequest &request) const;

    /** Parses a chat completion outside a program; "model" is the route if none is given. */
    [[nodiscard]] CallCommand parseChatCompletion(const OwnerRequest &request) const;

    /** Parses a request to a service outside a program. */
    [[nodiscard]] CallCommand parseServiceCall(const OwnerRequest &request) const;

private:
    const Configuration &configuration;
};

} // namespace lacewingmux
