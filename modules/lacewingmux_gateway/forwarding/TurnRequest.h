#pragma once

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <optional>

namespace lacewingmux {

/** What has to be looked up and reserved before a turn of a program may run. */
struct TurnRequest
{
    QByteArray program;
    QByteArray request;      ///< request id of the caller's attempt, which names the turn
    QByteArray team;         ///< turns of other teams do not exist for it
    QByteArray previousTurn; ///< empty at the start of a chain
    std::optional<std::int64_t> budget; ///< tokens for the whole program; nothing: no limit
    std::int64_t maximumTokens = 0;     ///< that this turn may generate
    std::chrono::milliseconds retention{0};
};

} // namespace lacewingmux
