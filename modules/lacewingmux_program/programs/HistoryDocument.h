#pragma once

#include "lacewingmux_program/programs/Program.h"

#include <QJsonObject>

namespace lacewingmux {

/**
    Returns the history as callers read it: {"program", "ended", "budget": {"limit", "spent",
    "reserved"}, "agents": [{"program", "parent", "calls": [...]}]}. With an agent other than the
    root, only that agent is listed.
*/
[[nodiscard]] QJsonObject historyDocument(const Program &program, AgentIndex agent);

} // namespace lacewingmux
