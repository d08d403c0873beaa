#pragma once

#include "lacewingmux_program/programs/Agent.h"

#include <QByteArray>
#include <QString>

#include <cstdint>

namespace lacewingmux {

/**
    Returns the request body that is sent to the engine for an agent's model call: all messages and
    responses of the earlier model calls, then the new messages, with the call's output bound as
    max_tokens.
*/
[[nodiscard]] QByteArray engineRequestBody(const Agent &agent, std::uint32_t number, bool stream);

} // namespace lacewingmux
