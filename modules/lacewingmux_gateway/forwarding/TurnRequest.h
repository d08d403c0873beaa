#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <optional>

namespace lacewingmux {

/** The history to look up and the tokens to reserve before a turn of a program may run. */
struct TurnRequest
{
    QByteArray program;
    QByteArray request;      ///< request id of the caller's attempt, which identifies the turn
    QByteArray team;         ///< only turns of this team are visible
    QByteArray previousTurn; ///< empty for a first turn
    std::optional<std::int64_t> budget; ///< tokens for the whole program; nullopt means no limit
    std::int64_t maximumTokens = 0;     ///< that this turn may generate
    std::chrono::milliseconds retention{0};
    std::optional<int> historyLocation =
            std::nullopt;              ///< from the turn's admission; the turn is kept there too
    TimerService::SteadyTime deadline; ///< of the call; its turn is not stored after it
};

} // namespace lacewingmux
