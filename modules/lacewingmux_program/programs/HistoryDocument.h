#pragma once

#include "lacewingmux_program/programs/Program.h"

#include <QJsonObject>

namespace lacewingmux {

/**
    Returns the history in the form sent to callers: {"program", "ended", "budget": {"limit",
    "spent", "reserved"}, "agents": [{"program", "parent", "calls": [...]}]}. For an agent other
    than the root, only that agent is listed.
*/
[[nodiscard]] QJsonObject historyDocument(const Program &program, AgentIndex agent);

} // namespace lacewingmux
