#pragma once

#include "lacewingmux_program/programs/Agent.h"

#include <QByteArray>
#include <QString>

#include <cstdint>

namespace lacewingmux {

/**
    Returns the body for the engine of an agent's model call: all messages and answers of the
    model calls before it, then its new messages, with the call's bound as max_tokens.
*/
[[nodiscard]] QByteArray engineRequestBody(const Agent &agent, std::uint32_t number, bool stream);

} // namespace lacewingmux
